// Package auditevent has the words of an audited fleet: what a sidecar does, and the version of what it goes by. docs/audit.md
// tells how and why.
package auditevent

import (
	"fmt"
	"strconv"
	"strings"

	"damsonscale/internal/takeover"
)

// ConfigVersion is what a decision was made by.
type ConfigVersion struct {
	_        struct{} `cbor:",toarray"`
	Settings uint64   `json:"Settings"` // number given by the fleet; 0: the sidecar's own file
	Digest   uint64   `json:"Digest"`   // of their bytes, the first 8 of SHA-256
	ListSeq  int64    `json:"List"`     // seq of discovery's list; -1: none yet
	Build    string   `json:"Build"`    // of the program
	Protocol uint16   `json:"Protocol"` // of the fleet
}

// Kind is what was done.
type Kind uint8

const (
	Accepted        Kind = 1  // a request of a client; Note: its class
	TakenOver       Kind = 2  // one that another member may have sent
	Sent            Kind = 3  // decided to be sent; Note: the server
	NotSent         Kind = 4  // what was decided to be sent was not written
	Served          Kind = 5  // answered with a server's answer
	Rejected        Kind = 6  // answered: a new try is harmless
	Failed          Kind = 7  // answered otherwise
	RejectedNoLease Kind = 8  // answered as Refused, since this member had no leave to act
	DuplicateID     Kind = 9  // answered that its id is under way, was answered, or is that of another request
	ClientLeft      Kind = 10 // its client left before the answer, or had no time left: nobody was answered
	KindCount            = 10 // how many there are
)

var kindNames = [KindCount + 1]string{"", "took", "took_over", "sent", "unsent", "served", "refused", "failed", "turned_away", "doubled", "left"}

// String names the kind as logs and tables do.
func (k Kind) String() string {
	if int(k) < len(kindNames) && k > 0 {
		return kindNames[k]
	}
	return "kind" + strconv.Itoa(int(k))
}

// Event is one of them, as it is told.
type Event struct {
	Number   uint64        `json:"N"`
	Kind     Kind          `json:"Kind"`
	Version  ConfigVersion `json:"Version"`
	AtMicros int64         `json:"At"` // µs since the process's start
	ID       string        `json:"ID"`
	Note     string        `json:"Note"`
}

// ConfigVersionID is the place of a version in the book of one process.
type ConfigVersionID uint32

// Ref names an act.
type Ref struct {
	Member  takeover.Member
	Number  uint64
	Version ConfigVersion
}

// RefHeader carries a Ref from a member to a server or a client.
const RefHeader = "Req-Actor"

// Append puts a ref into text: name, incarnation, act, settings, digest, list.
func (r *Ref) Append(b []byte) []byte {
	b = append(append(b, r.Member.Name...), '/')
	b = append(strconv.AppendUint(b, r.Member.Incarnation, 16), '/')
	b = append(strconv.AppendUint(b, r.Number, 10), '/')
	b = append(strconv.AppendUint(b, r.Version.Settings, 10), '/')
	b = append(strconv.AppendUint(b, r.Version.Digest, 16), '/')
	return strconv.AppendInt(b, r.Version.ListSeq, 10)
}

// ParseRef reads what Append wrote. A name may contain slashes.
func ParseRef(text string) (r Ref, err error) {
	parts := strings.Split(text, "/")
	if len(parts) < 6 {
		return r, fmt.Errorf("%s: expected six parts, got %q", RefHeader, text)
	}
	name, rest := strings.Join(parts[:len(parts)-5], "/"), parts[len(parts)-5:]
	var errs [5]error
	r.Member.Name = name
	r.Member.Incarnation, errs[0] = strconv.ParseUint(rest[0], 16, 64)
	r.Number, errs[1] = strconv.ParseUint(rest[1], 10, 64)
	r.Version.Settings, errs[2] = strconv.ParseUint(rest[2], 10, 64)
	r.Version.Digest, errs[3] = strconv.ParseUint(rest[3], 16, 64)
	r.Version.ListSeq, errs[4] = strconv.ParseInt(rest[4], 10, 64)
	for _, e := range errs {
		if e != nil {
			return r, fmt.Errorf("%s: %w", RefHeader, e)
		}
	}
	return r, nil
}

// Recorder is the account that a sidecar keeps of itself.
type Recorder interface {
	SetVersion(settings, digest uint64, list int64) ConfigVersionID // tells the version in force from now on
	Record(k Kind, under ConfigVersionID, id, note string) Ref      // notes an act
}
