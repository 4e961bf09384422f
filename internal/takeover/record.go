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
	Name        string
	Incarnation uint64
}

// Standing is a living member's.
type Standing struct {
	Joined uint64 // epoch
	First  bool   // no process of that name was a member before: it has forgotten nothing
}

// View is the fleet's agreed list of living members. It is never changed.
type View struct {
	Epoch uint64
	Live  map[Member]Standing
}

// Lives tells whether a member has joined and is not out.
func (v *View) Lives(m Member) bool { _, ok := v.Live[m]; return ok }

// Ballot orders owners of one request. Round 0 is the first taker's, who asks nobody.
type Ballot struct {
	_     struct{} `cbor:",toarray"`
	Round uint32
	By    Member
}

// Compare orders by round, then by owner.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.By.Name, o.By.Name), cmp.Compare(b.By.Incarnation, o.By.Incarnation))
}

// Effect is what a second run does.
type Effect uint8

const (
	Safe   Effect = iota
	Keyed         // dropped by servers for a while
	Unsafe        // must never happen
)

// Verdict is the kind of a final answer.
type Verdict uint8

const (
	None    Verdict = iota // not answered yet
	Served                 // with Body
	Refused                // never sent
	Failed                 // Why tells the reason
	TooLong                // it was served, and the answer was too long to keep
)

// Answer is a final answer.
type Answer struct {
	_           struct{} `cbor:",toarray"`
	Verdict     Verdict
	Body        []byte
	ContentType []byte
	RetryAfter  int64 // µs, with Refused
	Why         string
}

// Record is what holders keep of a request.
type Record struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Digest  uint64 // of class, key and body
	Class   string
	Effect  Effect
	Owner   Member
	Epoch   uint64 // under which the owner took it
	Age     int64  // at the time of the message
	Life    int64  // its deadline, as an age
	Sent    bool   // its owner had leave to send it: it may be taken over unasked
	Request []byte // what a taker needs to send it unasked; empty: only its client can have it sent
	Seq     uint32 // of the owner's writes
	Answer  Answer
}

func (r *Record) size() int {
	return len(r.ID) + len(r.Class) + len(r.Request) + len(r.Answer.Body) + len(r.Answer.ContentType) + len(r.Answer.Why) + 160
}

// Kind is what a message asks or says.
type Kind uint8

const (
	Write    Kind = iota // keep this record
	Ask                  // promise this ballot, and tell what is known
	Accepted             // kept
	Promised             // Record is what is known, if Known
	Lives                // the owner lives and has not answered: wait for it
	Outbid               // Promise is a higher ballot
	Out                  // the sender is out of the fleet
	Behind               // the holder does not know the sender's epoch yet
	Young                // the holder started after the request may have been taken: it can't say
	Full                 // the holder has no room
	Other                // the id is that of another request
	Expired              // the request was known, and is forgotten
)

// Message is one between members.
type Message struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	To      Kind // with a reply: Write or Ask
	ID      string
	Ballot  Ballot // of the Write or Ask, and in its reply
	Epoch   uint64 // of the sender's view
	Digest  uint64 // with Ask
	Seq     uint32 // of the Write; in its reply, of what is kept
	Promise Ballot // with Outbid
	Known   bool   // with Promised: Record was written under At
	At      Ballot
	Record  *Record
}

// Holders lists the names that hold an id's record, by rendezvous: each name alone decides its rank.
func Holders(names []string, id string, n int) []string {
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
