package takeover

// Decision is an instruction of a Node to its caller about a request.
type Decision uint8

// Decisions.
const (
	Execute           Decision = iota // the request may be sent from now on; Event.Record is its record
	ReturnStored                      // return Event.Record.Response, the final response
	QuorumUnavailable                 // too few replicas have replied in time; the state of the request is uncertain
	DuplicateID                       // the id belongs to another request, or to one in flight here
	OwnershipLost                     // another member owns the request, or this process was evicted: neither send nor answer it
	OwnerEvicted                      // the owner was evicted: take the request over with Node.Resume
	Replicated                        // a quorum stores the final response
)

var decisionNames = [...]string{
	Execute: "execute", ReturnStored: "return_stored", QuorumUnavailable: "quorum_unavailable", DuplicateID: "duplicate_id",
	OwnershipLost: "ownership_lost", OwnerEvicted: "owner_evicted", Replicated: "replicated",
}

// String returns the decision's name.
func (d Decision) String() string { return decisionNames[d] }

// Event is a decision on one request.
type Event struct {
	Decision         Decision
	ID               string
	Record           Record
	TakenOver        bool   // with Execute, ReturnStored or QuorumUnavailable: another member owned the request, and may have sent it
	PreviousOwner    Member // with TakenOver, if a quorum has reported it
	FailedOnTakeover bool   // with ReturnStored: this process failed the request on taking it over, since it may have been executed
	NeverSent        bool   // with QuorumUnavailable: no other member has claimed the request, or a quorum has reported it unclaimed
	NoReplicaAsked   bool   // with QuorumUnavailable: decided at once, so that the client cannot have resumed the request elsewhere
}

// Fallback is the treatment of a request that has no quorum.
type Fallback uint8

// Fallbacks.
const (
	SendWithoutRecord Fallback = iota // send it; no other member can take it over
	RejectRequest                     // it was not sent: the client may safely retry
	FailRequest                       // it may have been executed
)

// Fallback returns how to treat the request of a QuorumUnavailable event. With strict set, the request may be sent only after a
// quorum has stored its record.
func (e *Event) Fallback(strict bool) Fallback {
	switch {
	case e.NeverSent && strict && e.NoReplicaAsked:
		return RejectRequest
	case e.NeverSent && strict: // the client may have resumed it elsewhere while this member waited: a retry is not safe
		return FailRequest
	case e.NeverSent:
		return SendWithoutRecord
	case e.Record.Idempotency == NotIdempotent: // another member may have sent it
		return FailRequest
	}
	return SendWithoutRecord
}
