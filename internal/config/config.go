// Package config is the one place where configuration is read, checked and given defaults.
package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
	"time"

	"damsonscale/decide"
	"damsonscale/internal/discovery"
)

// Limits are what the sidecar's machine grants it.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

const (
	defaultCores            = 1.0
	defaultMemoryMB         = 192
	defaultSockets          = 1024
	minMemoryMB             = 8    // the runtime and the buffers of a few connections
	defaultShadowLogSeconds = 10.0 // between two lines of the watch
	minShadowLogSeconds     = 0.1
	maxShadowLogSeconds     = 3600.0
	minSockets              = 32 // the runtime's own, one listener, one watch, a few connections each way
)

// Config is all that a sidecar is told at its start.
type Config struct {
	Name            string
	Listen          string
	Discovery       string
	Admin           string // the operators' address; empty: none
	Seed            uint64
	Limits          Limits
	LastEndpoints   *discovery.Update // the list as last known; nil: none
	Settings        decide.Settings
	Transport       Transport
	Shadow          *Shadow // nil: off
	SettingsVersion uint64  // of the settings, where a fleet gave them
	SettingsDigest  uint64  // of the bytes that they come from, where an account is kept

	fileDiscovery string // discovery as the file itself has it
	text          []byte // the file
}

// Shadow is a second set of settings that is judged beside the first, without effect.
type Shadow struct {
	Settings    decide.Settings
	LogInterval time.Duration // between two log lines
}

// file is the configuration file's form.
type file struct {
	Name      string            `json:"name"`
	Listen    string            `json:"listen"`
	Discovery string            `json:"discovery"`
	Admin     string            `json:"admin"`
	Seed      string            `json:"seed"`
	Limits    Limits            `json:"limits"`
	Known     *discovery.Update `json:"known"`
	Settings  json.RawMessage   `json:"settings"`
	Watch     *shadowFile       `json:"watch"`
}

// shadowFile is the watch's form in the file.
type shadowFile struct {
	Settings        json.RawMessage `json:"settings"`
	IntervalSeconds *float64        `json:"every_s"`
}

// Load reads the file that PROXY_CONFIG names; PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY and PROXY_ADMIN go before it.
func Load(env func(string) string) (*Config, error) {
	path := env("PROXY_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("PROXY_CONFIG: names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	return Parse(text, env)
}

// Parse reads a configuration and names the first key that makes no sense.
func Parse(text []byte, env func(string) string) (*Config, error) {
	var in file
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	c := &Config{fileDiscovery: in.Discovery, text: text}
	override(&in.Name, env("PROXY_NAME"))
	override(&in.Listen, env("PROXY_LISTEN"))
	override(&in.Discovery, env("PROXY_DISCOVERY"))
	override(&in.Admin, env("PROXY_ADMIN"))
	c.Admin = in.Admin
	c.Name, c.Listen, c.Discovery, c.Limits, c.LastEndpoints = in.Name, in.Listen, in.Discovery, in.Limits, in.Known
	if err := c.check(in.Seed); err != nil {
		return nil, err
	}
	if len(in.Settings) == 0 {
		return nil, fmt.Errorf("config: settings is missing")
	}
	var err error
	if c.Settings, c.Transport, err = parseSettings(in.Settings); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if err := checkSupported(&c.Settings); err != nil {
		return nil, fmt.Errorf("config: settings.%w", err)
	}
	if in.Watch != nil {
		if c.Shadow, err = parseShadow(in.Watch, &c.Settings); err != nil {
			return nil, fmt.Errorf("config: watch.%w", err)
		}
	}
	return c, nil
}

// checkSupported refuses what this program cannot do: it has no way to other balancers.
func checkSupported(set *decide.Settings) error {
	if set.Limits.Gossip {
		return fmt.Errorf("Limits.Peers: this program carries no messages between balancers")
	}
	return nil
}

// parseShadow reads settings that are to be judged on the events of others: requests must mean the same in both.
func parseShadow(in *shadowFile, serving *decide.Settings) (*Shadow, error) {
	every := defaultShadowLogSeconds
	if in.IntervalSeconds != nil {
		every = *in.IntervalSeconds
	}
	if !(every >= minShadowLogSeconds && every <= maxShadowLogSeconds) {
		return nil, fmt.Errorf("every_s: expected %v to %v, got %v", minShadowLogSeconds, maxShadowLogSeconds, every)
	}
	if len(in.Settings) == 0 {
		return nil, fmt.Errorf("settings is missing")
	}
	set, err := ParseSettings(in.Settings)
	if err != nil {
		return nil, err
	}
	if err := checkSupported(&set); err != nil {
		return nil, fmt.Errorf("settings.%w", err)
	}
	if !slices.EqualFunc(set.Classes, serving.Classes, func(a, b decide.Class) bool { return a.Name == b.Name }) {
		return nil, fmt.Errorf("settings.Services: expected the classes of settings in the same order")
	}
	if !slices.EqualFunc(set.Tenants, serving.Tenants, func(a, b decide.Tenant) bool { return a.Name == b.Name }) {
		return nil, fmt.Errorf("settings.Realms: expected the tenants of settings in the same order")
	}
	return &Shadow{Settings: set, LogInterval: time.Duration(every * float64(time.Second))}, nil
}

// Reload reads the file again, checks it whole, and names the keys that changed and count from the next start on. A
// discovery that the file did not name before goes before PROXY_DISCOVERY: that variable is as old as the program's
// start. Guards against a file that is half written: a key of the file in force that it lacks is an error.
func (c *Config) Reload(env func(string) string) (next *Config, restart []string, err error) {
	if next, err = Load(env); err != nil {
		return nil, nil, err
	}
	if key, err := missingKey(c.text, next.text); err != nil {
		return nil, nil, fmt.Errorf("config: %w", err)
	} else if key != "" {
		return nil, nil, fmt.Errorf("config: %s is missing, the file in force has it", key)
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
			restart = append(restart, k.key)
		}
	}
	return next, restart, nil
}

// SettingsChanged tells whether settings differ from those of another configuration.
func (c *Config) SettingsChanged(other *Config) bool {
	return !reflect.DeepEqual(c.Settings, other.Settings) || c.Transport != other.Transport ||
		!reflect.DeepEqual(c.Shadow, other.Shadow)
}

// checkExplicit refuses what a start would put a default for: in a file that replaces another it is a mistake.
func (c *Config) checkExplicit() error {
	for _, k := range c.Settings.Classes {
		if k.Deadline <= 0 {
			return fmt.Errorf("config: settings: class %s: DeadlineUs: expected over 0, got %d", k.Name, k.Deadline)
		}
	}
	if n := c.Settings.Limits.MaxAttempts; n <= 0 {
		return fmt.Errorf("config: settings.Limits.MaxAttempts: expected over 0, got %d", n)
	}
	return nil
}

func (c *Config) checkDiscovery() error {
	if _, err := netip.ParseAddrPort(c.Discovery); err != nil {
		return fmt.Errorf("config: discovery: expected address:port, got %q", c.Discovery)
	}
	return nil
}

func override(s *string, with string) {
	if with != "" {
		*s = with
	}
}

// check fills in defaults and names the first key that makes no sense.
func (c *Config) check(seed string) (err error) {
	if c.Name == "" {
		return fmt.Errorf("config: name is missing")
	}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return fmt.Errorf("config: listen: expected address:port, got %q", c.Listen)
	}
	if err := c.checkDiscovery(); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(c.Admin); c.Admin != "" && err != nil {
		return fmt.Errorf("config: admin: expected address:port, got %q", c.Admin)
	}
	if c.Admin != "" && c.Admin == c.Listen {
		return fmt.Errorf("config: admin: expected another address than listen, got %q", c.Admin)
	}
	if seed != "" {
		if c.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			return fmt.Errorf("config: seed: expected up to 16 hex digits, got %q", seed)
		}
	}
	if c.LastEndpoints != nil {
		if err := c.LastEndpoints.Validate(); err != nil {
			return fmt.Errorf("config: known.%w", err)
		}
	}
	return c.Limits.check()
}

func (l *Limits) check() error {
	if l.Cores == 0 {
		l.Cores = defaultCores
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	switch {
	case !(l.Cores > 0):
		return fmt.Errorf("config: limits.cores: expected more than 0, got %v", l.Cores)
	case l.MemoryMB < minMemoryMB:
		return fmt.Errorf("config: limits.memory_mb: expected at least %d, got %d", minMemoryMB, l.MemoryMB)
	case l.Sockets < minSockets:
		return fmt.Errorf("config: limits.sockets: expected at least %d, got %d", minSockets, l.Sockets)
	}
	return nil
}
