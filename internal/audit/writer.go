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
	segmentBytes    = 64 << 10 // size of the encoded events at which a segment is cut; the last event may exceed the size
	eventSlackBytes = 4 << 10  // buffer capacity above segmentBytes, for the last event of a segment
	maxFieldBytes   = 255      // bytes of an event's id or note; longer values are truncated
	maxUncollected  = 1024     // maximum number of cut segments that wait for collection; the oldest are dropped if there are more
)

// InjectedFault is a fault that tests inject to check that the auditor detects it. Values are those of DAMSONSCALE_PLANT minus 10.
type InjectedFault uint8

// Injected faults.
const (
	NoFault         InjectedFault = 0
	VersionReadLate InjectedFault = 1 // events get the version in force when they are recorded, not when they were decided
	EventDropped    InjectedFault = 2 // every hundredth event is counted but not recorded
	ChainBroken     InjectedFault = 3 // segments do not have the hash of the preceding segment
)

// errUncollected means that cut segments were dropped before they were collected.
var errUncollected = errors.New("audit segments were dropped because too many were not collected")

// SegmentWriter records the events of one process and cuts them into segments. It implements auditevent.Recorder and is safe for
// concurrent use.
type SegmentWriter struct {
	codec *Codec
	fleet uint64                   // id of the fleet
	build auditevent.ConfigVersion // with the fields that are constant for the process: Build and Protocol
	now   func() int64             // µs since the process started
	fault InjectedFault

	mu           sync.Mutex
	member       takeover.Member
	versions     []auditevent.ConfigVersion // by version id
	counts       eventCounter
	lastEvent    uint64          // number of the last event
	skipped      uint64          // events not recorded because of EventDropped
	index        uint64          // index of the last segment that was cut
	previousHash Hash            // hash of that segment
	uncollected  []SealedSegment // cut segments, oldest first
	collectErr   error           // last error since segments were collected

	// The open segment, which has not been cut yet.
	firstEvent   uint64 // number of its first event
	startMicros  int64  // time base of its events
	lastMicros   int64  // time of its last event
	body         []byte
	usedVersions []auditevent.ConfigVersionID
}

// NewSegmentWriter returns a writer for a member of a fleet. now returns the time since the start of
// the process, in µs.
func NewSegmentWriter(fleet uint64, member takeover.Member, build string, protocol uint16, now func() int64, fault InjectedFault) (*SegmentWriter, error) {
	codec, err := NewCodec()
	if err != nil {
		return nil, err
	}
	w := &SegmentWriter{
		codec: codec, fleet: fleet, build: auditevent.ConfigVersion{Build: build, Protocol: protocol}, now: now, fault: fault, member: member,
	}
	w.beginIncarnation()
	w.SetVersion(0, 0, -1)
	return w, nil
}

// beginIncarnation resets the state for the trail of a new incarnation. The caller holds mu, or has exclusive access to the writer.
func (w *SegmentWriter) beginIncarnation() {
	w.lastEvent, w.index, w.firstEvent, w.previousHash = 0, 0, 1, Hash{}
	w.counts.reset()
	w.startMicros = w.now()
	w.lastMicros = w.startMicros
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
	w.counts.registerVersion()
	return auditevent.ConfigVersionID(len(w.versions) - 1)
}

// Record implements auditevent.Recorder. For an unknown kind or version it records nothing and returns
// an empty reference.
func (w *SegmentWriter) Record(k auditevent.Kind, version auditevent.ConfigVersionID, id, note string) auditevent.Ref {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault == VersionReadLate {
		version = auditevent.ConfigVersionID(len(w.versions) - 1)
	}
	if int(version) >= len(w.versions) || k == 0 || k > auditevent.KindCount {
		return auditevent.Ref{}
	}
	w.lastEvent++
	w.counts.add(k, version, &w.versions[version])
	ref := auditevent.Ref{Member: w.member, Number: w.lastEvent, Version: w.versions[version]}
	if w.fault == EventDropped && (w.lastEvent+w.skipped)%100 == 0 {
		w.skipped++
		w.lastEvent-- // the next event gets the same number
		return ref
	}
	w.appendEvent(k, version, id, note)
	if len(w.body) >= segmentBytes {
		w.seal(0, false)
	}
	return ref
}

// appendEvent encodes an event at the end of the open segment. Segment.decode decodes it. The caller holds mu.
func (w *SegmentWriter) appendEvent(k auditevent.Kind, version auditevent.ConfigVersionID, id, note string) {
	if !slices.Contains(w.usedVersions, version) {
		w.usedVersions = append(w.usedVersions, version)
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

// appendField appends a length-prefixed string, truncated to maxFieldBytes.
func appendField(b []byte, s string) []byte {
	s = s[:min(len(s), maxFieldBytes)]
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// seal cuts the open segment and begins the next one. The caller holds mu.
func (w *SegmentWriter) seal(unixMillis int64, final bool) {
	s := &Segment{
		Format: formatVersion, Fleet: w.fleet, Member: w.member, Index: w.index + 1, FirstEvent: w.firstEvent, LastEvent: w.lastEvent, StartMicros: w.startMicros,
		CutUnixMillis: unixMillis, Final: final, PreviousHash: w.previousHash, Counts: w.counts.counts, Body: s2.Encode(nil, w.body),
	}
	for _, id := range w.usedVersions {
		s.Versions = append(s.Versions, numberedVersion{ID: id, Version: w.versions[id]})
	}
	sealed, err := w.codec.seal(s)
	if err != nil {
		w.collectErr = err
		return
	}
	w.index, w.firstEvent, w.startMicros = s.Index, w.lastEvent+1, w.lastMicros
	if w.fault != ChainBroken {
		w.previousHash = sealed.Hash
	}
	w.body, w.usedVersions = w.body[:0], w.usedVersions[:0]
	if len(w.uncollected) >= maxUncollected {
		w.uncollected, w.collectErr = w.uncollected[1:], errUncollected
	}
	w.uncollected = append(w.uncollected, sealed)
}

// Cut cuts the open segment if it has events, and returns the segments cut since segments were last collected. unixMillis is the wall clock
// time. An error means that cut segments were dropped because too many waited for collection, or that a segment could not be
// encoded.
func (w *SegmentWriter) Cut(unixMillis int64) ([]SealedSegment, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastEvent >= w.firstEvent {
		w.seal(unixMillis, false)
	}
	return w.collect()
}

// EndIncarnation ends the trail of the present incarnation with a final segment, and returns the segments cut since segments were last
// collected. Later events belong to the trail of next.
func (w *SegmentWriter) EndIncarnation(unixMillis int64, next takeover.Member) ([]SealedSegment, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seal(unixMillis, true)
	segments, err := w.collect()
	w.member = next
	w.beginIncarnation()
	return segments, err
}

// collect returns and clears the cut segments and the last error. The caller holds mu.
func (w *SegmentWriter) collect() (segments []SealedSegment, err error) {
	segments, err = w.uncollected, w.collectErr
	w.uncollected, w.collectErr = nil, nil
	return segments, err
}

// AnswerCounts returns the number of requests of this incarnation that were answered under a version of the settings, and the number of
// those that were answered with a server's response.
func (w *SegmentWriter) AnswerCounts(settings uint64) (answered, served uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.counts.counts {
		if c := &w.counts.counts[i]; c.Version.Settings == settings {
			served += c.countOf(auditevent.Served)
			answered += c.countOf(auditevent.Served) + c.countOf(auditevent.Rejected) + c.countOf(auditevent.Failed)
		}
	}
	return answered, served
}
