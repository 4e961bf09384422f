package auditevent

import "strconv"

// Kind is the kind of an event. Segments store the numbers, so they must not change.
type Kind uint8

// Kinds of events.
const (
	Accepted        Kind = 1  // accepted a client's request; Note: the request's class
	TakenOver       Kind = 2  // took over a request that another member may have sent
	Sent            Kind = 3  // decided to send an attempt; Note: the server
	NotSent         Kind = 4  // decided to send an attempt, but wrote nothing to the server
	Served          Kind = 5  // answered with a server's response
	Rejected        Kind = 6  // answered that the request had no effect: the client may retry it
	Failed          Kind = 7  // answered with any other error
	RejectedNoLease Kind = 8  // answered as for Rejected, because the member held no lease
	DuplicateID     Kind = 9  // answered that the request id is in flight, was answered before, or belongs to another request
	ClientLeft      Kind = 10 // sent no response: the client disconnected, or its deadline had passed

	KindCount = 10 // number of kinds
)

// kindNames are the names that tables and logs print. Operators search for them, so they must not change.
var kindNames = [KindCount + 1]string{
	"", "took", "took_over", "sent", "unsent", "served", "refused", "failed", "turned_away", "doubled", "left",
}

// String returns the name that tables and logs print.
func (k Kind) String() string {
	if k > 0 && int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "kind" + strconv.Itoa(int(k))
}

// Event is one step that a member took in the handling of a request.
type Event struct {
	Number   uint64        `json:"N"` // from 1, without gaps within an incarnation
	Kind     Kind          `json:"Kind"`
	Version  ConfigVersion `json:"Version"` // configuration version that the step was decided under
	AtMicros int64         `json:"At"`      // since the process started
	ID       string        `json:"ID"`      // of the request
	Note     string        `json:"Note"`    // detail that depends on the kind
}

// Recorder records the events of one process. Its methods may be called from any goroutine.
type Recorder interface {
	// SetVersion sets the configuration version in force: the number and digest of the settings, and the sequence number of the endpoint
	// list, which is -1 before the first list. It returns the version's id for calls of Record.
	SetVersion(settings, digest uint64, list int64) ConfigVersionID

	// Record records an event under the version that it was decided under, and returns a reference to the event.
	Record(k Kind, version ConfigVersionID, id, note string) Ref
}
