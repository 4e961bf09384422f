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

// SettingsManager owns the configuration in force: that of the file, or the file's with a version of the settings that
// the fleet rolls out. Its methods may be called from any goroutine.
type SettingsManager struct {
	sidecar  *sidecar.Sidecar
	frontend *frontend.Frontend
	digestOf func(text []byte) uint64 // nil: no audit log; set before the first reload
	getenv   func(string) string

	// maxDeadlineMicros is the longest deadline of a class in any settings so far, in µs.
	maxDeadlineMicros atomic.Int64

	mu            sync.Mutex
	config        *config.Config // in force
	fileVersion   int            // counts readings of the file, from 1
	fleetVersion  uint64         // of the settings; 0: the file's own are in force
	fleetSettings []byte         // the text of that version
}

func newSettingsManager(conf *config.Config, side *sidecar.Sidecar, front *frontend.Frontend) *SettingsManager {
	m := &SettingsManager{sidecar: side, frontend: front, getenv: os.Getenv, config: conf, fileVersion: 1}
	m.maxDeadlineMicros.Store(maxDeadlineMicros(conf.Settings.Classes))
	return m
}

// maxDeadline returns the longest deadline of a class in any settings so far.
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

// reload reads the file again. An invalid file changes nothing. While settings of the fleet are in force those of the
// file are checked, and not applied.
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
			eventlog.Warn(eventReloadFailed, fmt.Errorf("with the fleet's settings %d: %w", m.fleetVersion, err))
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

// digest returns the digest of the text that the settings in force come from; 0: no audit log needs it.
func (m *SettingsManager) digest(c *config.Config) uint64 {
	switch {
	case m.digestOf == nil:
		return 0
	case m.fleetVersion > 0:
		return m.digestOf(m.fleetSettings)
	}
	return m.digestOf(c.Text())
}

// apply puts a configuration in force, in one step, and returns whether its settings differ. The caller holds mu.
func (m *SettingsManager) apply(next *config.Config, version, digest uint64) (changed bool) {
	next.SettingsVersion, next.SettingsDigest = version, digest
	changed = next.SettingsChanged(m.config)
	if changed || next.SettingsVersion != m.config.SettingsVersion || next.SettingsDigest != m.config.SettingsDigest {
		m.maxDeadlineMicros.Store(max(m.maxDeadlineMicros.Load(), maxDeadlineMicros(next.Settings.Classes)))
		m.sidecar.ApplyConfig(next, m.frontend.ApplySettings)
	}
	return changed
}

// ApplySettings puts a version of the fleet's settings in force. On an error nothing has changed.
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

// ValidateSettings returns the error that ApplySettings would.
func (m *SettingsManager) ValidateSettings(text []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, err := m.config.WithFleetSettings(text, m.getenv)
	return err
}

// CloseIdleConnections closes idle connections to clients and servers, while this member may not serve.
func (m *SettingsManager) CloseIdleConnections() {
	m.frontend.CloseIdleConnections()
	m.sidecar.CloseIdleConnections()
}
