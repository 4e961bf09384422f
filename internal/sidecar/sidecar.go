// Package sidecar runs the decision module as an actor between clients, servers and the list.
package sidecar

import (
	"context"
	"log"
	"maps"
	"slices"
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

const (
	mailboxSize          = 1024
	healthCheckTimeout   = 300 * time.Millisecond
	connectionReuseDelay = 8 * time.Millisecond // a second answer to one request came 1.2 to 5 ms after the first
)

// Sidecar is the module's actor: one goroutine owns the balancer and all calls.
//
// Clients, peers, the list and timers post events and wait for room. The actor itself never waits: what it
// hands to a peer or to the list is offered, and an attempt that finds a peer's mailbox full ends as unwritten.
type Sidecar struct {
	startConfig        *config.Config   // of the start
	settings           *decide.Settings // in force
	transport          config.Transport
	balancer           *decide.Balancer
	evaluator          *shadow.Evaluator // nil: off
	eventActions       []shadow.Action   // of the event at hand, while watched
	discovery          *discovery.Client
	peerShared         upstream.PeerShared
	mailbox            chan func(now int64)
	startedAt          time.Time
	calls              map[string]*Call
	peerInFlight       map[string]bool // ids that another process of this sidecar has under way
	peers              map[string]*peer
	endpointsKnown     chan struct{}       // closed once any server is known
	endpointsKnownOnce sync.Once           // closes it
	recorder           auditevent.Recorder // nil: no account is kept
	endpointsSeq       int64               // of the list; -1: none yet
	settingsVersion    uint64              // of the settings in force, and their digest, where a fleet gives them
	settingsDigest     uint64
	configVersion      atomic.Uint32 // of the version in force
	aborted            chan struct{} // closed by End
	abortOnce          sync.Once     // closes it

	startTimes *serverStartTimes // of servers

	staleSendLoggedAt time.Time // when a send by an old list was logged last
}

// peer is a server's actor with what the module has out there.
type peer struct {
	*upstream.Peer
	inFlight int
}

// New makes the actor; sockets is how many connections to servers it may hold.
func New(conf *config.Config, sockets int) *Sidecar {
	s := &Sidecar{
		startConfig: conf, settings: &conf.Settings, transport: conf.Transport, mailbox: make(chan func(int64), mailboxSize), startedAt: time.Now(),
		calls: map[string]*Call{}, peers: map[string]*peer{},
		endpointsKnown: make(chan struct{}), aborted: make(chan struct{}), startTimes: newServerStartTimes(),
	}
	s.discovery = discovery.New(conf.Discovery, conf.LastEndpoints, sourceOf(&conf.Settings), s)
	s.peerShared = upstream.PeerShared{
		Sockets: upstream.NewSocketBudget(sockets), Resolve: s.discovery.Endpoints.Address, OnSocketShortage: s.onSocketShortage, ReuseDelay: connectionReuseDelay,
	}
	s.peerShared.SetTimeouts(conf.Transport.DialTimeout, conf.Transport.ConnIdle)
	s.signalEndpointsKnown()
	s.balancer = decide.New(withPushedEndpoints(conf.Settings), conf.Seed, actions{s})
	if conf.Shadow != nil {
		s.evaluator = shadow.New()
	}
	return s
}

// SetRecorder has an account kept of what this sidecar does. It must be called before Run.
func (s *Sidecar) SetRecorder(l auditevent.Recorder) {
	if s.recorder, s.endpointsSeq = l, -1; s.startConfig.LastEndpoints != nil {
		s.endpointsSeq = s.startConfig.LastEndpoints.Seq
	}
	s.settingsVersion, s.settingsDigest = s.startConfig.SettingsVersion, s.startConfig.SettingsDigest
	s.updateConfigVersion()
}

// updateConfigVersion takes the version in force, on the actor.
func (s *Sidecar) updateConfigVersion() {
	if s.recorder != nil {
		s.configVersion.Store(uint32(s.recorder.SetVersion(s.settingsVersion, s.settingsDigest, s.endpointsSeq)))
	}
}

// ConfigVersion is the version in force.
func (s *Sidecar) ConfigVersion() auditevent.ConfigVersionID {
	return auditevent.ConfigVersionID(s.configVersion.Load())
}

// record notes what this sidecar does, when it decides it.
func (s *Sidecar) record(k auditevent.Kind, id, note string) (r auditevent.Ref) {
	if s.recorder != nil {
		r = s.recorder.Record(k, s.ConfigVersion(), id, note)
	}
	return r
}

// respond gives a call its answer, once, under the version by which it was decided.
func (s *Sidecar) respond(c *Call, a Response) bool {
	a.ConfigVersion = s.ConfigVersion()
	return c.respond(a)
}

// Ready tells whether any server is known.
func (s *Sidecar) Ready() bool { return s.discovery.Endpoints.HasEndpoints() }

// SetSocketLimit keeps to so many connections to servers from now on.
func (s *Sidecar) SetSocketLimit(sockets int) { s.peerShared.Sockets.SetLimit(sockets) }

// AbortAll answers all that is open and all that still comes, at once. Guards against requests that this process has taken and
// that its end leaves with none: their clients see a failure instead.
func (s *Sidecar) AbortAll() { s.abortOnce.Do(func() { close(s.aborted) }) }

// EndpointsKnown is closed once any server has been known.
func (s *Sidecar) EndpointsKnown() <-chan struct{} { return s.endpointsKnown }

func (s *Sidecar) signalEndpointsKnown() {
	if s.Ready() {
		s.endpointsKnownOnce.Do(func() { close(s.endpointsKnown) })
	}
}

// Run serves the mailbox until ctx ends.
func (s *Sidecar) Run(ctx context.Context) {
	go s.discovery.Run(ctx)
	if s.evaluator != nil {
		go s.evaluator.Run(s.now(), withPushedEndpoints(s.startConfig.Shadow.Settings), s.startConfig.Seed, s.startConfig.Shadow.LogInterval, ctx.Done())
	}
	s.balancer.Start(s.now())
	if k := s.startConfig.LastEndpoints; k != nil && len(k.Endpoints) > 0 && !s.settings.EndpointsPushed {
		now := s.now()
		known := s.toEndpoints(now, k)
		s.dispatch(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnEndpoints(now, known, true) }})
	}
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.mailbox:
			f(s.now())
		}
	}
}

// dispatch tells the module of an event, and the watch of both that and what the module did.
func (s *Sidecar) dispatch(e shadow.Event) {
	e.Apply(s.balancer)
	if s.evaluator != nil {
		e.Actions, s.eventActions = s.eventActions, nil
		s.evaluator.Observe(e)
	}
}

// noteAction keeps an action of the module for the watch.
func (s *Sidecar) noteAction(a shadow.Action) {
	if s.evaluator != nil {
		s.eventActions = append(s.eventActions, a)
	}
}

// now is Unix time in µs at the start, moved on by the monotonic clock.
func (s *Sidecar) now() int64 { return s.clockTime(time.Now()) }

func (s *Sidecar) clockTime(t time.Time) int64 {
	return s.startedAt.UnixMicro() + t.Sub(s.startedAt).Microseconds()
}

// ---- Clients

// Do takes a request and returns its final answer; gone is closed when the client leaves.
func (s *Sidecar) Do(c *Call, gone <-chan struct{}) (a Response, left bool) {
	last := time.NewTimer(time.Until(c.responseDeadline))
	defer last.Stop()
	select {
	case s.mailbox <- func(now int64) { s.onRequest(now, c) }:
	case <-last.C: // the module's mailbox is full: nothing was sent, nothing will be
		return Response{Status: DeadlineExceeded, ConfigVersion: s.ConfigVersion()}, false
	case <-s.aborted:
		return Response{Status: DeadlineExceeded, ConfigVersion: s.ConfigVersion()}, false
	case <-gone:
		return Response{Status: DeadlineExceeded, ConfigVersion: s.ConfigVersion()}, true
	}
	a, left, answered := s.await(c, gone, last)
	if answered {
		c.gate.Close()
		return a, false
	}
	// The module calls back what is out; a write under way would hold the gate until its own time ends.
	go func() { s.mailbox <- func(now int64) { s.onClientDisconnected(now, c) } }()
	c.gate.Close()
	return Response{Status: DeadlineExceeded, ConfigVersion: s.ConfigVersion()}, left
}

// await waits for the module's answer, for the client's end, or for the end of the request's time.
func (s *Sidecar) await(c *Call, gone <-chan struct{}, last *time.Timer) (a Response, left, answered bool) {
	var coming <-chan struct{}
	if c.Message.Remainder != nil {
		coming = c.Message.Remainder.Done()
	}
	for {
		select {
		case a = <-c.response:
			return a, false, true
		case <-gone:
			return a, true, false
		case <-c.disconnected:
			return a, true, false
		case <-last.C:
			return a, false, false
		case <-s.aborted:
			select { // an answer that is there goes before
			case a = <-c.response:
				return a, false, true
			default:
				return a, false, false
			}
		case <-coming:
			coming = nil
			at, err := c.Message.Remainder.Complete()
			if err != nil {
				return a, true, false
			}
			last.Reset(time.Until(c.responseDeadlineFrom(at)))
			gone = c.OnBodyComplete()
		}
	}
}

// InFlight lists the requests under way.
func (s *Sidecar) InFlight() []string {
	back := make(chan []string, 1)
	s.mailbox <- func(int64) {
		back <- slices.Collect(maps.Keys(s.calls))
	}
	return <-back
}

// SetPeerInFlight names the requests that another process of this sidecar has under way, in place of those named before. Guards
// against a request of the same id that would run beside it.
func (s *Sidecar) SetPeerInFlight(ids []string) {
	foreign := map[string]bool{}
	for _, id := range ids {
		foreign[id] = true
	}
	s.mailbox <- func(int64) { s.peerInFlight = foreign }
}

// SetPeerProcessActive tells that another process of this sidecar serves too, or no longer: they share one budget of attempts.
func (s *Sidecar) SetPeerProcessActive(other bool) {
	s.mailbox <- func(now int64) {
		s.dispatch(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.SetPeerProcessActive(now, other) }})
	}
}

func (s *Sidecar) onRequest(now int64, c *Call) {
	if c.gate.Closed() { // it was answered while it waited here
		return
	}
	if s.calls[c.Request.ID] != nil || s.peerInFlight[c.Request.ID] { // Guards against two requests of one id, whose attempts could not be told apart
		s.respond(c, Response{Status: DuplicateID})
		return
	}
	if !c.leaseHeld() || !s.mapToCurrentSettings(c) {
		s.respond(c, Response{Status: Rejected}) // it has gone nowhere: a new try is harmless
		return
	}
	s.calls[c.Request.ID] = c
	if kind := auditevent.Accepted; s.recorder != nil {
		if c.Request.PriorAttemptAge > 0 {
			kind = auditevent.TakenOver
		}
		s.record(kind, c.Request.ID, c.class.Name)
	}
	if c.Request.TimeLeft = c.decisionTime().Microseconds(); !c.Request.BodyUnbuffered {
		c.Request.TimeLeft = max(0, s.clockTime(c.decisionDeadline)-now)
	}
	request := c.Request
	s.dispatch(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnRequest(now, request) }})
}

// mapToCurrentSettings finds the places of a call that was read just before the settings changed; false: its class means another
// thing now, or nothing.
func (s *Sidecar) mapToCurrentSettings(c *Call) bool {
	if c.settings == s.settings {
		return true
	}
	class, tenant := -1, -1
	for i := range s.settings.Classes {
		if k := &s.settings.Classes[i]; k.Name == c.class.Name && k.Semantics == c.class.Semantics {
			class, c.class = i, k
		}
	}
	if at := c.Request.Tenant; at >= 0 {
		name := c.settings.Tenants[at].Name
		tenant = slices.IndexFunc(s.settings.Tenants, func(t decide.Tenant) bool { return t.Name == name })
	}
	c.settings, c.Request.Class, c.Request.Tenant = s.settings, class, tenant
	return class >= 0
}

// ApplyConfig takes the settings of a configuration in force, for the module and, by tell, for those who read requests. It
// returns once that is done.
func (s *Sidecar) ApplyConfig(conf *config.Config, tell func(*decide.Settings)) {
	done := make(chan struct{})
	s.mailbox <- func(now int64) {
		defer close(done)
		s.settings, s.transport = &conf.Settings, conf.Transport
		s.settingsVersion, s.settingsDigest = conf.SettingsVersion, conf.SettingsDigest
		s.updateConfigVersion()
		s.peerShared.SetTimeouts(conf.Transport.DialTimeout, conf.Transport.ConnIdle)
		set := withPushedEndpoints(conf.Settings)
		e := shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.UpdateSettings(now, set) }}
		if conf.Shadow != nil {
			second := withPushedEndpoints(conf.Shadow.Settings)
			e.ApplyShadow = func(b *decide.Balancer) { b.UpdateSettings(now, second) }
		}
		s.dispatch(e)
		tell(s.settings)
	}
	<-done
	s.discovery.SetSource(sourceOf(&conf.Settings))
}

func (s *Sidecar) onClientDisconnected(now int64, c *Call) {
	if c.answered || s.calls[c.Request.ID] != c {
		c.discardResponse()
		return
	}
	c.answered = true
	id := c.Request.ID
	s.dispatch(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnClientDisconnected(now, id) }, RequestEnded: id})
	s.forgetIfDone(c)
}

// streamHandler makes what hands an answer that begins to its client.
func (s *Sidecar) streamHandler(c *Call, n int) func(*upstream.Attempt, *upstream.Stream) {
	return func(_ *upstream.Attempt, st *upstream.Stream) {
		s.mailbox <- func(now int64) {
			if !s.respond(c, Response{Status: Served, Stream: st, ContentType: st.ContentType}) {
				st.Close()
				return
			}
			id := c.Request.ID
			s.dispatch(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnStreamStarted(now, id, n) }})
		}
	}
}

// forgetIfDone drops a call that is answered and has nothing out.
func (s *Sidecar) forgetIfDone(c *Call) {
	if c.answered && c.inFlight == 0 && s.calls[c.Request.ID] == c {
		delete(s.calls, c.Request.ID)
	}
}

// ---- The list

// OnEndpoints takes the list from its actor.
func (s *Sidecar) OnEndpoints(l *discovery.Update) {
	s.signalEndpointsKnown()
	s.mailbox <- func(now int64) {
		s.endpointsSeq = l.Seq
		s.updateConfigVersion()
		list := s.toEndpoints(now, l)
		s.dispatch(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnEndpoints(now, list, l.Full) }})
		for host := range s.peers {
			s.retirePeer(host)
		}
	}
}

// SetDiscoveryAddress goes on with the list at another address.
func (s *Sidecar) SetDiscoveryAddress(addr string) { s.discovery.SetAddress(addr) }

// sourceOf tells the list's actor how the list comes.
func sourceOf(set *decide.Settings) discovery.Source {
	return discovery.Source{Pushed: set.EndpointsPushed, BalancerCount: set.BalancerCount}
}

// withPushedEndpoints are the settings for the module: the list comes by itself there, since the list's actor asks for it.
func withPushedEndpoints(set decide.Settings) decide.Settings {
	set.EndpointsPushed = true
	return set
}

// toEndpoints puts a list into the module's terms.
func (s *Sidecar) toEndpoints(now int64, l *discovery.Update) []decide.Endpoint {
	out := make([]decide.Endpoint, 0, len(l.Endpoints))
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		server := decide.Endpoint{ID: e.Host, Capacity: e.Capacity, MachineKind: e.MachineKind, Zone: e.Zone, Cell: -1, StartedAt: s.startTimes.startTime(e, now)}
		if e.Cell != nil {
			server.Cell = *e.Cell
		}
		switch e.Health {
		case discovery.Ready:
			server.Phase = decide.InService
		case discovery.Removed:
			server.Phase = decide.Removed
		default: // a state that is not known wants nothing new either
			server.Phase = decide.Draining
		}
		out = append(out, server)
	}
	s.startTimes.prune(l)
	return out
}

// ---- Servers

func (s *Sidecar) peerFor(host string) *peer {
	p := s.peers[host]
	if p == nil {
		p = &peer{Peer: upstream.NewPeer(host, &s.peerShared)}
		s.peers[host] = p
	}
	return p
}

// retirePeer stops the actor of a host that is no longer listed, once nothing is out there.
func (s *Sidecar) retirePeer(host string) {
	p := s.peers[host]
	if _, listed := s.discovery.Endpoints.Lookup(host); p != nil && p.inFlight == 0 && !listed {
		p.Stop()
		delete(s.peers, host)
	}
}

// offerAttempt hands an attempt to its peer; where the mailbox is full it ends as unwritten.
func (s *Sidecar) offerAttempt(a *upstream.Attempt) {
	p := s.peerFor(a.Host)
	p.inFlight++
	if !p.Offer(a) {
		log.Printf("event=mailbox_full peer=%s", a.Host)
		go a.OnDone(a, upstream.AttemptResult{Reason: upstream.NotSent, ObservedAt: time.Now()}) // the actor must not wait for itself
	}
}

// CloseIdleConnections closes all idle connections to servers.
func (s *Sidecar) CloseIdleConnections() {
	s.mailbox <- func(int64) {
		for _, p := range s.peers {
			p.CloseIdleConnections()
		}
	}
}

// onSocketShortage asks every peer for its longest idle connection: an attempt waits for a socket.
func (s *Sidecar) onSocketShortage() {
	s.mailbox <- func(int64) {
		for _, p := range s.peers {
			p.CloseOldestIdle()
		}
	}
}

// onAttemptEnded takes an attempt's end. An answer of a server ends its call.
func (s *Sidecar) onAttemptEnded(now int64, c *Call, n int, a *upstream.Attempt, r upstream.AttemptResult) {
	if !c.answered && c.gate.Disconnected() { // Guards against further attempts until the client's own goroutine sees it
		s.onClientDisconnected(now, c)
		close(c.disconnected)
	}
	p := s.peers[a.Host]
	p.inFlight--
	c.inFlight--
	result := r.Reason.DecisionResult()
	if !result.NeverRan() && c.firstEffectAt.IsZero() {
		c.firstEffectAt = a.DecidedAt
	}
	if result == decide.Succeeded {
		s.respond(c, Response{Status: Served, Body: r.Body, ContentType: r.ContentType})
	}
	if c.inFlight == 0 && !c.leaseHeld() { // Guards against tries that end unwritten one after the other, and a client that waits for nothing
		verdict := Failed
		if c.firstEffectAt.IsZero() {
			verdict = Rejected
		}
		s.respond(c, Response{Status: verdict})
	}
	if r.Reason == upstream.NotSent || r.Reason == upstream.ConnectFailed {
		s.record(auditevent.NotSent, c.Request.ID, a.Host)
	}
	sent := a.DecidedAt
	if !r.BodySentAt.IsZero() { // no server could begin before
		sent = r.BodySentAt
	}
	o := decide.Outcome{
		Request: c.Request.ID, Attempt: n, Server: a.Host, Result: result,
		Latency: r.ObservedAt.Sub(sent).Microseconds(), RequestAnswered: c.answered, Load: r.Load, BodyConsumed: r.BodyConsumed,
	}
	e := shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnOutcome(now, o) }, AttemptEnded: o.Request}
	if o.RequestAnswered {
		e.RequestEnded = o.Request
	}
	s.dispatch(e)
	s.forgetIfDone(c)
	s.retirePeer(a.Host)
}
