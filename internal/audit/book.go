package audit

import (
	"encoding/binary"
	"errors"
	"sync"

	"github.com/klauspost/compress/s2"

	"damsonscale/internal/auditevent"
	"damsonscale/internal/takeover"
)

const (
	fullAt      = 64 << 10 // bytes of acts, at which a segment is cut by the act that fills it
	roomFor     = 4 << 10  // bytes past that an act may take
	mostCounts  = 128      // of versions; past it the oldest are counted together by their settings
	mostNote    = 255      // bytes of an id or a note
	mostWaiting = 1024     // cut segments that nobody has fetched
)

// InjectedFault is a fault on purpose, to show that the auditor finds it.
type InjectedFault uint8

const (
	NoFault         InjectedFault = 0
	VersionReadLate InjectedFault = 1 // the version in force at the answer, not at the decision
	EventDropped    InjectedFault = 2 // each hundredth act is counted and not written down
	ChainBroken     InjectedFault = 3 // segments don't name the one before
)

// SegmentWriter is the account that one process keeps of itself. All its methods may be called by any
// goroutine.
type SegmentWriter struct {
	codec *Codec
	fleet uint64
	fixed auditevent.ConfigVersion // what doesn't change while the process runs
	now   func() int64
	plant InjectedFault

	mu       sync.Mutex
	me       takeover.Member
	versions []auditevent.ConfigVersion // by stamp
	counts   []Count
	countOf  []int // in counts, by stamp; -1: none yet
	n        uint64
	dropped  uint64 // by a fault on purpose
	index    uint64
	first    uint64
	at, last int64 // µs: of the open segment's start, of its last act
	open     []byte
	used     []auditevent.ConfigVersionID
	before   Hash
	cut      []SealedSegment
	faulty   error
}

// NewSegmentWriter makes the book of a member. now is µs of the process's own clock.
func NewSegmentWriter(fleet uint64, me takeover.Member, build string, protocol uint16, now func() int64, plant InjectedFault) (*SegmentWriter, error) {
	codec, err := NewCodec()
	if err != nil {
		return nil, err
	}
	b := &SegmentWriter{codec: codec, fleet: fleet, fixed: auditevent.ConfigVersion{Build: build, Protocol: protocol}, now: now, plant: plant, me: me}
	b.begin()
	b.SetVersion(0, 0, -1)
	return b, nil
}

func (b *SegmentWriter) begin() {
	b.n, b.index, b.first, b.before = 0, 0, 1, Hash{}
	b.counts = nil
	for i := range b.countOf {
		b.countOf[i] = -1
	}
	b.at = b.now()
	b.last = b.at
}

// SetVersion tells the version in force from now on, and returns its stamp.
func (b *SegmentWriter) SetVersion(settings, digest uint64, list int64) auditevent.ConfigVersionID {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.fixed
	v.Settings, v.Digest, v.ListSeq = settings, digest, list
	if n := len(b.versions); n > 0 && b.versions[n-1] == v {
		return auditevent.ConfigVersionID(n - 1)
	}
	b.versions, b.countOf = append(b.versions, v), append(b.countOf, -1)
	return auditevent.ConfigVersionID(len(b.versions) - 1)
}

// Record notes an act under a version, and names it.
func (b *SegmentWriter) Record(k auditevent.Kind, under auditevent.ConfigVersionID, id, note string) auditevent.Ref {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.plant == VersionReadLate {
		under = auditevent.ConfigVersionID(len(b.versions) - 1)
	}
	if int(under) >= len(b.versions) || k == 0 || k > auditevent.KindCount {
		return auditevent.Ref{}
	}
	b.n++
	b.count(k, under)
	ref := auditevent.Ref{Member: b.me, Number: b.n, Version: b.versions[under]}
	if b.plant == EventDropped && (b.n+b.dropped)%100 == 0 {
		b.dropped++
		b.n-- // and the next one has its number
		return ref
	}
	found := false
	for _, u := range b.used {
		found = found || u == under
	}
	if !found {
		b.used = append(b.used, under)
	}
	if b.open == nil {
		b.open = make([]byte, 0, fullAt+roomFor)
	}
	now := max(b.last, b.now())
	o := append(b.open, byte(k))
	o = binary.AppendUvarint(o, uint64(under))
	o = binary.AppendUvarint(o, uint64(now-b.last))
	o = text(o, id)
	b.open, b.last = text(o, note), now
	if len(b.open) >= fullAt {
		b.seal(0, false)
	}
	return ref
}

func text(b []byte, s string) []byte {
	s = s[:min(len(s), mostNote)]
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// count counts an act. Past a number of versions the oldest go into one count for their settings.
func (b *SegmentWriter) count(k auditevent.Kind, under auditevent.ConfigVersionID) {
	at := b.countOf[under]
	if at < 0 {
		v := b.versions[under]
		for i := range b.counts {
			if c := &b.counts[i]; c.Version == v || c.Merged && c.Version.Settings == v.Settings && c.Version.Digest == v.Digest {
				at = i
			}
		}
		if at < 0 {
			if len(b.counts) >= mostCounts {
				b.merge()
			}
			b.counts = append(b.counts, Count{Version: v})
			at = len(b.counts) - 1
		}
		b.countOf[under] = at
	}
	b.counts[at].ByKind[k-1]++
}

// merge counts the first half together, by settings.
func (b *SegmentWriter) merge() {
	var kept []Count
	for i, c := range b.counts {
		at := -1
		if i < mostCounts/2 {
			c.Merged, c.Version = true, auditevent.ConfigVersion{Settings: c.Version.Settings, Digest: c.Version.Digest, ListSeq: -1}
		}
		for j := range kept {
			if c.Merged && kept[j].Merged && kept[j].Version == c.Version {
				at = j
			}
		}
		if at < 0 {
			kept = append(kept, c)
			continue
		}
		for k := range c.ByKind {
			kept[at].ByKind[k] += c.ByKind[k]
		}
	}
	if len(kept) >= mostCounts { // all of other settings: the first is given up, and no longer exact
		kept = kept[1:]
	}
	b.counts = kept
	for i := range b.countOf {
		b.countOf[i] = -1
	}
}

// seal cuts the open segment. The caller holds mu.
func (b *SegmentWriter) seal(wall int64, end bool) {
	s := &Segment{
		Format: format, Fleet: b.fleet, Member: b.me, Index: b.index + 1, First: b.first, Last: b.n, StartMicros: b.at, CutUnixMillis: wall, Final: end, PreviousHash: b.before,
		Counts: b.counts, Body: s2.Encode(nil, b.open),
	}
	for _, u := range b.used {
		s.Versions = append(s.Versions, stamped{Stamp: u, Version: b.versions[u]})
	}
	z, err := b.codec.seal(s)
	if err != nil {
		b.faulty = err
		return
	}
	b.index, b.first, b.at = s.Index, b.n+1, b.last
	if b.plant != ChainBroken {
		b.before = z.Hash
	}
	b.open, b.used = b.open[:0], b.used[:0]
	if len(b.cut) >= mostWaiting {
		b.cut, b.faulty = b.cut[1:], errors.New("segments were not fetched in time")
	}
	b.cut = append(b.cut, z)
}

// Cut closes the open segment if it has any act, and returns those cut since the last call. wall is Unix ms.
func (b *SegmentWriter) Cut(wall int64) ([]SealedSegment, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.n >= b.first {
		b.seal(wall, false)
	}
	return b.taken()
}

func (b *SegmentWriter) taken() (out []SealedSegment, err error) {
	out, err = b.cut, b.faulty
	b.cut, b.faulty = nil, nil
	return out, err
}

// EndIncarnation closes the account in good order, and returns what was cut. Acts noted later begin that of another incarnation.
func (b *SegmentWriter) EndIncarnation(wall int64, next takeover.Member) ([]SealedSegment, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seal(wall, true)
	out, err := b.taken()
	b.me = next
	b.begin()
	return out, err
}

// AnswerCounts counts the answers under a number of the settings, and those of them that a server gave.
func (b *SegmentWriter) AnswerCounts(settings uint64) (ended, served uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.counts {
		if c := &b.counts[i]; c.Version.Settings == settings {
			served += c.ByKind[auditevent.Served-1]
			ended += c.ByKind[auditevent.Served-1] + c.ByKind[auditevent.Rejected-1] + c.ByKind[auditevent.Failed-1]
		}
	}
	return ended, served
}
