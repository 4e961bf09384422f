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
	"damsonscale/internal/memory"
	"damsonscale/internal/shadow"
	"damsonscale/internal/upstream"
)

// mailboxSize is the number of messages that the mailbox can hold.
const mailboxSize = 1024

// Sidecar is the actor that runs the balancer of package decide. All methods except Run and SetRecorder may be called from
// any goroutine while Run is running.
type Sidecar struct {
	mailbox        chan message
	startedAt      time.Time
	discovery      *discovery.Client
	endpointConfig upstream.EndpointConfig

	// Owned by the goroutine of Run.

	startConfig         *config.Config   // the configuration that the process was started with
	settings            *decide.Settings // the settings in force
	transport           config.Transport
	balancer            *decide.Balancer
	evaluator           *shadow.Evaluator          // evaluates other settings on the same events; nil: not configured
	eventActions        []shadow.Action            // the balancer's actions in the current event, for the evaluator
	calls               map[string]*Call           // calls in flight, by request id
	unanswered          *recentRequests            // requests that have ended without a server's response and may have been executed
	answered            *recentRequests            // requests that have ended with a server's response
	peerProcessInFlight map[string]bool            // ids of the requests that another process of this sidecar has in flight
	serverEndpoints     map[string]*serverEndpoint // by host
	startTimes          *serverStartTimes
	staleSendLoggedAt   time.Time

	recorder        auditevent.Recorder // nil: no audit log
	endpointsSeq    int64               // sequence number of the endpoint list in force; -1: no list yet
	settingsVersion uint64              // version of the settings in force, if a fleet distributes them
	settingsDigest  uint64              // digest of the settings' bytes, if a fleet distributes them

	// Readable from any goroutine.

	peerClaim          atomic.Pointer[PeerClaimFunc]
	configVersion      atomic.Uint32 // the auditevent.ConfigVersionID of the configuration in force
	endpointsKnown     chan struct{} // closed as soon as a server has been listed
	endpointsKnownOnce sync.Once
	aborted            chan struct{} // closed by AbortAll
	abortOnce          sync.Once
}

// New returns a Sidecar with a configuration. sockets limits the number of open connections to servers. account counts the memory
// of attempts and responses; it may be nil.
func New(conf *config.Config, sockets int, account *memory.Account) *Sidecar {
	s := &Sidecar{
		startConfig: conf, settings: &conf.Settings, transport: conf.Transport, mailbox: make(chan message, mailboxSize), startedAt: time.Now(),
		calls: map[string]*Call{}, serverEndpoints: map[string]*serverEndpoint{},
		endpointsKnown: make(chan struct{}), aborted: make(chan struct{}), startTimes: newServerStartTimes(), unanswered: newRecentRequests(maxUnansweredRequests), answered: newRecentRequests(maxAnsweredRequests),
	}
	s.discovery = discovery.New(conf.Discovery, conf.LastEndpoints, sourceOf(&conf.Settings), s)
	budget := upstream.NewSocketBudget(sockets)
	s.endpointConfig = upstream.EndpointConfig{
		Sockets: budget, Hosts: upstream.NewHostMonitor(budget, nil), Memory: account, Resolve: s.discovery.Endpoints.Address,
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

// Run processes the mailbox until ctx is done.
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

// dispatch passes an event to the balancer, and the event with the balancer's actions to the evaluator.
func (s *Sidecar) dispatch(e shadow.Event) {
	e.Apply(s.balancer)
	if s.evaluator != nil {
		e.Actions, s.eventActions = s.eventActions, nil
		s.evaluator.Observe(e)
	}
}

// noteAction records an action of the balancer for the evaluator.
func (s *Sidecar) noteAction(a shadow.Action) {
	if s.evaluator != nil {
		s.eventActions = append(s.eventActions, a)
	}
}

// now returns the balancer's time, in µs.
func (s *Sidecar) now() int64 { return s.clockTime(time.Now()) }

// clockTime converts a time with a monotonic clock reading to the balancer's time, in µs.
func (s *Sidecar) clockTime(t time.Time) int64 {
	return s.startedAt.UnixMicro() + t.Sub(s.startedAt).Microseconds()
}

// AbortAll ends all requests in flight and all later requests with DeadlineExceeded at once. It is called before the process
// exits, so that clients get an error response and not a closed connection.
func (s *Sidecar) AbortAll() { s.abortOnce.Do(func() { close(s.aborted) }) }
