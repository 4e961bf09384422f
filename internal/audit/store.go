package audit

import (
	"errors"

	"damsonscale/internal/takeover"
)

// ErrConflict means that the store already has a different segment with the same member and index.
var ErrConflict = errors.New("a different segment with this member and index is already stored")

// SegmentStore keeps segments of this member and of other members in memory, within a bound in bytes. It is not safe for concurrent use.
type SegmentStore struct {
	codec        *Codec
	fleet        uint64
	maxBytes     int
	bytes        int                                           // of all stored segments, encoded
	segments     map[takeover.Member]map[uint64]*SealedSegment // by segment index
	latest       map[takeover.Member]uint64                    // highest stored segment index
	arrivalOrder []segmentKey
}

// segmentKey identifies a segment.
type segmentKey struct {
	member takeover.Member
	index  uint64
}

// NewSegmentStore returns a store for segments of one fleet that keeps at most maxBytes of encoded segments, but always the latest one.
func NewSegmentStore(codec *Codec, fleet uint64, maxBytes int) *SegmentStore {
	return &SegmentStore{
		codec: codec, fleet: fleet, maxBytes: maxBytes, segments: map[takeover.Member]map[uint64]*SealedSegment{}, latest: map[takeover.Member]uint64{},
	}
}

// Put stores a segment and returns its decoded form. Storing the same segment again has no effect. The error is ErrConflict or an error of
// Codec.Open.
func (s *SegmentStore) Put(sealed SealedSegment) (*Segment, error) {
	seg, err := s.codec.Open(s.fleet, &sealed)
	if err != nil {
		return nil, err
	}
	chain := s.segments[seg.Member]
	if stored := chain[seg.Index]; stored != nil {
		if stored.Hash != sealed.Hash {
			return nil, ErrConflict
		}
		return seg, nil
	}
	if chain == nil {
		chain = map[uint64]*SealedSegment{}
		s.segments[seg.Member] = chain
	}
	chain[seg.Index] = &sealed
	s.latest[seg.Member] = max(s.latest[seg.Member], seg.Index)
	s.bytes += len(sealed.Encoded)
	s.arrivalOrder = append(s.arrivalOrder, segmentKey{seg.Member, seg.Index})
	s.evict()
	return seg, nil
}

// evict removes the oldest segments while the store exceeds maxBytes. The latest segment of an incarnation, which has the incarnation's
// counts, is removed only if no other segments are left. The segment that was stored last is never removed.
func (s *SegmentStore) evict() {
	for includeLatest := false; s.bytes > s.maxBytes && len(s.arrivalOrder) > 1; {
		index := s.oldestEvictable(includeLatest)
		switch {
		case index >= 0:
			s.remove(index)
		case includeLatest:
			return
		default:
			includeLatest = true
		}
	}
}

// oldestEvictable returns the index in arrivalOrder of the oldest segment that evict may remove, or -1. Latest segments of incarnations
// qualify only with includeLatest.
func (s *SegmentStore) oldestEvictable(includeLatest bool) int {
	for i, key := range s.arrivalOrder[:len(s.arrivalOrder)-1] {
		if includeLatest || s.latest[key.member] != key.index {
			return i
		}
	}
	return -1
}

// remove removes the segment at an index of arrivalOrder.
func (s *SegmentStore) remove(index int) {
	key := s.arrivalOrder[index]
	s.arrivalOrder = append(s.arrivalOrder[:index], s.arrivalOrder[index+1:]...)
	s.bytes -= len(s.segments[key.member][key.index].Encoded)
	if delete(s.segments[key.member], key.index); len(s.segments[key.member]) == 0 {
		delete(s.segments, key.member)
		delete(s.latest, key.member)
	}
}

// Segments returns the stored segments of the named member, or of all members if name is empty, in order of arrival.
func (s *SegmentStore) Segments(name string) (segments []SealedSegment) {
	for _, key := range s.arrivalOrder {
		if name == "" || key.member.Name == name {
			segments = append(segments, *s.segments[key.member][key.index])
		}
	}
	return segments
}

// Bytes returns the total size of the stored segments in bytes, encoded.
func (s *SegmentStore) Bytes() int { return s.bytes }
