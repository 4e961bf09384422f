package takeover

import "time"

// Request is a request that comes under custody.
type Request struct {
	ID, Class   string
	Idempotency Idempotency
	Digest      uint64        // of class, key and body
	Resume      bool          // it was asked of another member before
	Strict      bool          // it goes out under custody alone
	Timeout     time.Duration // that it may wait for custody, and that its record lives
	MaxDuration time.Duration // that it may be under way; more than Left where its body is still coming
	DedupWindow time.Duration // for which any server drops a repeat of its key; 0: not everywhere
	Stored      StoredRequest // what is needed to send it unasked; no head: it can't be
}

// StoredRequest is what a member needs to send a request that nobody has asked it for.
type StoredRequest struct {
	_           struct{} `cbor:",toarray"`
	Head, Body  []byte
	Tenant, Key string
}

// Lease is a leave to act, which may end at any time.
type Lease interface {
	Valid() bool           // asked as late as can be before a byte goes out
	Done() <-chan struct{} // closed once it has ended for good
}

// SendPermit is a leave to send.
type SendPermit struct {
	Lease        Lease         // valid for as long as it may be sent; nil: it goes on without custody
	PriorSendAge time.Duration // since another member may have sent it; 0: none has
}

// Result is what came of a request that was run: Answer is for those who ask again, Live for who asked.
type Result struct {
	Response     Response
	LiveResponse any
}

// OutcomeKind tells who asked what to do.
type OutcomeKind uint8

const (
	OutcomeResponse        OutcomeKind = iota // with the answer, while the lease is valid, if there is one
	OutcomeInFlight                           // the id is under way here
	OutcomeIDConflict                         // the id is that of another request
	OutcomeCloseConnection                    // another member answers, or nobody: end the connection
	OutcomeCallerGone                         // who asked has left, or its time is up
)

// Outcome is what to tell a client.
type Outcome struct {
	Kind         OutcomeKind
	Response     Response
	LiveResponse any // of this process's own run; nil: Answer is all there is
	Lease        Lease
}
