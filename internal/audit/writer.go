package audit

import (
	"encoding/binary"
	"errors"
	"slices"
	"sync"

	"github.com/klauspost/compress/s2"

	"damsonscale/internal/auditevent"
	"damsonscale/internal/takeover"
)

const (
	segmentBytes    = 64 << 10 // of encoded events; the event that reaches it ends the segment
	eventSlackBytes = 4 << 10  // room past segmentBytes for that event
	maxFieldBytes   = 255      // of an event's id or note; the rest is cut off
	maxUncollected  = 1024     // cut segments that Cut has not collected; the oldest are dropped
)

// InjectedFault is a fault that tests inject to show that the auditor finds it. The numbers are those of DAMSONSCALE_PLANT, less 10.
type InjectedFault uint8

// Injected faults.
const (
	NoFault         InjectedFault = 0
	VersionReadLate InjectedFault = 1 // events bear the version in force when they are recorded, not when they were decided
	EventDropped    InjectedFault = 2 // each hundredth event is counted and not recorded
	ChainBroken     InjectedFault = 3 // segments do not name the one before
)

// errUncollected reports segments that were dropped before Cut collected them.
var errUncollected = errors.New("segments were not collected in time")

// SegmentWriter records the events of one process and cuts them into segments. It implements auditevent.Recorder. All its methods may be
// called from any goroutine.
type SegmentWriter struct {
	codec *Codec
	fleet uint64
	build auditevent.ConfigVersion // what stays the same while the process runs
	now   func() int64             // µs of the process's own clock
	fault InjectedFault

	mu         sync.Mutex
	member     takeover.Member
	versions   []auditevent.ConfigVersion // by id
	counts     counter
	lastNumber uint64 // of events
	skipped    uint64 // by EventDropped
	index      uint64 // of the last segment that was cut
	previous   Hash   // of that segment
	cut        []SealedSegment
	err        error // since the last call that collected segments

	// The open segment.
	first      uint64 // number of its first event
	start      int64  // µs
	lastMicros int64  // of its last event
	body       []byte
	used       []auditevent.ConfigVersionID
}

// NewSegmentWriter returns a writer for a member of a fleet. now returns µs of the process's own clock.
func NewSegmentWriter(fleet uint64, member takeover.Member, build string, protocol uint16, now func() int64, fault InjectedFault) (*SegmentWriter, error) {
	codec, err := NewCodec()
	if err != nil {
		return nil, err
	}
	w := &SegmentWriter{
		codec: codec, fleet: fleet, build: auditevent.ConfigVersion{Build: build, Protocol: protocol}, now: now, fault: fault, member: member,
	}
	w.begin()
	w.SetVersion(0, 0, -1)
	return w, nil
}

// begin begins the trail of an incarnation. The caller holds mu, or has the writer to itself.
func (w *SegmentWriter) begin() {
	w.lastNumber, w.index, w.first, w.previous = 0, 0, 1, Hash{}
	w.counts.reset()
	w.start = w.now()
	w.lastMicros = w.start
}

// SetVersion implements auditevent.Recorder.
func (w *SegmentWriter) SetVersion(settings, digest uint64, list int64) auditevent.ConfigVersionID {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.build
	v.Settings, v.Digest, v.ListSeq = settings, digest, list
	if n := len(w.versions); n > 0 && w.versions[n-1] == v {
		return auditevent.ConfigVersionID(n - 1)
	}
	w.versions = append(w.versions, v)
	w.counts.register()
	return auditevent.ConfigVersionID(len(w.versions) - 1)
}

// Record implements auditevent.Recorder. An unknown kind or version records nothing and returns an empty reference.
func (w *SegmentWriter) Record(k auditevent.Kind, version auditevent.ConfigVersionID, id, note string) auditevent.Ref {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault == VersionReadLate {
		version = auditevent.ConfigVersionID(len(w.versions) - 1)
	}
	if int(version) >= len(w.versions) || k == 0 || k > auditevent.KindCount {
		return auditevent.Ref{}
	}
	w.lastNumber++
	w.counts.add(k, version, &w.versions[version])
	ref := auditevent.Ref{Member: w.member, Number: w.lastNumber, Version: w.versions[version]}
	if w.fault == EventDropped && (w.lastNumber+w.skipped)%100 == 0 {
		w.skipped++
		w.lastNumber-- // the next event gets this number
		return ref
	}
	w.append(k, version, id, note)
	if len(w.body) >= segmentBytes {
		w.seal(0, false)
	}
	return ref
}

// append appends an event to the open segment. Segment.decode reads it.
func (w *SegmentWriter) append(k auditevent.Kind, version auditevent.ConfigVersionID, id, note string) {
	if !slices.Contains(w.used, version) {
		w.used = append(w.used, version)
	}
	if w.body == nil {
		w.body = make([]byte, 0, segmentBytes+eventSlackBytes)
	}
	now := max(w.lastMicros, w.now())
	b := append(w.body, byte(k))
	b = binary.AppendUvarint(b, uint64(version))
	b = binary.AppendUvarint(b, uint64(now-w.lastMicros))
	b = appendField(b, id)
	w.body, w.lastMicros = appendField(b, note), now
}

// appendField appends a text with its length, cut off at maxFieldBytes.
func appendField(b []byte, s string) []byte {
	s = s[:min(len(s), maxFieldBytes)]
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// seal cuts the open segment. The caller holds mu.
func (w *SegmentWriter) seal(unixMillis int64, final bool) {
	s := &Segment{
		Format: format, Fleet: w.fleet, Member: w.member, Index: w.index + 1, FirstEvent: w.first, LastEvent: w.lastNumber, StartMicros: w.start,
		CutUnixMillis: unixMillis, Final: final, PreviousHash: w.previous, Counts: w.counts.all, Body: s2.Encode(nil, w.body),
	}
	for _, id := range w.used {
		s.Versions = append(s.Versions, numberedVersion{ID: id, Version: w.versions[id]})
	}
	sealed, err := w.codec.seal(s)
	if err != nil {
		w.err = err
		return
	}
	w.index, w.first, w.start = s.Index, w.lastNumber+1, w.lastMicros
	if w.fault != ChainBroken {
		w.previous = sealed.Hash
	}
	w.body, w.used = w.body[:0], w.used[:0]
	if len(w.cut) >= maxUncollected {
		w.cut, w.err = w.cut[1:], errUncollected
	}
	w.cut = append(w.cut, sealed)
}

// Cut ends the open segment if it has any event, and returns the segments cut since the last call. unixMillis is the wall clock's time. An
// error says that events were lost.
func (w *SegmentWriter) Cut(unixMillis int64) ([]SealedSegment, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastNumber >= w.first {
		w.seal(unixMillis, false)
	}
	return w.collect()
}

// EndIncarnation ends the trail in good order, and returns the segments cut since the last call. Later events begin the trail of next.
func (w *SegmentWriter) EndIncarnation(unixMillis int64, next takeover.Member) ([]SealedSegment, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seal(unixMillis, true)
	segments, err := w.collect()
	w.member = next
	w.begin()
	return segments, err
}

// collect returns the segments cut and the error met since it was called last.
func (w *SegmentWriter) collect() (segments []SealedSegment, err error) {
	segments, err = w.cut, w.err
	w.cut, w.err = nil, nil
	return segments, err
}

// AnswerCounts returns how many requests were answered under a number of the settings, and how many of those answers a server gave.
func (w *SegmentWriter) AnswerCounts(settings uint64) (answered, served uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.counts.all {
		if c := &w.counts.all[i]; c.Version.Settings == settings {
			served += c.of(auditevent.Served)
			answered += c.of(auditevent.Served) + c.of(auditevent.Rejected) + c.of(auditevent.Failed)
		}
	}
	return answered, served
}
