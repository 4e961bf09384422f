package takeover

// Decision is what a Node has its caller do with a request.
type Decision uint8

// Decisions.
const (
	Execute           Decision = iota // it may be sent from now on; Event.Record tells what is known
	ReturnStored                      // Event.Record.Response is the final response
	QuorumUnavailable                 // too few replicas have replied in time; nothing is known for certain
	DuplicateID                       // the id is that of another request, or of one in flight
	OwnershipLost                     // another member owns it, or this process was evicted: send nothing
	OwnerEvicted                      // its owner was evicted: take it over with Node.Resume
	Replicated                        // a quorum has the final response
)

var decisionNames = [...]string{
	Execute: "execute", ReturnStored: "return_stored", QuorumUnavailable: "quorum_unavailable", DuplicateID: "duplicate_id",
	OwnershipLost: "ownership_lost", OwnerEvicted: "owner_evicted", Replicated: "replicated",
}

// String is the decision's name.
func (d Decision) String() string { return decisionNames[d] }

// Event is a decision on one request.
type Event struct {
	Decision         Decision
	ID               string
	Record           Record
	TakenOver        bool   // with Execute or QuorumUnavailable: another owner had it, and may have sent it
	PreviousOwner    Member // with TakenOver
	FailedOnTakeover bool   // with ReturnStored: this process has concluded that it may have been executed; no owner had a response
	NeverSent        bool   // with QuorumUnavailable: no other member has claimed it, or a quorum has said that it was never sent
	NoReplicaAsked   bool   // with QuorumUnavailable: no replica was asked, so that the client can't have resumed it elsewhere meanwhile
}

// Fallback is what to do with a request for which no quorum can be had.
type Fallback uint8

// Fallbacks.
const (
	SendWithoutRecord Fallback = iota // send it; no other member can take it over
	RejectRequest                     // it was not sent: the client may safely retry
	FailRequest                       // it may have been executed
)

// Fallback tells what to do, with QuorumUnavailable. strict: the request may be sent only if a quorum has its record.
func (e *Event) Fallback(strict bool) Fallback {
	switch {
	case e.NeverSent && strict && e.NoReplicaAsked:
		return RejectRequest
	case e.NeverSent && strict: // while this member waited, the client may have resumed it elsewhere: a retry is not safe
		return FailRequest
	case e.NeverSent:
		return SendWithoutRecord
	case e.Record.Idempotency == NotIdempotent: // another member may have sent it
		return FailRequest
	}
	return SendWithoutRecord
}
