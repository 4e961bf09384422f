package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// perSidecarKeys are the settings that each sidecar keeps from its own file when a fleet rolls out settings.
var perSidecarKeys = []string{"Me", "Zone"}

// fleetKeys are the keys that a fleet's file may have. Keys other than settings belong to each sidecar and are ignored, so
// that a sidecar's complete configuration file can be used as the fleet's file.
var fleetKeys = []string{"name", "listen", "discovery", "admin", "seed", "limits", "known", "settings", "watch"}

// WithFleetSettings returns this configuration with the settings of a fleet's file, validated as by Reload. A key of the
// settings that is neither known to this build nor in the file in force is an error. Otherwise this member would report
// that it applies a version although it applies only a part of it.
func (c *Config) WithFleetSettings(text []byte, env func(string) string) (*Config, error) {
	merged, err := c.mergeFleetSettings(text)
	if err != nil {
		return nil, err
	}
	next, err := Parse(merged, env)
	if err != nil {
		return nil, err
	}
	if err := checkReplaces(c.text, merged); err != nil {
		return nil, err
	}
	if err := next.checkExplicit(); err != nil {
		return nil, err
	}
	next.text, next.Discovery, next.fileDiscovery = c.text, c.Discovery, c.fileDiscovery
	return next, nil
}

// mergeFleetSettings returns the text of this configuration's file with the settings of a fleet's file. perSidecarKeys keep
// the values of this configuration's file.
func (c *Config) mergeFleetSettings(text []byte) ([]byte, error) {
	var fleetFile, ownFile map[string]json.RawMessage
	if err := json.Unmarshal(text, &fleetFile); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	for _, key := range sortedKeys(fleetFile) {
		if !slices.Contains(fleetKeys, key) {
			return nil, fmt.Errorf("config: %s: unknown key", key)
		}
	}
	if err := json.Unmarshal(c.text, &ownFile); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	var fleetSettings, ownSettings map[string]any
	if err := json.Unmarshal(fleetFile["settings"], &fleetSettings); err != nil || fleetSettings == nil {
		return nil, fmt.Errorf("config: settings: expected an object")
	}
	if err := json.Unmarshal(ownFile["settings"], &ownSettings); err != nil {
		return nil, fmt.Errorf("config: settings: %w", err)
	}
	if at := unknownKey(fleetSettings, ownSettings, reflect.TypeFor[settingsJSON]()); at != "" {
		return nil, fmt.Errorf("config: settings.%s: unknown key", at)
	}
	for _, key := range perSidecarKeys {
		if value, ok := ownSettings[key]; ok {
			fleetSettings[key] = value
		} else {
			delete(fleetSettings, key)
		}
	}
	var err error
	if ownFile["settings"], err = json.Marshal(fleetSettings); err != nil {
		return nil, fmt.Errorf("config: settings: %w", err)
	}
	merged, err := json.Marshal(ownFile)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return merged, nil
}

// unknownKey returns the path of the first key of object that has no field in t and is not in inForce; empty: none. inForce
// is the corresponding object of the settings in force.
func unknownKey(object, inForce map[string]any, t reflect.Type) string {
	for _, key := range sortedKeys(object) {
		field, known := fieldOfKey(t, key)
		if !known {
			if _, ok := inForce[key]; !ok {
				return key
			}
			continue
		}
		if field.Kind() == reflect.Slice && field.Elem().Kind() == reflect.Struct {
			list, _ := object[key].([]any)
			if at := unknownKeyInList(list, keysOfElements(inForce[key]), field.Elem()); at != "" {
				return key + at
			}
		}
		if inner, ok := object[key].(map[string]any); ok && field.Kind() == reflect.Struct {
			innerInForce, _ := inForce[key].(map[string]any)
			if at := unknownKey(inner, innerInForce, field); at != "" {
				return key + "." + at
			}
		}
	}
	return ""
}

// unknownKeyInList is unknownKey for the objects in a list. inForce has the keys of all objects of the list in force.
func unknownKeyInList(list []any, inForce map[string]any, t reflect.Type) string {
	for i, element := range list {
		if object, ok := element.(map[string]any); ok {
			if at := unknownKey(object, inForce, t); at != "" {
				return fmt.Sprintf("[%d].%s", i, at)
			}
		}
	}
	return ""
}

// fieldOfKey returns the type of the field that a JSON key is decoded into. It ignores case, as encoding/json does.
func fieldOfKey(t reflect.Type, key string) (field reflect.Type, ok bool) {
	for i := range t.NumField() {
		if f := t.Field(i); strings.EqualFold(f.Tag.Get("json"), key) {
			return f.Type, true
		}
	}
	return nil, false
}

// keysOfElements returns the keys of all objects in a list.
func keysOfElements(list any) map[string]any {
	all := map[string]any{}
	elements, _ := list.([]any)
	for _, element := range elements {
		if object, ok := element.(map[string]any); ok {
			for key, value := range object {
				all[key] = value
			}
		}
	}
	return all
}
