package takeover

import "cmp"

// recordOverhead is the number of bytes counted for a record in addition to its strings.
const recordOverhead = 160

// Ballot orders the claims to one request. The member that first receives the request uses round 0, which skips Prepare.
type Ballot struct {
	_        struct{} `cbor:",toarray"`
	Round    uint32
	Proposer Member
}

// Compare compares ballots by round, then by proposer.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(
		cmp.Compare(b.Round, o.Round), cmp.Compare(b.Proposer.Name, o.Proposer.Name),
		cmp.Compare(b.Proposer.Incarnation, o.Proposer.Incarnation),
	)
}

// Idempotency states whether a request may be executed a second time.
type Idempotency uint8

// Kinds of idempotency. The numbers are part of the wire format.
const (
	Idempotent      Idempotency = 0 // a second execution is harmless
	IdempotentByKey Idempotency = 1 // servers drop repetitions of the idempotency key for a limited time
	NotIdempotent   Idempotency = 2 // a second execution must never happen
)

// ResponseStatus is the status of a final response.
type ResponseStatus uint8

// Statuses of responses. The numbers are part of the wire format.
const (
	NoResponse       ResponseStatus = 0 // there is no response yet
	Served           ResponseStatus = 1 // the server's response is in Body
	Rejected         ResponseStatus = 2 // the request was never sent
	Failed           ResponseStatus = 3 // the request failed or may have been executed; Reason says why
	ResponseTooLarge ResponseStatus = 4 // the request was served, but its response was too large to be stored
)

// Response is the final response to a request.
type Response struct {
	_           struct{} `cbor:",toarray"`
	Status      ResponseStatus
	Body        []byte
	ContentType []byte
	RetryAfter  int64 // µs, with Rejected
	Reason      string
}

// Record is the replicated state of a request.
type Record struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Digest      uint64 // hash of class, idempotency key and body
	Class       string
	Idempotency Idempotency
	Owner       Member
	Epoch       uint64 // of the owner's view when it claimed the request
	Age         int64  // in µs, as of the sending of the message that carries the record
	DeadlineAge int64  // age in µs at which the request's deadline is reached
	Sent        bool   // the owner was permitted to send the request: another member may take it over without its client
	Request     []byte // encoded StoredRequest; if empty, the request is sent again only when its client resumes it
	Seq         uint32 // number of the owner's write
	Response    Response
}

// size returns the number of bytes counted for a record.
func (r *Record) size() int {
	return len(r.ID) + len(r.Class) + len(r.Request) + len(r.Response.Body) + len(r.Response.ContentType) + len(r.Response.Reason) + recordOverhead
}
