package config

import (
	"encoding/json"
	"fmt"
	"slices"
)

// optionalKeys are the keys that a new file may leave out.
var optionalKeys = []string{"known", "watch", "admin", "seed"}

// missingKey names a key that the one file has and the other lacks, the first by name; empty: none.
func missingKey(old, new []byte) (string, error) {
	var a, b map[string]any
	if err := json.Unmarshal(old, &a); err != nil {
		return "", err
	}
	if err := json.Unmarshal(new, &b); err != nil {
		return "", err
	}
	for _, k := range optionalKeys {
		delete(a, k)
	}
	return missingFromObject(a, b), nil
}

// missingFromObject compares two objects. Of lists of objects each new element must have the keys that all old ones have: the
// elements themselves may come and go.
func missingFromObject(old, new map[string]any) string {
	for _, k := range sortedKeys(old) {
		value, there := new[k]
		if !there {
			return k
		}
		switch was := old[k].(type) {
		case map[string]any:
			now, ok := value.(map[string]any)
			if !ok {
				return k
			}
			if at := missingFromObject(was, now); at != "" {
				return k + "." + at
			}
		case []any:
			now, ok := value.([]any)
			if !ok {
				return k
			}
			if at := missingFromList(was, now); at != "" {
				return k + at
			}
		}
	}
	return ""
}

func missingFromList(old, new []any) string {
	all, of := map[string]int{}, 0
	for _, e := range old {
		if m, ok := e.(map[string]any); ok {
			of++
			for k := range m {
				all[k]++
			}
		}
	}
	for i, e := range new {
		m, ok := e.(map[string]any)
		if !ok {
			continue
		}
		for _, k := range sortedKeys(all) {
			if _, there := m[k]; !there && all[k] == of {
				return fmt.Sprintf("[%d].%s", i, k)
			}
		}
	}
	return ""
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
