// Package config reads a sidecar's configuration, checks it and applies defaults. It is the one place that knows the keys of
// the configuration file and of the settings: they are mapped here to the terms that the code uses, and errors name them as
// users write them.
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

// Environment variables. All but the first override a key of the file.
const (
	envConfig    = "PROXY_CONFIG"    // path of the configuration file; required
	envName      = "PROXY_NAME"      // name
	envListen    = "PROXY_LISTEN"    // listen
	envDiscovery = "PROXY_DISCOVERY" // discovery
	envAdmin     = "PROXY_ADMIN"     // admin
)

// Config is the configuration of a sidecar. It must not be changed once it is in use.
type Config struct {
	Name            string            // of the sidecar; required
	Listen          string            // address:port for clients; required
	Discovery       string            // address:port of the discovery service; required
	Admin           string            // address:port for operators; empty: none
	Seed            uint64            // of the random draws
	Limits          Limits            // of the machine
	LastEndpoints   *discovery.Update // the endpoint list as last known; nil: none
	Settings        decide.Settings   // of the decisions
	Transport       Transport         // of connections
	Shadow          *Shadow           // settings to evaluate beside these; nil: none
	SettingsVersion uint64            // number of the settings, where a fleet gave them
	SettingsDigest  uint64            // of the bytes of the settings, where there is an audit trail

	fileDiscovery string // the discovery address in the file itself
	text          []byte // the file
}

// file is the form of the configuration file.
type file struct {
	Name          string            `json:"name"`
	Listen        string            `json:"listen"`
	Discovery     string            `json:"discovery"`
	Admin         string            `json:"admin"`
	Seed          string            `json:"seed"` // up to 16 hex digits
	Limits        Limits            `json:"limits"`
	LastEndpoints *discovery.Update `json:"known"`
	Settings      json.RawMessage   `json:"settings"` // see settingsJSON
	Shadow        *shadowFile       `json:"watch"`
}

// Load reads the file that PROXY_CONFIG names. PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY and PROXY_ADMIN override its keys.
func Load(env func(string) string) (*Config, error) {
	path := env(envConfig)
	if path == "" {
		return nil, fmt.Errorf("%s: names no file", envConfig)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", envConfig, err)
	}
	return Parse(text, env)
}

// Parse reads a configuration. Its error names the first key that is invalid.
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

// Text returns the file as it was read.
func (c *Config) Text() []byte { return c.text }

// checkSupported refuses settings that this program cannot carry out: it has no connection to other balancers.
func checkSupported(settings *decide.Settings) error {
	if settings.Limits.Gossip {
		return fmt.Errorf("Limits.Peers: this program carries no messages between balancers")
	}
	return nil
}

func override(s *string, with string) {
	if with != "" {
		*s = with
	}
}

// check applies defaults to all but the settings, and names the first key that is invalid.
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
