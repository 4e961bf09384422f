package app

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"damsonscale/decide"
	"damsonscale/internal/config"
	"damsonscale/internal/eventlog"
	"damsonscale/internal/frontend"
	"damsonscale/internal/sidecar"
)

// SettingsManager owns the configuration in force, which comes from the configuration file. While a version of settings that
// the fleet rolls out is in force, this version replaces the file's settings. The methods may be called from any goroutine.
type SettingsManager struct {
	sidecar  *sidecar.Sidecar
	frontend *frontend.Frontend
	digestOf func(text []byte) uint64 // nil: no audit log; set before the first reload
	getenv   func(string) string

	// maxDeadlineMicros is the longest deadline of a class in all settings since the start, in µs.
	maxDeadlineMicros atomic.Int64

	mu            sync.Mutex
	config        *config.Config // configuration in force
	fileVersion   int            // number of successful loads of the file, the first included
	fleetVersion  uint64         // version of the fleet's settings in force; 0: the file's settings are in force
	fleetSettings []byte         // text of the fleet's settings in force
}

func newSettingsManager(conf *config.Config, side *sidecar.Sidecar, front *frontend.Frontend) *SettingsManager {
	m := &SettingsManager{sidecar: side, frontend: front, getenv: os.Getenv, config: conf, fileVersion: 1}
	m.maxDeadlineMicros.Store(maxDeadlineMicros(conf.Settings.Classes))
	return m
}

// maxDeadline returns the longest deadline of a class in all settings since the start.
func (m *SettingsManager) maxDeadline() time.Duration {
	return time.Duration(m.maxDeadlineMicros.Load()) * time.Microsecond
}

// maxDeadlineMicros returns the longest deadline of a class, in µs.
func maxDeadlineMicros(classes []decide.Class) (longest int64) {
	for _, c := range classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// reload reads the file again. If it is invalid, the configuration in force stays. While settings of the fleet are in
// force, the settings of the file are validated but not applied.
func (m *SettingsManager) reload() {
	m.mu.Lock()
	defer m.mu.Unlock()
	next, needsRestart, err := m.config.Reload(m.getenv)
	if err != nil {
		eventlog.Warn(eventReloadFailed, err)
		return
	}
	var source []any
	if m.fleetVersion > 0 {
		if next, err = next.WithFleetSettings(m.fleetSettings, m.getenv); err != nil {
			eventlog.Warn(eventReloadFailed, fmt.Errorf("merge with version %d of the fleet's settings: %w", m.fleetVersion, err))
			return
		}
		source = []any{"settings_source", "fleet", "settings_version", m.fleetVersion}
	}
	changed := m.apply(next, m.fleetVersion, m.digest(next))
	m.sidecar.SetDiscoveryAddress(next.Discovery)
	m.fileVersion++
	eventlog.Info(eventConfigReloaded, append([]any{
		"version", m.fileVersion, "settings_changed", changed, "discovery", next.Discovery,
		"previous_discovery", m.config.Discovery, "needs_restart", strings.Join(needsRestart, ","),
	}, source...)...)
	m.config = next
}

// digest returns the digest of the settings' text: of the fleet's settings if they are in force, otherwise of the file that c
// was read from. Without an audit log it returns 0.
func (m *SettingsManager) digest(c *config.Config) uint64 {
	switch {
	case m.digestOf == nil:
		return 0
	case m.fleetVersion > 0:
		return m.digestOf(m.fleetSettings)
	}
	return m.digestOf(c.Text())
}

// apply puts a configuration in force atomically and returns whether its settings differ from those in force before. The
// caller must hold mu.
func (m *SettingsManager) apply(next *config.Config, version, digest uint64) (changed bool) {
	next.SettingsVersion, next.SettingsDigest = version, digest
	changed = next.SettingsChanged(m.config)
	if changed || next.SettingsVersion != m.config.SettingsVersion || next.SettingsDigest != m.config.SettingsDigest {
		m.maxDeadlineMicros.Store(max(m.maxDeadlineMicros.Load(), maxDeadlineMicros(next.Settings.Classes)))
		m.sidecar.ApplyConfig(next, m.frontend.ApplySettings)
	}
	return changed
}

// ApplySettings puts a version of the fleet's settings in force. On an error the configuration in force stays.
func (m *SettingsManager) ApplySettings(version uint64, text []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	next, err := m.config.WithFleetSettings(text, m.getenv)
	if err != nil {
		return err
	}
	m.fleetVersion, m.fleetSettings = version, text
	changed := m.apply(next, version, m.digest(next))
	eventlog.Info(eventSettingsApplied, "settings_version", version, "settings_changed", changed)
	m.config = next
	return nil
}

// ValidateSettings returns the error that ApplySettings would return for this text, without applying it.
func (m *SettingsManager) ValidateSettings(text []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, err := m.config.WithFleetSettings(text, m.getenv)
	return err
}

// CloseIdleConnections closes idle connections to clients and servers. The fleet calls it while this member must not serve.
func (m *SettingsManager) CloseIdleConnections() {
	m.frontend.CloseIdleConnections()
	m.sidecar.CloseIdleConnections()
}
