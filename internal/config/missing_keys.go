package config

import (
	"encoding/json"
	"fmt"
	"slices"
)

// optionalKeys are the keys that a new file may omit although the file in force has them.
var optionalKeys = []string{"known", "watch", "admin", "seed"}

// missingKey returns the path of the first key, in alphabetical order, that is in the old file and not in the new file;
// empty: none.
func missingKey(oldText, newText []byte) (string, error) {
	var oldKeys, newKeys map[string]any
	if err := json.Unmarshal(oldText, &oldKeys); err != nil {
		return "", err
	}
	if err := json.Unmarshal(newText, &newKeys); err != nil {
		return "", err
	}
	for _, key := range optionalKeys {
		delete(oldKeys, key)
	}
	return missingFromObject(oldKeys, newKeys), nil
}

// missingFromObject is missingKey for two objects. It also compares the objects and lists in them.
func missingFromObject(oldKeys, newKeys map[string]any) string {
	for _, key := range sortedKeys(oldKeys) {
		newValue, ok := newKeys[key]
		if !ok {
			return key
		}
		switch oldValue := oldKeys[key].(type) {
		case map[string]any:
			newObject, ok := newValue.(map[string]any)
			if !ok {
				return key
			}
			if at := missingFromObject(oldValue, newObject); at != "" {
				return key + "." + at
			}
		case []any:
			newList, ok := newValue.([]any)
			if !ok {
				return key
			}
			if at := missingFromList(oldValue, newList); at != "" {
				return key + at
			}
		}
	}
	return ""
}

// missingFromList is missingKey for two lists of objects. Each new element must have the keys that all old elements have.
// Elements may be added and removed.
func missingFromList(oldList, newList []any) string {
	count, objects := map[string]int{}, 0
	for _, element := range oldList {
		if object, ok := element.(map[string]any); ok {
			objects++
			for key := range object {
				count[key]++
			}
		}
	}
	for i, element := range newList {
		object, ok := element.(map[string]any)
		if !ok {
			continue
		}
		for _, key := range sortedKeys(count) {
			if _, there := object[key]; !there && count[key] == objects {
				return fmt.Sprintf("[%d].%s", i, key)
			}
		}
	}
	return ""
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
