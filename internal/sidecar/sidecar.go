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
	mailbox      = 1024
	probeTimeout = 300 * time.Millisecond
	settle       = 8 * time.Millisecond // a second answer to one request came 1.2 to 5 ms after the first
)

// Sidecar is the module's actor: one goroutine owns the balancer and all calls.
//
// Clients, peers, the list and timers post events and wait for room. The actor itself never waits: what it
// hands to a peer or to the list is offered, and an attempt that finds a peer's mailbox full ends as unwritten.
type Sidecar struct {
	conf      *config.Config   // of the start
	settings  *decide.Settings // in force
	transport config.Transport
	balancer  *decide.Balancer
	watch     *shadow.Watch // nil: off
	acts      []shadow.Act  // of the event at hand, while watched
	list      *discovery.Client
	shared    upstream.Shared
	box       chan func(now int64)
	start     time.Time
	calls     map[string]*Call
	foreign   map[string]bool // ids that another process of this sidecar has under way
	peers     map[string]*peer
	known     chan struct{}       // closed once any server is known
	first     sync.Once           // closes it
	ledger    auditevent.Recorder // nil: no account is kept
	seq       int64               // of the list; -1: none yet
	number    uint64              // of the settings in force, and their digest, where a fleet gives them
	digest    uint64
	stamp     atomic.Uint32 // of the version in force
	ending    chan struct{} // closed by End
	last      sync.Once     // closes it

	births *births // of servers

	staleLogged time.Time // when a send by an old list was logged last
}

// peer is a server's actor with what the module has out there.
type peer struct {
	*upstream.Peer
	out int
}

// New makes the actor; sockets is how many connections to servers it may hold.
func New(conf *config.Config, sockets int) *Sidecar {
	s := &Sidecar{
		conf: conf, settings: &conf.Settings, transport: conf.Transport, box: make(chan func(int64), mailbox), start: time.Now(),
		calls: map[string]*Call{}, peers: map[string]*peer{},
		known: make(chan struct{}), ending: make(chan struct{}), births: newBirths(),
	}
	s.list = discovery.New(conf.Discovery, conf.Known, source(&conf.Settings), s)
	s.shared = upstream.Shared{
		Budget: upstream.NewBudget(sockets), Find: s.list.Roster.Address, Short: s.short, Settle: settle,
	}
	s.shared.Retune(conf.Transport.DialTimeout, conf.Transport.ConnIdle)
	s.tellKnown()
	s.balancer = decide.New(listed(conf.Settings), conf.Seed, actions{s})
	if conf.Watch != nil {
		s.watch = shadow.New()
	}
	return s
}

// Audit has an account kept of what this sidecar does. It must be called before Run.
func (s *Sidecar) Audit(l auditevent.Recorder) {
	if s.ledger, s.seq = l, -1; s.conf.Known != nil {
		s.seq = s.conf.Known.Seq
	}
	s.number, s.digest = s.conf.Number, s.conf.Digest
	s.restamp()
}

// restamp takes the version in force, on the actor.
func (s *Sidecar) restamp() {
	if s.ledger != nil {
		s.stamp.Store(uint32(s.ledger.SetVersion(s.number, s.digest, s.seq)))
	}
}

// Under is the version in force.
func (s *Sidecar) Under() auditevent.ConfigVersionID {
	return auditevent.ConfigVersionID(s.stamp.Load())
}

// act notes what this sidecar does, when it decides it.
func (s *Sidecar) act(k auditevent.Kind, id, note string) (r auditevent.Ref) {
	if s.ledger != nil {
		r = s.ledger.Record(k, s.Under(), id, note)
	}
	return r
}

// finish gives a call its answer, once, under the version by which it was decided.
func (s *Sidecar) finish(c *Call, a Answer) bool {
	a.Under = s.Under()
	return c.finish(a)
}

// Ready tells whether any server is known.
func (s *Sidecar) Ready() bool { return s.list.Roster.Known() }

// Hold keeps to so many connections to servers from now on.
func (s *Sidecar) Hold(sockets int) { s.shared.Budget.Hold(sockets) }

// End answers all that is open and all that still comes, at once. Guards against requests that this process has taken and
// that its end leaves with none: their clients see a failure instead.
func (s *Sidecar) End() { s.last.Do(func() { close(s.ending) }) }

// Known is closed once any server has been known.
func (s *Sidecar) Known() <-chan struct{} { return s.known }

func (s *Sidecar) tellKnown() {
	if s.Ready() {
		s.first.Do(func() { close(s.known) })
	}
}

// Run serves the mailbox until ctx ends.
func (s *Sidecar) Run(ctx context.Context) {
	go s.list.Run(ctx)
	if s.watch != nil {
		go s.watch.Run(s.now(), listed(s.conf.Watch.Settings), s.conf.Seed, s.conf.Watch.Every, ctx.Done())
	}
	s.balancer.Start(s.now())
	if k := s.conf.Known; k != nil && len(k.Hosts) > 0 && !s.settings.EndpointsPushed {
		now := s.now()
		known := s.servers(now, k)
		s.tell(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnEndpoints(now, known, true) }})
	}
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.box:
			f(s.now())
		}
	}
}

// tell tells the module of an event, and the watch of both that and what the module did.
func (s *Sidecar) tell(e shadow.Event) {
	e.Apply(s.balancer)
	if s.watch != nil {
		e.Acts, s.acts = s.acts, nil
		s.watch.See(e)
	}
}

// note keeps an action of the module for the watch.
func (s *Sidecar) note(a shadow.Act) {
	if s.watch != nil {
		s.acts = append(s.acts, a)
	}
}

// now is Unix time in µs at the start, moved on by the monotonic clock.
func (s *Sidecar) now() int64 { return s.at(time.Now()) }

func (s *Sidecar) at(t time.Time) int64 { return s.start.UnixMicro() + t.Sub(s.start).Microseconds() }

// ---- Clients

// Do takes a request and returns its final answer; gone is closed when the client leaves.
func (s *Sidecar) Do(c *Call, gone <-chan struct{}) (a Answer, left bool) {
	last := time.NewTimer(time.Until(c.last))
	defer last.Stop()
	select {
	case s.box <- func(now int64) { s.take(now, c) }:
	case <-last.C: // the module's mailbox is full: nothing was sent, nothing will be
		return Answer{Verdict: Late, Under: s.Under()}, false
	case <-s.ending:
		return Answer{Verdict: Late, Under: s.Under()}, false
	case <-gone:
		return Answer{Verdict: Late, Under: s.Under()}, true
	}
	a, left, answered := s.await(c, gone, last)
	if answered {
		c.gate.Close()
		return a, false
	}
	// The module calls back what is out; a write under way would hold the gate until its own time ends.
	go func() { s.box <- func(now int64) { s.left(now, c) } }()
	c.gate.Close()
	return Answer{Verdict: Late, Under: s.Under()}, left
}

// await waits for the module's answer, for the client's end, or for the end of the request's time.
func (s *Sidecar) await(c *Call, gone <-chan struct{}, last *time.Timer) (a Answer, left, answered bool) {
	var coming <-chan struct{}
	if c.Message.Rest != nil {
		coming = c.Message.Rest.Ended()
	}
	for {
		select {
		case a = <-c.answer:
			return a, false, true
		case <-gone:
			return a, true, false
		case <-c.gone:
			return a, true, false
		case <-last.C:
			return a, false, false
		case <-s.ending:
			select { // an answer that is there goes before
			case a = <-c.answer:
				return a, false, true
			default:
				return a, false, false
			}
		case <-coming:
			coming = nil
			at, err := c.Message.Rest.Whole()
			if err != nil {
				return a, true, false
			}
			last.Reset(time.Until(c.lastAfter(at)))
			gone = c.Whole()
		}
	}
}

// Open lists the requests under way.
func (s *Sidecar) Open() []string {
	back := make(chan []string, 1)
	s.box <- func(int64) {
		back <- slices.Collect(maps.Keys(s.calls))
	}
	return <-back
}

// Foreign names the requests that another process of this sidecar has under way, in place of those named before. Guards
// against a request of the same id that would run beside it.
func (s *Sidecar) Foreign(ids []string) {
	foreign := map[string]bool{}
	for _, id := range ids {
		foreign[id] = true
	}
	s.box <- func(int64) { s.foreign = foreign }
}

// Beside tells that another process of this sidecar serves too, or no longer: they share one budget of attempts.
func (s *Sidecar) Beside(other bool) {
	s.box <- func(now int64) {
		s.tell(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.SetPeerProcessActive(now, other) }})
	}
}

func (s *Sidecar) take(now int64, c *Call) {
	if c.gate.Closed() { // it was answered while it waited here
		return
	}
	if s.calls[c.Request.ID] != nil || s.foreign[c.Request.ID] { // Guards against two requests of one id, whose attempts could not be told apart
		s.finish(c, Answer{Verdict: Duplicate})
		return
	}
	if !c.may() || !s.admitted(c) {
		s.finish(c, Answer{Verdict: Refused}) // it has gone nowhere: a new try is harmless
		return
	}
	s.calls[c.Request.ID] = c
	if kind := auditevent.Accepted; s.ledger != nil {
		if c.Request.PriorAttemptAge > 0 {
			kind = auditevent.TakenOver
		}
		s.act(kind, c.Request.ID, c.class.Name)
	}
	if c.Request.TimeLeft = c.wait().Microseconds(); !c.Request.BodyUnbuffered {
		c.Request.TimeLeft = max(0, s.at(c.giveUp)-now)
	}
	request := c.Request
	s.tell(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnRequest(now, request) }})
}

// admitted finds the places of a call that was read just before the settings changed; false: its class means another
// thing now, or nothing.
func (s *Sidecar) admitted(c *Call) bool {
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

// Retune takes the settings of a configuration in force, for the module and, by tell, for those who read requests. It
// returns once that is done.
func (s *Sidecar) Retune(conf *config.Config, tell func(*decide.Settings)) {
	done := make(chan struct{})
	s.box <- func(now int64) {
		defer close(done)
		s.settings, s.transport = &conf.Settings, conf.Transport
		s.number, s.digest = conf.Number, conf.Digest
		s.restamp()
		s.shared.Retune(conf.Transport.DialTimeout, conf.Transport.ConnIdle)
		set := listed(conf.Settings)
		e := shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.UpdateSettings(now, set) }}
		if conf.Watch != nil {
			second := listed(conf.Watch.Settings)
			e.Second = func(b *decide.Balancer) { b.UpdateSettings(now, second) }
		}
		s.tell(e)
		tell(s.settings)
	}
	<-done
	s.list.Come(source(&conf.Settings))
}

func (s *Sidecar) left(now int64, c *Call) {
	if c.answered || s.calls[c.Request.ID] != c {
		c.dropAnswer()
		return
	}
	c.answered = true
	id := c.Request.ID
	s.tell(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnClientDisconnected(now, id) }, Ends: id})
	s.forget(c)
}

// began makes what hands an answer that begins to its client.
func (s *Sidecar) began(c *Call, n int) func(*upstream.Attempt, *upstream.Stream) {
	return func(_ *upstream.Attempt, st *upstream.Stream) {
		s.box <- func(now int64) {
			if !s.finish(c, Answer{Verdict: Served, Stream: st, ContentType: st.ContentType}) {
				st.Close()
				return
			}
			id := c.Request.ID
			s.tell(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnStreamStarted(now, id, n) }})
		}
	}
}

// forget drops a call that is answered and has nothing out.
func (s *Sidecar) forget(c *Call) {
	if c.answered && c.out == 0 && s.calls[c.Request.ID] == c {
		delete(s.calls, c.Request.ID)
	}
}

// ---- The list

// Listed takes the list from its actor.
func (s *Sidecar) Listed(l *discovery.List) {
	s.tellKnown()
	s.box <- func(now int64) {
		s.seq = l.Seq
		s.restamp()
		list := s.servers(now, l)
		s.tell(shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnEndpoints(now, list, l.Whole) }})
		for host := range s.peers {
			s.retire(host)
		}
	}
}

// Discover goes on with the list at another address.
func (s *Sidecar) Discover(addr string) { s.list.Move(addr) }

// source tells the list's actor how the list comes.
func source(set *decide.Settings) discovery.Source {
	return discovery.Source{Pushed: set.EndpointsPushed, Balancers: set.BalancerCount}
}

// listed are the settings for the module: the list comes by itself there, since the list's actor asks for it.
func listed(set decide.Settings) decide.Settings {
	set.EndpointsPushed = true
	return set
}

// servers puts a list into the module's terms.
func (s *Sidecar) servers(now int64, l *discovery.List) []decide.Endpoint {
	out := make([]decide.Endpoint, 0, len(l.Hosts))
	for i := range l.Hosts {
		e := &l.Hosts[i]
		server := decide.Endpoint{ID: e.Host, Capacity: e.Share, MachineKind: e.Kind, Zone: e.Zone, Cell: -1, StartedAt: s.births.since(e, now)}
		if e.Cell != nil {
			server.Cell = *e.Cell
		}
		switch e.Health {
		case discovery.Ready:
			server.Phase = decide.InService
		case discovery.Gone:
			server.Phase = decide.Removed
		default: // a state that is not known wants nothing new either
			server.Phase = decide.Draining
		}
		out = append(out, server)
	}
	s.births.keep(l)
	return out
}

// ---- Servers

func (s *Sidecar) peer(host string) *peer {
	p := s.peers[host]
	if p == nil {
		p = &peer{Peer: upstream.NewPeer(host, &s.shared)}
		s.peers[host] = p
	}
	return p
}

// retire stops the actor of a host that is no longer listed, once nothing is out there.
func (s *Sidecar) retire(host string) {
	p := s.peers[host]
	if _, listed := s.list.Roster.Find(host); p != nil && p.out == 0 && !listed {
		p.Stop()
		delete(s.peers, host)
	}
}

// offer hands an attempt to its peer; where the mailbox is full it ends as unwritten.
func (s *Sidecar) offer(a *upstream.Attempt) {
	p := s.peer(a.Host)
	p.out++
	if !p.Offer(a) {
		log.Printf("event=mailbox_full peer=%s", a.Host)
		go a.Done(a, upstream.Report{End: upstream.Unwritten, At: time.Now()}) // the actor must not wait for itself
	}
}

// Rest closes all idle connections to servers.
func (s *Sidecar) Rest() {
	s.box <- func(int64) {
		for _, p := range s.peers {
			p.CloseIdle()
		}
	}
}

// short asks every peer for its longest idle connection: an attempt waits for a socket.
func (s *Sidecar) short() {
	s.box <- func(int64) {
		for _, p := range s.peers {
			p.Shed()
		}
	}
}

// settle takes an attempt's end. An answer of a server ends its call.
func (s *Sidecar) settle(now int64, c *Call, n int, a *upstream.Attempt, r upstream.Report) {
	if !c.answered && c.gate.Abandoned() { // Guards against further attempts until the client's own goroutine sees it
		s.left(now, c)
		close(c.gone)
	}
	p := s.peers[a.Host]
	p.out--
	c.out--
	result := r.End.Result()
	if !result.NeverRan() && c.effectAt.IsZero() {
		c.effectAt = a.Sent
	}
	if result == decide.Succeeded {
		s.finish(c, Answer{Verdict: Served, Body: r.Body, ContentType: r.ContentType})
	}
	if c.out == 0 && !c.may() { // Guards against tries that end unwritten one after the other, and a client that waits for nothing
		verdict := Failed
		if c.effectAt.IsZero() {
			verdict = Refused
		}
		s.finish(c, Answer{Verdict: verdict})
	}
	if r.End == upstream.Unwritten || r.End == upstream.Unreachable {
		s.act(auditevent.NotSent, c.Request.ID, a.Host)
	}
	sent := a.Sent
	if !r.SentAt.IsZero() { // no server could begin before
		sent = r.SentAt
	}
	o := decide.Outcome{
		Request: c.Request.ID, Attempt: n, Server: a.Host, Result: result,
		Latency: r.At.Sub(sent).Microseconds(), RequestAnswered: c.answered, Load: r.Load, BodyConsumed: r.Spent,
	}
	e := shadow.Event{Now: now, Apply: func(b *decide.Balancer) { b.OnOutcome(now, o) }, Settles: o.Request}
	if o.RequestAnswered {
		e.Ends = o.Request
	}
	s.tell(e)
	s.forget(c)
	s.retire(a.Host)
}
