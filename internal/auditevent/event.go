package auditevent

import "strconv"

// Kind says what a member did with a request. Kinds are stored in segments by number, and counted by number less 1.
type Kind uint8

// Kinds of events.
const (
	Accepted        Kind = 1  // took a client's request; Note: its class
	TakenOver       Kind = 2  // took a request that another member may have sent
	Sent            Kind = 3  // decided to send an attempt; Note: the server
	NotSent         Kind = 4  // did not write an attempt that it had decided to send
	Served          Kind = 5  // answered with a server's answer
	Rejected        Kind = 6  // answered that it did nothing: the client may retry
	Failed          Kind = 7  // answered with another failure
	RejectedNoLease Kind = 8  // answered as Rejected, since this member held no lease
	DuplicateID     Kind = 9  // answered that the id is in flight, was answered, or belongs to another request
	ClientLeft      Kind = 10 // answered nobody: the client left first, or had no time left

	KindCount = 10
)

// kindNames are the names that tables and logs print. Operators search for them, so they stay as they are.
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

// Event is one thing that a member did.
type Event struct {
	Number   uint64        `json:"N"` // from 1, without gaps within an incarnation
	Kind     Kind          `json:"Kind"`
	Version  ConfigVersion `json:"Version"` // that it was decided under
	AtMicros int64         `json:"At"`      // since the start of the process
	ID       string        `json:"ID"`      // of the request
	Note     string        `json:"Note"`    // by kind
}

// Recorder records the events of one process. Its methods may be called from any goroutine.
type Recorder interface {
	// SetVersion sets the version in force from now on: the number and digest of the settings, and the sequence number of the endpoint
	// list (-1: none yet). It returns the version's id, which later events are recorded under.
	SetVersion(settings, digest uint64, list int64) ConfigVersionID

	// Record records an event under the version that it was decided by, and returns a reference to it.
	Record(k Kind, version ConfigVersionID, id, note string) Ref
}
