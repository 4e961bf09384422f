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

// hollowMember is a member without a data path. Its membership, custody, audit log, settings versions and endpoint list are handled by the
// program's packages.
type hollowMember struct {
	name   string
	report func(Event)

	mu   sync.Mutex
	conf *config.Config
}

var errNoDataPath = errors.New("a hollow member has no data path to resume a request")

// ResumeOrphan returns an error: no requests are sent in a run.
func (h *hollowMember) ResumeOrphan(*takeover.Record, *takeover.StoredRequest) (func(takeover.SendPermit) takeover.Result, error) {
	return nil, errNoDataPath
}

// DiscardResponse does nothing: there are no responses.
func (h *hollowMember) DiscardResponse(any) {}

// ApplySettings validates a settings version like the program, and applies it.
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

// ValidateSettings returns the error that ApplySettings would return.
func (h *hollowMember) ValidateSettings(text []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := h.conf.WithFleetSettings(text, os.Getenv)
	return err
}

// CloseIdleConnections does nothing: there are no connections to endpoints.
func (h *hollowMember) CloseIdleConnections() {}

// OnEndpoints reports that an endpoint list is applied.
func (h *hollowMember) OnEndpoints(l *discovery.Update) {
	h.report(Event{Kind: EventListApplied, Member: h.name, Number: l.Seq, At: time.Now()})
}

// startHollow starts a hollow member, which joins its fleet and watches the list service.
func startHollow(ctx context.Context, o *options.Options, name string, conf *config.Config, list string, report func(Event)) error {
	h := &hollowMember{name: name, report: report, conf: conf}
	const maxRequestTime = 2 * time.Second
	f, err := fleet.New(o, name, maxRequestTime, h, h)
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
