package handover

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
)

const (
	protocolVersion = 1

	maxHelloBytes   = 4 << 10
	maxMessageBytes = 1 << 20

	// descriptorsPerStream are the client's connection and the server's, in this order.
	descriptorsPerStream = 2

	// servingLine is what a successor sends once it accepts connections from the socket.
	servingLine = "serving\n"
)

var (
	// ErrNoPredecessor is returned by Acquire where no process of the sidecar is running.
	ErrNoPredecessor = errors.New("no process is running")

	// ErrNoSuccessor is returned by Server where no other process accepts transfers.
	ErrNoSuccessor = errors.New("no successor accepts transfers")

	// errHandoverInProgress tells that another successor is connected.
	errHandoverInProgress = errors.New("another successor is starting")
)

// ID identifies a sidecar: both processes of an upgrade have the same.
type ID struct {
	Name   string `json:"name"`
	Listen string `json:"listen"` // address:port at which clients are accepted
}

// SocketPath returns the Unix socket at which the processes of a sidecar meet, in a directory that they share.
func (id ID) SocketPath(dir string) string {
	sum := sha256.Sum256([]byte(id.Name + "\n" + id.Listen))
	return filepath.Join(dir, fmt.Sprintf("damsonscale-%x.sock", sum[:8]))
}

// hello is the first message of either side.
type hello struct {
	Version int `json:"version"`
	ID
	Busy             bool            `json:"busy,omitempty"`  // another successor is starting: try again later
	AcceptsTransfers bool            `json:"takes,omitempty"` // the successor resumes streams
	State            json.RawMessage `json:"state,omitempty"` // of the predecessor
}

// check returns an error unless a hello is of this protocol and sidecar.
func (h *hello) check(id ID) error {
	switch {
	case h.Version != protocolVersion:
		return fmt.Errorf("version %d, expected %d", h.Version, protocolVersion)
	case h.ID != id:
		return fmt.Errorf("of sidecar %s at %s", h.Name, h.Listen)
	}
	return nil
}

// transferMessage is a message of the predecessor after its hello: exactly one field is set.
type transferMessage struct {
	Stream json.RawMessage `json:"work,omitempty"` // comes with descriptorsPerStream descriptors
	Notice json.RawMessage `json:"news,omitempty"` // comes without
}

// descriptorsOf returns how many descriptors belong to a line.
func descriptorsOf(line []byte) int {
	var m transferMessage
	if json.Unmarshal(line, &m) == nil && m.Stream != nil {
		return descriptorsPerStream
	}
	return 0
}
