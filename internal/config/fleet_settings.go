package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// perSidecarKeys are the settings that a fleet does not set.
var perSidecarKeys = []string{"Me", "Zone"}

// fleetKeys are the keys that a fleet's file may have. All but settings belong to each sidecar and are ignored, so that a
// sidecar's whole file may be given as it is.
var fleetKeys = []string{"name", "listen", "discovery", "admin", "seed", "limits", "known", "settings", "watch"}

// WithFleetSettings returns this configuration with the settings of a fleet's file, checked as in Reload. A key of the
// settings that neither this build nor the file in force knows is an error: this member would otherwise claim to have
// adopted a version of which it applies a part.
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

// mergeFleetSettings returns this configuration's file with the settings of a fleet's file but for perSidecarKeys.
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

// unknownKey names the first key of an object that has no field in t and is not in the object in force either; empty: none.
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

// unknownKeyInList is unknownKey for the objects of a list.
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

// fieldOfKey returns the type of the field that a JSON key is decoded into, as encoding/json matches them.
func fieldOfKey(t reflect.Type, key string) (field reflect.Type, ok bool) {
	for i := range t.NumField() {
		if f := t.Field(i); strings.EqualFold(f.Tag.Get("json"), key) {
			return f.Type, true
		}
	}
	return nil, false
}

// keysOfElements returns all keys that any object of a list has.
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
