package fleetscale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"damsonscale/internal/config"
	"damsonscale/internal/discovery"
	"damsonscale/internal/fleet"
	"damsonscale/internal/options"
	"damsonscale/internal/takeover"
)

// hollowMember is a member without a data path: its fleet, custody, account, versions and list are the program's own.
type hollowMember struct {
	name   string
	report func(Event)

	mu   sync.Mutex
	conf *config.Config
}

var errHollow = errors.New("a hollow member runs nothing")

// ResumeOrphan refuses: nobody sends requests in such a run.
func (h *hollowMember) ResumeOrphan(*takeover.Record, *takeover.StoredRequest) (func(takeover.SendPermit) takeover.Result, error) {
	return nil, errHollow
}

// DiscardResponse is never called with anything.
func (h *hollowMember) DiscardResponse(any) {}

// ApplySettings puts a version in force, by the checks of the program.
func (h *hollowMember) ApplySettings(number uint64, text []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, err := h.conf.WithFleetSettings(text, os.Getenv)
	if err != nil {
		return err
	}
	h.conf = next
	h.report(Event{Kind: EventSettingsApplied, Member: h.name, Number: int64(number), At: time.Now()})
	return nil
}

// ValidateSettings tells what Adopt would say.
func (h *hollowMember) ValidateSettings(text []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := h.conf.WithFleetSettings(text, os.Getenv)
	return err
}

// CloseIdleConnections has nothing to close.
func (h *hollowMember) CloseIdleConnections() {}

// OnEndpoints tells of a list in force.
func (h *hollowMember) OnEndpoints(l *discovery.Update) {
	h.report(Event{Kind: EventListApplied, Member: h.name, Number: l.Seq, At: time.Now()})
}

// startHollow joins a member to its fleet and to the list service.
func startHollow(ctx context.Context, o *options.Options, name string, conf *config.Config, list string, tell func(Event)) error {
	h := &hollowMember{name: name, report: tell, conf: conf}
	const longest = 2 * time.Second
	f, err := fleet.New(o, name, longest, h, h)
	if err == nil {
		err = f.Start(ctx)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	client := discovery.New(list, nil, discovery.Source{BalancerCount: conf.Settings.BalancerCount}, h)
	go client.Run(ctx)
	return nil
}
