package decide

const (
	safeIdleGrowth = 1.02 // of the idle time held for safe, each second: what dropped connections may end
	safeIdleShare  = 0.8  // of the idle time after which an attempt got no answer is held for safe
)

// reuseConnection tells how long the connection to s has been idle, 0 where there is none or it closes one that may be
// dead. Guards against connections dropped unseen: what is sent on one gets no answer.
func (b *Balancer) reuseConnection(now int64, s *endpointState) int64 {
	if s.idleSince == 0 {
		return 0
	}
	if idle := now - s.idleSince; !s.connectionSuspect && float64(idle) < b.safeIdleTime {
		return idle
	}
	b.actions.CloseIdleConnections(s.ID)
	return 0
}

// observeIdleTime learns from an end how long a connection may be idle: a little less than one that got no answer.
func (b *Balancer) observeIdleTime(now int64, a *attempt, o Outcome) {
	s := a.endpoint
	if s.inFlight == 0 {
		s.idleSince = now
	}
	if o.Result == ConnectFailed {
		s.idleSince = 0
	}
	silent := o.Result == TimedOut || o.Result == Cancelled && now-a.sentAt > second/4
	if silent && s.lastSuccessAt < a.sentAt {
		s.connectionSuspect = true
		if a.connectionIdle > 0 {
			safe := safeIdleShare * float64(a.connectionIdle)
			b.safeIdleTime, b.observedIdleBound = min(b.safeIdleTime, max(safe, b.observedIdleBound)), safe // one may be slow, two are not
		}
	} else if !silent {
		s.connectionSuspect = false
	}
}
