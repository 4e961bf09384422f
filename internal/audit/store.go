package audit

import (
	"errors"

	"damsonscale/internal/takeover"
)

// ErrConflict says that the store has another segment with the same member and index.
var ErrConflict = errors.New("another segment of this index is stored")

// SegmentStore stores segments of this member and of others in memory, up to a number of bytes. It is not safe for concurrent use.
type SegmentStore struct {
	codec        *Codec
	fleet        uint64
	maxBytes     int
	bytes        int
	segments     map[takeover.Member]map[uint64]*SealedSegment // by index
	latest       map[takeover.Member]uint64                    // index
	arrivalOrder []segmentKey                                  // of arrival
}

// segmentKey identifies a segment.
type segmentKey struct {
	member takeover.Member
	index  uint64
}

// NewSegmentStore returns a store for segments of one fleet.
func NewSegmentStore(codec *Codec, fleet uint64, maxBytes int) *SegmentStore {
	return &SegmentStore{
		codec: codec, fleet: fleet, maxBytes: maxBytes, segments: map[takeover.Member]map[uint64]*SealedSegment{}, latest: map[takeover.Member]uint64{},
	}
}

// Put stores a segment, and returns it opened. A segment that is stored already changes nothing. Its error is ErrConflict or one of Codec.Open.
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

// evict removes the oldest segments while the store is over its bytes. The latest segment of each incarnation, which has its counts, is
// removed only once there are no others. The segment that was put last stays.
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

// oldestEvictable returns the place in order of the oldestEvictable segment that may be removed; -1: there is none.
func (s *SegmentStore) oldestEvictable(includeLatest bool) int {
	for i, key := range s.arrivalOrder[:len(s.arrivalOrder)-1] {
		if includeLatest || s.latest[key.member] != key.index {
			return i
		}
	}
	return -1
}

// remove removes the segment at a place in order.
func (s *SegmentStore) remove(index int) {
	key := s.arrivalOrder[index]
	s.arrivalOrder = append(s.arrivalOrder[:index], s.arrivalOrder[index+1:]...)
	s.bytes -= len(s.segments[key.member][key.index].Encoded)
	if delete(s.segments[key.member], key.index); len(s.segments[key.member]) == 0 {
		delete(s.segments, key.member)
		delete(s.latest, key.member)
	}
}

// Segments returns the stored segments of a member's name, or of all members if it is empty, in order of arrival.
func (s *SegmentStore) Segments(name string) (segments []SealedSegment) {
	for _, key := range s.arrivalOrder {
		if name == "" || key.member.Name == name {
			segments = append(segments, *s.segments[key.member][key.index])
		}
	}
	return segments
}

// Bytes returns how many bytes of encoded segments are stored.
func (s *SegmentStore) Bytes() int { return s.bytes }
