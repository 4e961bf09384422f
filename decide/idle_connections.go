// When idle connections are closed before a send. Some network paths silently drop connections that have
// been idle for long, and a request sent on such a connection gets no response.

package decide

const (
	// safeIdleGrowth is the factor of the safe idle time per second. The cause of dropped connections may
	// end, so longer idle times are tried again.
	safeIdleGrowth = 1.02
	// safeIdleShare is the safe share of the idle time of a connection on which an attempt got no response.
	safeIdleShare = 0.8

	// silentCancelMicros is the time without a response after which a cancelled attempt suggests that the
	// connection is dead.
	silentCancelMicros = second / 4

	// unlimitedIdleMicros stands for no known bound.
	unlimitedIdleMicros = 1e16
)

// idleConnections estimates how long connections may be idle, in µs. Each source must report a bound twice
// before it lowers safeTime, since a single attempt may be slow for another reason.
type idleConnections struct {
	safeTime      float64
	observedBound float64 // from this balancer's last attempt that got no response
	gossipedBound float64 // from the last peer message with a bound below safeTime
	gossipedBy    int     // index of that peer plus 1; 0: none
}

func newIdleConnections() idleConnections {
	return idleConnections{
		safeTime: unlimitedIdleMicros, observedBound: unlimitedIdleMicros, gossipedBound: unlimitedIdleMicros,
	}
}

// observeUnanswered records an attempt without a response on a connection that had been idle.
func (k *idleConnections) observeUnanswered(idle int64) {
	bound := safeIdleShare * float64(idle)
	k.safeTime = min(k.safeTime, max(bound, k.observedBound))
	k.observedBound = bound
}

// observeGossiped records the safe idle time of a peer. It takes effect only after two different peers have
// reported one.
func (k *idleConnections) observeGossiped(peer int, idle float64) {
	if peer+1 == k.gossipedBy || idle >= k.safeTime {
		return
	}
	k.safeTime = min(k.safeTime, max(idle, k.gossipedBound))
	k.gossipedBound, k.gossipedBy = idle, peer+1
}

// growSafeIdleTime raises the safe idle time, once per second.
func (b *Balancer) growSafeIdleTime() {
	b.idle.safeTime *= safeIdleGrowth
	b.idle.observedBound *= safeIdleGrowth
}

// reuseConnection returns how long the connection to s has been idle. If the connection may be dead, it
// closes it and returns 0. It also returns 0 if no connection is open. It is called before a send to s
// while no attempt is in flight there.
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

// observeIdleTime infers from the end of an attempt whether its connection was alive.
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
