package config

import (
	"fmt"
	"reflect"
)

// Reload reads the file again and returns its configuration, with the names of the changed keys that take effect only at the
// next start. A key that the file in force has and the new one lacks is an error: the new one may be half written.
//
// A discovery address that differs from the one that the file named before overrides PROXY_DISCOVERY, which is as old as
// the process.
func (c *Config) Reload(env func(string) string) (next *Config, needsRestart []string, err error) {
	if next, err = Load(env); err != nil {
		return nil, nil, err
	}
	if err := checkReplaces(c.text, next.text); err != nil {
		return nil, nil, err
	}
	if err := next.checkExplicit(); err != nil {
		return nil, nil, err
	}
	next.Discovery = c.Discovery
	if next.fileDiscovery != c.fileDiscovery {
		override(&next.Discovery, next.fileDiscovery)
	}
	if err := next.checkDiscovery(); err != nil {
		return nil, nil, err
	}
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"name", next.Name == c.Name}, {"listen", next.Listen == c.Listen}, {"admin", next.Admin == c.Admin},
		{"seed", next.Seed == c.Seed}, {"limits", next.Limits == c.Limits},
		{"watch", (next.Shadow == nil) == (c.Shadow == nil) && (c.Shadow == nil || next.Shadow.LogInterval == c.Shadow.LogInterval)},
	} {
		if !k.same {
			needsRestart = append(needsRestart, k.key)
		}
	}
	return next, needsRestart, nil
}

// SettingsChanged reports whether the settings differ from those of another configuration.
func (c *Config) SettingsChanged(other *Config) bool {
	return !reflect.DeepEqual(c.Settings, other.Settings) || c.Transport != other.Transport ||
		!reflect.DeepEqual(c.Shadow, other.Shadow)
}

// checkReplaces refuses a file that lacks a key of the file in force.
func checkReplaces(inForce, next []byte) error {
	key, err := missingKey(inForce, next)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	if key != "" {
		return fmt.Errorf("config: %s is missing, the file in force has it", key)
	}
	return nil
}

// checkExplicit refuses values for which a start would use a default: in a file that replaces another they are a mistake.
func (c *Config) checkExplicit() error {
	for _, class := range c.Settings.Classes {
		if class.Deadline <= 0 {
			return fmt.Errorf("config: settings: class %s: DeadlineUs: expected over 0, got %d", class.Name, class.Deadline)
		}
	}
	if n := c.Settings.Limits.MaxAttempts; n <= 0 {
		return fmt.Errorf("config: settings.Limits.MaxAttempts: expected over 0, got %d", n)
	}
	return nil
}
