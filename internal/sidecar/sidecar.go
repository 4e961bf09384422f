package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"damsonscale/decide"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/config"
	"damsonscale/internal/discovery"
	"damsonscale/internal/shadow"
	"damsonscale/internal/upstream"
)

// mailboxSize is how many messages may wait for the actor.
const mailboxSize = 1024

// Sidecar is the actor around the decision module. All methods but Run and SetRecorder may be called from any goroutine
// while Run runs.
type Sidecar struct {
	mailbox        chan message
	startedAt      time.Time
	discovery      *discovery.Client
	endpointConfig upstream.EndpointConfig

	// Owned by the goroutine of Run.

	startConfig         *config.Config   // of the start
	settings            *decide.Settings // in force
	transport           config.Transport
	balancer            *decide.Balancer
	evaluator           *shadow.Evaluator          // nil: none
	eventActions        []shadow.Action            // of the event at hand, for the evaluator
	calls               map[string]*Call           // in flight, by request id
	peerProcessInFlight map[string]bool            // ids that another process of this sidecar has in flight
	serverEndpoints     map[string]*serverEndpoint // by host
	startTimes          *serverStartTimes
	staleSendLoggedAt   time.Time

	recorder        auditevent.Recorder // nil: no audit
	endpointsSeq    int64               // of the endpoint list; -1: none yet
	settingsVersion uint64              // of the settings in force, where a fleet numbers them
	settingsDigest  uint64              // of their bytes, likewise

	// Readable from any goroutine.

	configVersion      atomic.Uint32 // the auditevent id of the configuration in force
	endpointsKnown     chan struct{} // closed once any server is known
	endpointsKnownOnce sync.Once
	aborted            chan struct{} // closed by AbortAll
	abortOnce          sync.Once
}

// New returns a Sidecar for a configuration. sockets is how many connections to servers it may hold.
func New(conf *config.Config, sockets int) *Sidecar {
	s := &Sidecar{
		startConfig: conf, settings: &conf.Settings, transport: conf.Transport, mailbox: make(chan message, mailboxSize), startedAt: time.Now(),
		calls: map[string]*Call{}, serverEndpoints: map[string]*serverEndpoint{},
		endpointsKnown: make(chan struct{}), aborted: make(chan struct{}), startTimes: newServerStartTimes(),
	}
	s.discovery = discovery.New(conf.Discovery, conf.LastEndpoints, sourceOf(&conf.Settings), s)
	s.endpointConfig = upstream.EndpointConfig{
		Sockets: upstream.NewSocketBudget(sockets), Resolve: s.discovery.Endpoints.Address,
		OnSocketShortage: func() { s.mailbox <- socketShortage{} }, ReuseDelay: connectionReuseDelay,
	}
	s.endpointConfig.SetTimeouts(conf.Transport.DialTimeout, conf.Transport.ConnIdle)
	s.signalEndpointsKnown()
	s.balancer = decide.New(withPushedEndpoints(conf.Settings), conf.Seed, actions{s})
	if conf.Shadow != nil {
		s.evaluator = shadow.New()
	}
	return s
}

// Run serves the mailbox until ctx ends.
func (s *Sidecar) Run(ctx context.Context) {
	go s.discovery.Run(ctx)
	if s.evaluator != nil {
		shadowed := s.startConfig.Shadow
		go s.evaluator.Run(s.now(), withPushedEndpoints(shadowed.Settings), s.startConfig.Seed, shadowed.LogInterval, ctx.Done())
	}
	s.balancer.Start(s.now())
	if known := s.startConfig.LastEndpoints; known != nil && len(known.Endpoints) > 0 && !s.settings.EndpointsPushed {
		now := s.now()
		endpoints := s.toEndpoints(now, known)
		s.dispatch(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnEndpoints(now, endpoints, true) }})
	}
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.mailbox:
			m.handle(s, s.now())
		}
	}
}

// dispatch gives the balancer an event, and the evaluator both the event and what the balancer did.
func (s *Sidecar) dispatch(e shadow.Event) {
	e.Apply(s.balancer)
	if s.evaluator != nil {
		e.Actions, s.eventActions = s.eventActions, nil
		s.evaluator.Observe(e)
	}
}

// noteAction keeps an action of the balancer for the evaluator.
func (s *Sidecar) noteAction(a shadow.Action) {
	if s.evaluator != nil {
		s.eventActions = append(s.eventActions, a)
	}
}

// now returns the balancer's time, µs.
func (s *Sidecar) now() int64 { return s.clockTime(time.Now()) }

// clockTime converts a time with a monotonic reading to the balancer's clock, µs.
func (s *Sidecar) clockTime(t time.Time) int64 {
	return s.startedAt.UnixMicro() + t.Sub(s.startedAt).Microseconds()
}

// AbortAll ends all requests in flight, and all that come later, with DeadlineExceeded at once: the process is about to
// exit, and clients get a failure rather than no response.
func (s *Sidecar) AbortAll() { s.abortOnce.Do(func() { close(s.aborted) }) }
