package takeover

import "cmp"

// recordOverhead is the size in bytes that is counted for a record besides its strings.
const recordOverhead = 160

// Ballot orders the owners of one request. Round 0 is that of the member that first read the request; it asks nobody.
type Ballot struct {
	_        struct{} `cbor:",toarray"`
	Round    uint32
	Proposer Member
}

// Compare orders by round, then by proposer.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(
		cmp.Compare(b.Round, o.Round), cmp.Compare(b.Proposer.Name, o.Proposer.Name),
		cmp.Compare(b.Proposer.Incarnation, o.Proposer.Incarnation),
	)
}

// Idempotency is what a second execution of a request would do.
type Idempotency uint8

// Kinds of idempotency. The numbers are part of the wire format.
const (
	Idempotent      Idempotency = 0
	IdempotentByKey Idempotency = 1 // servers drop a repetition of the idempotency key for a while
	NotIdempotent   Idempotency = 2
)

// ResponseStatus is the kind of a final response.
type ResponseStatus uint8

// Kinds of responses. The numbers are part of the wire format.
const (
	NoResponse       ResponseStatus = 0 // there is none yet
	Served           ResponseStatus = 1 // with Body
	Rejected         ResponseStatus = 2 // the request was never sent
	Failed           ResponseStatus = 3 // Reason says why
	ResponseTooLarge ResponseStatus = 4 // the request was served; its response was too large to be stored
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

// Record is what replicas store of a request.
type Record struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Digest      uint64 // of class, idempotency key and body
	Class       string
	Idempotency Idempotency
	Owner       Member
	Epoch       uint64 // of the owner's view when it claimed the request
	Age         int64  // µs, when the message that carries the record was sent
	DeadlineAge int64  // µs, the age at which the request's deadline is reached
	Sent        bool   // the owner was permitted to send it: another member may take it over without being asked
	Request     []byte // encoded StoredRequest; empty: only the client can have it sent again
	Seq         uint32 // counts the owner's writes
	Response    Response
}

// size is the memory in bytes that is counted for a record.
func (r *Record) size() int {
	return len(r.ID) + len(r.Class) + len(r.Request) + len(r.Response.Body) + len(r.Response.ContentType) + len(r.Response.Reason) + recordOverhead
}
