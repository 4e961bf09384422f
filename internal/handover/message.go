package handover

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"time"
)

const (
	protocolVersion = 1

	maxHelloBytes   = 4 << 10
	maxMessageBytes = 1 << 20

	// descriptorsPerStream is the number of descriptors of a stream: the client's connection, then the server's.
	descriptorsPerStream = 2

	// transferStallTimeout is the time after which a successor that reads nothing of a transfer gets no more. The longest
	// shutdown takes 3.6 s.
	transferStallTimeout = 2 * time.Second

	// servingLine is the message that a successor sends once it accepts connections from the socket.
	servingLine = "serving\n"
)

var (
	// ErrNoPredecessor is returned by Acquire if no process of the sidecar is running.
	ErrNoPredecessor = errors.New("no process is running")

	// ErrNoSuccessor is returned by methods of Server if no other process accepts transfers.
	ErrNoSuccessor = errors.New("no successor accepts transfers")

	// errHandoverInProgress is returned if another successor is connected.
	errHandoverInProgress = errors.New("another successor is starting")
)

// ID identifies a sidecar. Both processes of an upgrade have the same ID.
type ID struct {
	Name   string `json:"name"`
	Listen string `json:"listen"` // address:port at which clients are accepted
}

// SocketPath returns the path of the Unix socket for handovers of this sidecar. All its processes must use the same
// directory.
func (id ID) SocketPath(dir string) string {
	sum := sha256.Sum256([]byte(id.Name + "\n" + id.Listen))
	return filepath.Join(dir, fmt.Sprintf("damsonscale-%x.sock", sum[:8]))
}

// hello is the first message of either side.
type hello struct {
	Version int `json:"version"`
	ID
	Busy             bool            `json:"busy,omitempty"`   // another successor is connected: retry later
	AcceptsTransfers bool            `json:"takes,omitempty"`  // the successor accepts transfers
	AnswersClaims    bool            `json:"claims,omitempty"` // the predecessor answers claims
	State            json.RawMessage `json:"state,omitempty"`  // state of the predecessor
}

// capabilities is the message that a successor sends after servingLine. Builds before it send none, and ignore it.
type capabilities struct {
	AcceptsUnsent bool `json:"unsent,omitempty"` // the successor writes the unsent bytes of a transferred stream
}

// check returns an error unless the hello has this protocol version and the ID of this sidecar.
func (h *hello) check(id ID) error {
	switch {
	case h.Version != protocolVersion:
		return fmt.Errorf("hello has protocol version %d, expected %d", h.Version, protocolVersion)
	case h.ID != id:
		return fmt.Errorf("hello is from another sidecar, %s at %s", h.Name, h.Listen)
	}
	return nil
}

// transferMessage is a message of the predecessor after its hello. Exactly one field is set.
type transferMessage struct {
	Stream json.RawMessage `json:"work,omitempty"`    // has descriptorsPerStream descriptors attached
	Notice json.RawMessage `json:"news,omitempty"`    // has no descriptors attached
	Claim  *claimAnswer    `json:"claimed,omitempty"` // has no descriptors attached
}

// claimMessage is a message of the successor: it is about to execute a request.
type claimMessage struct {
	RequestID string `json:"claim"`
}

// claimAnswer is the answer to a claimMessage.
type claimAnswer struct {
	RequestID string `json:"id"`
	Claim
}

// Claim is what a predecessor knows of a request that its successor is about to execute.
type Claim struct {
	InFlight bool          `json:"open,omitempty"` // the predecessor has the request in flight
	Age      time.Duration `json:"age,omitempty"`  // ns since its first attempt, if it may have been executed; 0: it was not
}

// descriptorsOf returns how many descriptors are attached to a line.
func descriptorsOf(line []byte) int {
	var m transferMessage
	if json.Unmarshal(line, &m) == nil && m.Stream != nil {
		return descriptorsPerStream
	}
	return 0
}
