package takeover

import "time"

// Request is a client request that is to be replicated before it is sent.
type Request struct {
	ID, Class   string
	Idempotency Idempotency
	Digest      uint64        // hash of class, idempotency key and body
	Resume      bool          // the client has sent the request to another member before
	Strict      bool          // the request may be sent only if a quorum stores its record
	Timeout     time.Duration // bound on the wait for the outcome; also the deadline in the record
	MaxDuration time.Duration // bound on the execution; longer than Timeout while the body is still arriving
	DedupWindow time.Duration // how long every server drops repetitions of the idempotency key; 0 if some server does not
	Stored      StoredRequest // the request for other members; without Head they cannot send it
}

// StoredRequest is the data that a member needs to send a request without its client.
type StoredRequest struct {
	_           struct{} `cbor:",toarray"`
	Head, Body  []byte
	Tenant, Key string
}

// Lease is a permission to send requests and responses, which may end at any time. Its methods may be called from any goroutine.
type Lease interface {
	// Valid reports whether the holder may act now. It is called immediately before bytes are written.
	Valid() bool
	// Done returns a channel that is closed when the lease has ended permanently.
	Done() <-chan struct{}
}

// SendPermit permits the caller to send a request.
type SendPermit struct {
	Lease        Lease         // must be valid whenever the request is sent; nil if the request is sent without a record
	PriorSendAge time.Duration // upper bound on the time since another member may have sent the request; 0 if none has
}

// Result is the result of executing a request.
type Result struct {
	Response     Response // stored for clients that resume the request
	LiveResponse any      // for the connected client; opaque to this package
}

// OutcomeKind states how to answer a client.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	OutcomeResponse        OutcomeKind = iota // send the response, only while Lease is valid if it is set
	OutcomeInFlight                           // the request is already executing here
	OutcomeIDConflict                         // the id belongs to another request
	OutcomeCloseConnection                    // close the connection without a response: another member may answer
	OutcomeClientGone                         // the client has disconnected, or the request has timed out
)

// Outcome is the answer to a client.
type Outcome struct {
	Kind         OutcomeKind
	Response     Response
	LiveResponse any // of an execution in this process; nil if there is only Response
	Lease        Lease
}
