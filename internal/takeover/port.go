package takeover

import "time"

// Work is a request that comes under custody.
type Work struct {
	ID, Class string
	Effect    Effect
	Digest    uint64        // of class, key and body
	Resume    bool          // it was asked of another member before
	Strict    bool          // it goes out under custody alone
	Left      time.Duration // that it may wait for custody, and that its record lives
	Longest   time.Duration // that it may be under way; more than Left where its body is still coming
	Window    time.Duration // for which any server drops a repeat of its key; 0: not everywhere
	Stored    Stored        // what is needed to send it unasked; no head: it can't be
}

// Stored is what a member needs to send a request that nobody has asked it for.
type Stored struct {
	_           struct{} `cbor:",toarray"`
	Head, Body  []byte
	Tenant, Key string
}

// Lease is a leave to act, which may end at any time.
type Lease interface {
	Valid() bool           // asked as late as can be before a byte goes out
	Over() <-chan struct{} // closed once it has ended for good
}

// Leave is a leave to send.
type Leave struct {
	Lease  Lease         // valid for as long as it may be sent; nil: it goes on without custody
	Former time.Duration // since another member may have sent it; 0: none has
}

// Result is what came of a request that was run: Answer is for those who ask again, Live for who asked.
type Result struct {
	Answer Answer
	Live   any
}

// Word tells who asked what to do.
type Word uint8

const (
	Answered Word = iota // with the answer, while the lease is valid, if there is one
	Taken                // the id is under way here
	Foreign              // the id is that of another request
	Nothing              // another member answers, or nobody: end the connection
	Gone                 // who asked has left, or its time is up
)

// Outcome is what to tell a client.
type Outcome struct {
	Word   Word
	Answer Answer
	Live   any // of this process's own run; nil: Answer is all there is
	Lease  Lease
}
