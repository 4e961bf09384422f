package sidecar

import (
	"time"

	"damsonscale/decide"
)

// PeerClaim is what one process of this sidecar knows of a request that the other one is about to execute.
type PeerClaim struct {
	InFlight bool          // the process has the request in flight
	Age      time.Duration // since its first attempt, if it may have been executed; 0: it was not
}

// PeerClaimFunc claims a request at the other process of this sidecar, which then counts it as possibly executed. ok is false if the
// other process does not answer.
type PeerClaimFunc func(requestID string) (claim PeerClaim, ok bool)

// SetPeerClaimFunc makes requests that are not idempotent be claimed at the other process of this sidecar before they are executed;
// nil ends that. The function may block for a while.
func (s *Sidecar) SetPeerClaimFunc(claim PeerClaimFunc) {
	if claim == nil {
		s.peerClaim.Store(nil)
		return
	}
	s.peerClaim.Store(&claim)
}

// ClaimForPeer answers a claim of the other process.
func (s *Sidecar) ClaimForPeer(requestID string) PeerClaim {
	reply := make(chan PeerClaim, 1)
	s.mailbox <- peerClaimed{requestID, reply}
	return <-reply
}

// peerClaimed is a claim of the other process.
type peerClaimed struct {
	requestID string
	reply     chan<- PeerClaim
}

func (m peerClaimed) handle(s *Sidecar, _ int64) {
	claim := PeerClaim{InFlight: s.calls[m.requestID] != nil}
	if at, ok := s.findRecent(m.requestID); ok {
		claim.Age = max(1, time.Since(at))
	} else if !claim.InFlight {
		s.unanswered.add(m.requestID, time.Now())
	}
	m.reply <- claim
}

// isInFlightAtPeer claims a call that is not idempotent at the other process, if there is one, and reports whether that has it in
// flight. An earlier attempt of the other process counts as one of the call's.
func (s *Sidecar) isInFlightAtPeer(c *Call) bool {
	claimAtPeer := s.peerClaim.Load()
	if claimAtPeer == nil || c.class.Semantics == decide.Idempotent {
		return false
	}
	claim, ok := (*claimAtPeer)(c.Request.ID)
	if ok && claim.Age > 0 && c.Request.PriorAttemptAge == 0 {
		c.Request.PriorAttemptAge = max(1, claim.Age.Microseconds())
		c.firstEffectAt = time.Now().Add(-claim.Age)
	}
	return ok && claim.InFlight
}
