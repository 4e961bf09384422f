package takeover

import "time"

// Request is a client request that is to be replicated before it is sent.
type Request struct {
	ID, Class   string
	Idempotency Idempotency
	Digest      uint64        // of class, idempotency key and body
	Resume      bool          // the client has sent it to another member before
	Strict      bool          // it may be sent only if a quorum has its record
	Timeout     time.Duration // how long it may wait for its outcome; its record gets the same deadline
	MaxDuration time.Duration // how long it may execute; longer than Timeout while its body is still arriving
	DedupWindow time.Duration // how long every server drops a repetition of its idempotency key; 0: not all of them do
	Stored      StoredRequest // what is needed to send it on another member's behalf; without Head it can't be
}

// StoredRequest is what a member needs to send a request whose client is connected to no member.
type StoredRequest struct {
	_           struct{} `cbor:",toarray"`
	Head, Body  []byte
	Tenant, Key string
}

// Lease is a permission to act, which may end at any time. Its methods may be called from any goroutine.
type Lease interface {
	// Valid reports whether the holder may act now. It is called immediately before bytes are written.
	Valid() bool
	// Done is closed once the lease has ended for good.
	Done() <-chan struct{}
}

// SendPermit permits the caller to send a request.
type SendPermit struct {
	Lease        Lease         // has to be valid whenever the request is sent; nil: it goes without a record
	PriorSendAge time.Duration // how long ago another member may have sent it; 0: none has
}

// Result is what the execution of a request came to.
type Result struct {
	Response     Response // to be stored for clients that ask again
	LiveResponse any      // for the client that is connected; not interpreted here
}

// OutcomeKind says what to do with a client's connection.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	OutcomeResponse        OutcomeKind = iota // send Response, while Lease is valid if there is one
	OutcomeInFlight                           // the same request is executing here
	OutcomeIDConflict                         // the id is that of another request
	OutcomeCloseConnection                    // another member answers, or none: end the connection
	OutcomeClientGone                         // the client has left, or its timeout is over
)

// Outcome is what a client is told.
type Outcome struct {
	Kind         OutcomeKind
	Response     Response
	LiveResponse any // of an execution in this process; nil: there is only Response
	Lease        Lease
}
