// Package takeover decides who owns a request, so that its work survives the loss of its sidecar and is done once.
//
// A Node is one process's part: a holder of others' records, and the owner of its own. It does no input or output and
// reads no clock; times are µs of the caller's monotonic clock, ages µs since the first owner took the request. The
// protocol and why it is right are in docs/takeover.md.
package takeover

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is one process of the fleet: a name, and the number drawn at its start.
type Member struct {
	_           struct{} `cbor:",toarray"`
	Name        string   `json:"Name"`
	Incarnation uint64   `json:"Incarnation"`
}

// MemberInfo is a living member's.
type MemberInfo struct {
	JoinedEpoch      uint64 // epoch
	FirstIncarnation bool   // no process of that name was a member before: it has forgotten nothing
}

// View is the fleet's agreed list of living members. It is never changed.
type View struct {
	Epoch   uint64
	Members map[Member]MemberInfo
}

// Contains tells whether a member has joined and is not out.
func (v *View) Contains(m Member) bool { _, ok := v.Members[m]; return ok }

// Ballot orders owners of one request. Round 0 is the first taker's, who asks nobody.
type Ballot struct {
	_        struct{} `cbor:",toarray"`
	Round    uint32
	Proposer Member
}

// Compare orders by round, then by owner.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.Proposer.Name, o.Proposer.Name), cmp.Compare(b.Proposer.Incarnation, o.Proposer.Incarnation))
}

// Idempotency is what a second run does.
type Idempotency uint8

const (
	Idempotent      Idempotency = iota
	IdempotentByKey             // dropped by servers for a while
	NotIdempotent               // must never happen
)

// ResponseStatus is the kind of a final answer.
type ResponseStatus uint8

const (
	NoResponse       ResponseStatus = iota // not answered yet
	Served                                 // with Body
	Rejected                               // never sent
	Failed                                 // Why tells the reason
	ResponseTooLarge                       // it was served, and the answer was too long to keep
)

// Response is a final answer.
type Response struct {
	_           struct{} `cbor:",toarray"`
	Status      ResponseStatus
	Body        []byte
	ContentType []byte
	RetryAfter  int64 // µs, with Refused
	Reason      string
}

// Record is what holders keep of a request.
type Record struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Digest      uint64 // of class, key and body
	Class       string
	Idempotency Idempotency
	Owner       Member
	Epoch       uint64 // under which the owner took it
	Age         int64  // at the time of the message
	DeadlineAge int64  // its deadline, as an age
	Sent        bool   // its owner had leave to send it: it may be taken over unasked
	Request     []byte // what a taker needs to send it unasked; empty: only its client can have it sent
	Seq         uint32 // of the owner's writes
	Response    Response
}

func (r *Record) size() int {
	return len(r.ID) + len(r.Class) + len(r.Request) + len(r.Response.Body) + len(r.Response.ContentType) + len(r.Response.Reason) + 160
}

// MessageKind is what a message asks or says.
type MessageKind uint8

const (
	Write         MessageKind = iota // keep this record
	Prepare                          // promise this ballot, and tell what is known
	Accepted                         // kept
	Promised                         // Record is what is known, if Known
	OwnerAlive                       // the owner lives and has not answered: wait for it
	HigherBallot                     // Promise is a higher ballot
	Evicted                          // the sender is out of the fleet
	StaleEpoch                       // the holder does not know the sender's epoch yet
	NotYetMember                     // the holder started after the request may have been taken: it can't say
	OutOfCapacity                    // the holder has no room
	IDInUse                          // the id is that of another request
	RecordExpired                    // the request was known, and is forgotten
)

// Message is one between members.
type Message struct {
	_              struct{} `cbor:",toarray"`
	Kind           MessageKind
	ReplyTo        MessageKind // with a reply: Write or Ask
	ID             string
	Ballot         Ballot // of the Write or Ask, and in its reply
	Epoch          uint64 // of the sender's view
	Digest         uint64 // with Ask
	Seq            uint32 // of the Write; in its reply, of what is kept
	PromisedBallot Ballot // with Outbid
	HasRecord      bool   // with Promised: Record was written under At
	RecordBallot   Ballot
	Record         *Record
}

// Replicas lists the names that hold an id's record, by rendezvous: each name alone decides its rank.
func Replicas(names []string, id string, n int) []string {
	type ranked struct {
		name string
		rank uint64
	}
	all := make([]ranked, len(names))
	var d xxhash.Digest
	for i, name := range names {
		d.Reset()
		d.WriteString(name)
		d.WriteString("\x00")
		d.WriteString(id)
		all[i] = ranked{name, d.Sum64()}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.name, b.name)) })
	out := make([]string, 0, n)
	for _, r := range all[:min(n, len(all))] {
		out = append(out, r.name)
	}
	return out
}
