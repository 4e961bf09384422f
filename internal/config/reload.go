package config

import (
	"fmt"
	"reflect"
)

// Reload reads the file again and returns its configuration, with the names of the changed keys that take effect only when
// the process is restarted. If the new file does not have a key of the file in force, Reload returns an error, because the
// new file may be partly written.
//
// If the discovery address in the file has changed, it overrides PROXY_DISCOVERY, whose value dates from the start of the
// process.
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

// SettingsChanged reports whether the settings, those of connections and the shadow settings included, differ from those of
// another configuration.
func (c *Config) SettingsChanged(other *Config) bool {
	return !reflect.DeepEqual(c.Settings, other.Settings) || c.Transport != other.Transport ||
		!reflect.DeepEqual(c.Shadow, other.Shadow)
}

// checkReplaces returns an error if the next file does not have a key of the file in force.
func checkReplaces(inForce, next []byte) error {
	key, err := missingKey(inForce, next)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	if key != "" {
		return fmt.Errorf("config: %s is missing but is set in the file in force", key)
	}
	return nil
}

// checkExplicit returns an error for values that a start replaces by a default. In a file that replaces another, such a
// value is taken for a mistake.
func (c *Config) checkExplicit() error {
	for _, class := range c.Settings.Classes {
		if class.Deadline <= 0 {
			return fmt.Errorf("config: settings: class %s: DeadlineUs: expected more than 0, got %d", class.Name, class.Deadline)
		}
	}
	if n := c.Settings.Limits.MaxAttempts; n <= 0 {
		return fmt.Errorf("config: settings.Limits.MaxAttempts: expected more than 0, got %d", n)
	}
	return nil
}
