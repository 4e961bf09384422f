package fleet

import (
	"crypto/rand"
	"encoding/binary"
	"time"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/takeover"
)

// leaveGrace bounds the wait of Leave for the end of its audit records, and is the time that it gives its frames to be sent.
const leaveGrace = 100 * time.Millisecond

// newIncarnation draws a random number that distinguishes this incarnation from all others of its name, and ends the lease of
// the previous incarnation. The new lease is not valid until it is granted.
func (f *Fleet) newIncarnation() error {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return err
	}
	if old := f.lease.Load(); old != nil {
		old.end()
	}
	f.self.Store(&takeover.Member{Name: f.name, Incarnation: binary.BigEndian.Uint64(b[:])})
	f.lease.Store(&Lease{start: f.start, fault: f.faults.takeover, excluded: &f.excluded, done: make(chan struct{})})
	return nil
}

// onEvicted rejoins with a new incarnation after the eviction of the current one. It runs on runLeaseRenewal's goroutine.
func (f *Fleet) onEvicted() {
	old := *f.self.Load()
	if err := f.newIncarnation(); err != nil {
		eventlog.Error(eventRejoinFailed, err)
		return
	}
	self := *f.self.Load()
	eventlog.Warn(eventEvicted, nil, "member", old.Name, "incarnation", old.IncarnationHex(), "new_incarnation", self.IncarnationHex())
	f.coordinator.mailbox <- rejoined{self}
	if f.replicator != nil {
		f.replicator.post(incarnationStarted{self: self})
	}
	f.requestLease()
}

// Leave ends the membership of a process that shuts down, so that other members take over its remaining requests at once. If
// the frames are lost, the member is evicted when its lease has expired.
func (f *Fleet) Leave() {
	f.leaving.Store(true)
	payload, err := f.codec.Marshal(*f.self.Load())
	if err == nil {
		err = f.newIncarnation() // ends the audit records of the old incarnation; the new one never joins
	}
	if err != nil {
		return
	}
	if f.replicator != nil {
		done := make(chan struct{})
		f.replicator.post(incarnationStarted{*f.self.Load(), done})
		select {
		case <-done:
		case <-time.After(leaveGrace):
		}
	}
	for _, voter := range f.voters {
		f.send(voter, protocol.KindLeave, payload)
	}
	time.Sleep(leaveGrace)
}
