// Package config reads a sidecar's configuration, validates it and applies defaults. No other package uses the keys of the
// configuration file and of the settings: this package maps each key to the term that the code uses. Errors name the keys
// as they are written in the file.
package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"damsonscale/decide"
	"damsonscale/internal/discovery"
)

// Environment variables. Those after envConfig override a key of the configuration file.
const (
	envConfig    = "PROXY_CONFIG"    // path of the configuration file; required
	envName      = "PROXY_NAME"      // overrides name
	envListen    = "PROXY_LISTEN"    // overrides listen
	envDiscovery = "PROXY_DISCOVERY" // overrides discovery
	envAdmin     = "PROXY_ADMIN"     // overrides admin
)

// Config is the configuration of a sidecar. It must not be changed once it is in use.
type Config struct {
	Name            string            // name of the sidecar; required
	Listen          string            // address:port at which the sidecar accepts clients; required
	Discovery       string            // address:port of the discovery service; required
	Admin           string            // address:port of the admin API; empty: no admin API
	Seed            uint64            // seed of the random number generator
	Limits          Limits            // resource limits of the process
	LastEndpoints   *discovery.Update // last known endpoint list, used until discovery answers; nil: none
	Settings        decide.Settings   // settings of the balancer's decisions
	Transport       Transport         // settings of connections to servers
	Shadow          *Shadow           // settings to evaluate in parallel without effect; nil: none
	SettingsVersion uint64            // version of the settings that the fleet rolled out; 0: the settings are the file's
	SettingsDigest  uint64            // digest of the text of the settings; 0: no audit log uses it

	fileDiscovery string // discovery address in the file, without the override by the environment
	text          []byte // content of the configuration file
}

// file is the JSON form of the configuration file.
type file struct {
	Name          string            `json:"name"`
	Listen        string            `json:"listen"`
	Discovery     string            `json:"discovery"`
	Admin         string            `json:"admin"`
	Seed          string            `json:"seed"` // up to 16 hex digits
	Limits        Limits            `json:"limits"`
	LastEndpoints *discovery.Update `json:"known"`
	Settings      json.RawMessage   `json:"settings"` // read as settingsJSON
	Shadow        *shadowFile       `json:"watch"`
}

// Load reads the configuration file whose path is in PROXY_CONFIG. PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY and PROXY_ADMIN
// override its keys. env returns the value of an environment variable.
func Load(env func(string) string) (*Config, error) {
	path := env(envConfig)
	if path == "" {
		return nil, fmt.Errorf("%s: expected the path of a configuration file, got an empty value", envConfig)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", envConfig, err)
	}
	return Parse(text, env)
}

// Parse reads a configuration from the text of a configuration file. Its error names the first key that is invalid.
func Parse(text []byte, env func(string) string) (*Config, error) {
	var in file
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	c := &Config{fileDiscovery: in.Discovery, text: text}
	override(&in.Name, env(envName))
	override(&in.Listen, env(envListen))
	override(&in.Discovery, env(envDiscovery))
	override(&in.Admin, env(envAdmin))
	c.Admin = in.Admin
	c.Name, c.Listen, c.Discovery, c.Limits, c.LastEndpoints = in.Name, in.Listen, in.Discovery, in.Limits, in.LastEndpoints
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
	if in.Shadow != nil {
		if c.Shadow, err = parseShadow(in.Shadow, &c.Settings); err != nil {
			return nil, fmt.Errorf("config: watch.%w", err)
		}
	}
	return c, nil
}

// Text returns the content of the configuration file.
func (c *Config) Text() []byte { return c.text }

// checkSupported returns an error for settings that this program cannot carry out. Gossip is not supported, because a
// sidecar has no connection to other balancers.
func checkSupported(settings *decide.Settings) error {
	if settings.Limits.Gossip {
		return fmt.Errorf("Limits.Peers: this program carries no messages between balancers")
	}
	return nil
}

// override replaces *s by value unless value is empty.
func override(s *string, value string) {
	if value != "" {
		*s = value
	}
}

// check validates all keys but the settings and applies their defaults. Its error names the first key that is invalid.
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

func (c *Config) checkDiscovery() error {
	if _, err := netip.ParseAddrPort(c.Discovery); err != nil {
		return fmt.Errorf("config: discovery: expected address:port, got %q", c.Discovery)
	}
	return nil
}
