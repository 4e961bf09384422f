package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// perSidecarKeys are the settings that stay each sidecar's.
var perSidecarKeys = []string{"Me", "Zone"}

// fleetKeys are those of a fleet's file. All but settings are each sidecar's own and are passed over, so that a platform's file
// may be given as it is.
var fleetKeys = []string{"name", "listen", "discovery", "admin", "seed", "limits", "known", "settings", "watch"}

// WithFleetSettings makes the configuration that this one is with the settings of a fleet's file: checked as a reload is. A key of
// settings that neither this build nor the file in force knows is an error. Guards against a member that takes a version for
// adopted and goes by a part of it.
func (c *Config) WithFleetSettings(text []byte, env func(string) string) (*Config, error) {
	var file, mine map[string]json.RawMessage
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	for _, k := range sortedKeys(file) {
		if !slices.Contains(fleetKeys, k) {
			return nil, fmt.Errorf("config: %s: unknown key", k)
		}
	}
	if err := json.Unmarshal(c.text, &mine); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	var theirs, old map[string]any
	if err := json.Unmarshal(file["settings"], &theirs); err != nil || theirs == nil {
		return nil, fmt.Errorf("config: settings: expected an object")
	}
	if err := json.Unmarshal(mine["settings"], &old); err != nil {
		return nil, fmt.Errorf("config: settings: %w", err)
	}
	if at := unknownKey(theirs, old, reflect.TypeFor[info]()); at != "" {
		return nil, fmt.Errorf("config: settings.%s: unknown key", at)
	}
	for _, k := range perSidecarKeys {
		if v, ok := old[k]; ok {
			theirs[k] = v
		} else {
			delete(theirs, k)
		}
	}
	var err error
	if mine["settings"], err = json.Marshal(theirs); err != nil {
		return nil, fmt.Errorf("config: settings: %w", err)
	}
	whole, err := json.Marshal(mine)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	next, err := Parse(whole, env)
	if err != nil {
		return nil, err
	}
	if key, err := missingKey(c.text, whole); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	} else if key != "" {
		return nil, fmt.Errorf("config: %s is missing, the file in force has it", key)
	}
	if err := next.checkExplicit(); err != nil {
		return nil, err
	}
	next.text, next.Discovery, next.fileDiscovery = c.text, c.Discovery, c.fileDiscovery
	return next, nil
}

// Text is the file as it was read.
func (c *Config) Text() []byte { return c.text }

// unknownKey names the first key that has no place in t and is not in old either; empty: none.
func unknownKey(in, old map[string]any, t reflect.Type) string {
	for _, k := range sortedKeys(in) {
		f, ok := t.FieldByNameFunc(func(name string) bool { return strings.EqualFold(name, k) })
		if _, there := old[k]; !ok && !there {
			return k
		} else if !ok {
			continue
		}
		of := f.Type
		if of.Kind() == reflect.Slice && of.Elem().Kind() == reflect.Struct {
			was := keysOfElements(old[k])
			list, _ := in[k].([]any)
			for i, e := range list {
				if m, ok := e.(map[string]any); ok {
					if at := unknownKey(m, was, of.Elem()); at != "" {
						return fmt.Sprintf("%s[%d].%s", k, i, at)
					}
				}
			}
		}
		if m, ok := in[k].(map[string]any); ok && of.Kind() == reflect.Struct {
			was, _ := old[k].(map[string]any)
			if at := unknownKey(m, was, of); at != "" {
				return k + "." + at
			}
		}
	}
	return ""
}

// keysOfElements gives all keys that any object of a list has.
func keysOfElements(list any) map[string]any {
	all := map[string]any{}
	elements, _ := list.([]any)
	for _, e := range elements {
		if m, ok := e.(map[string]any); ok {
			for k, v := range m {
				all[k] = v
			}
		}
	}
	return all
}
