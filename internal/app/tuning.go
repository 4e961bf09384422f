package app

import (
	"fmt"
	"log"
	"os"
	"strings"
	"sync"
	"sync/atomic"

	"damsonscale/internal/config"
	"damsonscale/internal/frontend"
	"damsonscale/internal/sidecar"
)

// Tuning owns the configuration in force: its file's, or with the settings of a fleet's version.
type Tuning struct {
	side  *sidecar.Sidecar
	front *frontend.Frontend
	most  *atomic.Int64            // the longest deadline of any settings so far
	sum   func(text []byte) uint64 // nil: no account is kept
	env   func(string) string

	mu      sync.Mutex
	conf    *config.Config
	version int    // of the file, counted from this start
	number  uint64 // given by the fleet; 0: the file's own settings are in force
	text    []byte // of that version
}

// reload reads the file again. A faulty file changes nothing. Once a fleet's settings are in force those of the file are checked
// and not taken.
func (t *Tuning) reload() {
	t.mu.Lock()
	defer t.mu.Unlock()
	next, restart, err := t.conf.Reload(t.env)
	if err != nil {
		log.Printf("event=reload_failed err=%q", err)
		return
	}
	of := ""
	if t.number > 0 {
		if next, err = next.WithFleetSettings(t.text, t.env); err != nil {
			log.Printf("event=reload_failed err=%q", fmt.Errorf("with the fleet's settings %d: %w", t.number, err))
			return
		}
		of = fmt.Sprintf(" settings=fleet number=%d", t.number)
	}
	retuned := t.take(next, t.number, t.digest(next))
	t.side.SetDiscoveryAddress(next.Discovery)
	t.version++
	log.Printf("event=reload version=%d retuned=%t discovery=%s was=%s needs_restart=%q%s", t.version, retuned,
		next.Discovery, t.conf.Discovery, strings.Join(restart, ","), of)
	t.conf = next
}

// digest is that of the bytes that settings come from.
func (t *Tuning) digest(c *config.Config) uint64 {
	switch {
	case t.sum == nil:
		return 0
	case t.number > 0:
		return t.sum(t.text)
	}
	return t.sum(c.Text())
}

// take puts a configuration in force, in one step. The caller holds mu.
func (t *Tuning) take(next *config.Config, number, digest uint64) (retuned bool) {
	next.SettingsVersion, next.SettingsDigest = number, digest
	retuned = next.SettingsChanged(t.conf)
	if retuned || next.SettingsVersion != t.conf.SettingsVersion || next.SettingsDigest != t.conf.SettingsDigest {
		t.most.Store(max(t.most.Load(), longest(next.Settings.Classes)))
		t.side.ApplyConfig(next, t.front.Retune)
	}
	return retuned
}

// ApplySettings puts the settings of a fleet's version in force, or returns why that can't be; then nothing has changed.
func (t *Tuning) ApplySettings(number uint64, text []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	next, err := t.conf.WithFleetSettings(text, t.env)
	if err != nil {
		return err
	}
	t.number, t.text = number, text
	retuned := t.take(next, number, t.digest(next))
	log.Printf("event=adopted number=%d retuned=%t", number, retuned)
	t.conf = next
	return nil
}

// ValidateSettings tells what Adopt would say.
func (t *Tuning) ValidateSettings(text []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, err := t.conf.WithFleetSettings(text, t.env)
	return err
}

// CloseIdleConnections closes what is idle: this process may not act.
func (t *Tuning) CloseIdleConnections() {
	t.front.Rest()
	t.side.CloseIdleConnections()
}

func newTuning(conf *config.Config, side *sidecar.Sidecar, front *frontend.Frontend, most *atomic.Int64) *Tuning {
	return &Tuning{side: side, front: front, most: most, env: os.Getenv, conf: conf, version: 1}
}
