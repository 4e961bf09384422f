// When idle connections are closed before a send: some network paths drop connections that were idle for
// long, unseen by either end, and what is sent on one gets no answer.

package decide

const (
	safeIdleGrowth = 1.02 // each second, so that a longer time is tried again
	safeIdleShare  = 0.8  // of the idle time of a connection on which an attempt got no answer

	// silentCancelMicros without an answer before a cancel: the connection may be lost.
	silentCancelMicros = second / 4

	unlimitedIdleMicros = 1e16
)

// idleConnections is what is known of how long connections may be idle, in µs. Each source has to name a
// bound twice before it lowers safeTime: one attempt may be slow for another reason.
type idleConnections struct {
	safeTime      float64
	observedBound float64 // by the last own attempt that got no answer
	gossipedBound float64 // by the last message of a peer that told less than safeTime
	gossipedBy    int     // that peer's index and one; 0: none
}

func newIdleConnections() idleConnections {
	return idleConnections{
		safeTime: unlimitedIdleMicros, observedBound: unlimitedIdleMicros, gossipedBound: unlimitedIdleMicros,
	}
}

// observeUnanswered takes in an attempt without an answer on a connection that had been idle.
func (k *idleConnections) observeUnanswered(idle int64) {
	bound := safeIdleShare * float64(idle)
	k.safeTime = min(k.safeTime, max(bound, k.observedBound))
	k.observedBound = bound
}

// observeGossiped takes in the safe idle time of a peer. It has to come from two peers in turn.
func (k *idleConnections) observeGossiped(peer int, idle float64) {
	if peer+1 == k.gossipedBy || idle >= k.safeTime {
		return
	}
	k.safeTime = min(k.safeTime, max(idle, k.gossipedBound))
	k.gossipedBound, k.gossipedBy = idle, peer+1
}

// growSafeIdleTime lets the safe idle time grow, once a second.
func (b *Balancer) growSafeIdleTime() {
	b.idle.safeTime *= safeIdleGrowth
	b.idle.observedBound *= safeIdleGrowth
}

// reuseConnection returns how long the connection to s has been idle, or closes it and returns 0 where it may
// be dead. 0 too where none is open. It is asked before a send to s with no attempt in flight.
func (b *Balancer) reuseConnection(now int64, s *endpointState) int64 {
	if s.idleSince == 0 {
		return 0
	}
	if idle := now - s.idleSince; !s.connectionSuspect && float64(idle) < b.idle.safeTime {
		return idle
	}
	b.actions.CloseIdleConnections(s.ID)
	return 0
}

// observeIdleTime learns from the end of an attempt whether its connection was alive.
func (b *Balancer) observeIdleTime(now int64, a *attempt, o Outcome) {
	s := a.endpoint
	if s.inFlight == 0 {
		s.idleSince = now
	}
	if o.Result == ConnectFailed {
		s.idleSince = 0
	}
	unanswered := o.Result == TimedOut || o.Result == Cancelled && now-a.sentAt > silentCancelMicros
	if !unanswered {
		s.connectionSuspect = false
		return
	}
	if s.lastSuccessAt >= a.sentAt {
		return
	}
	s.connectionSuspect = true
	if a.connectionIdle > 0 {
		b.idle.observeUnanswered(a.connectionIdle)
	}
}
