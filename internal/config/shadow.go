package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"damsonscale/decide"
)

// Shadow is a second set of settings that is evaluated in parallel with the settings in force, without effect.
type Shadow struct {
	Settings    decide.Settings
	LogInterval time.Duration // interval between log lines with the counts of differences
}

// shadowFile is the JSON form of the key watch in the configuration file.
type shadowFile struct {
	Settings           json.RawMessage `json:"settings"` // required
	LogIntervalSeconds *float64        `json:"every_s"`  // default 10; 0.1 to 3600
}

const (
	defaultShadowLogSeconds = 10.0
	minShadowLogSeconds     = 0.1
	maxShadowLogSeconds     = 3600.0
)

// parseShadow reads shadow settings. Their classes and tenants must have the same names in the same order as those of the
// serving settings, because both sets of settings get the same events.
func parseShadow(in *shadowFile, serving *decide.Settings) (*Shadow, error) {
	seconds := defaultShadowLogSeconds
	if in.LogIntervalSeconds != nil {
		seconds = *in.LogIntervalSeconds
	}
	if !(seconds >= minShadowLogSeconds && seconds <= maxShadowLogSeconds) {
		return nil, fmt.Errorf("every_s: expected %v to %v, got %v", minShadowLogSeconds, maxShadowLogSeconds, seconds)
	}
	if len(in.Settings) == 0 {
		return nil, fmt.Errorf("settings is missing")
	}
	settings, err := ParseSettings(in.Settings)
	if err != nil {
		return nil, err
	}
	if err := checkSupported(&settings); err != nil {
		return nil, fmt.Errorf("settings.%w", err)
	}
	if !slices.EqualFunc(settings.Classes, serving.Classes, func(a, b decide.Class) bool { return a.Name == b.Name }) {
		return nil, fmt.Errorf("settings.Services: expected the same class names in the same order as in settings")
	}
	if !slices.EqualFunc(settings.Tenants, serving.Tenants, func(a, b decide.Tenant) bool { return a.Name == b.Name }) {
		return nil, fmt.Errorf("settings.Realms: expected the same tenant names in the same order as in settings")
	}
	return &Shadow{Settings: settings, LogInterval: time.Duration(seconds * float64(time.Second))}, nil
}
