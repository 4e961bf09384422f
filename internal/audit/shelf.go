package audit

import (
	"errors"

	"damsonscale/internal/takeover"
)

// SegmentStore holds segments, of others and of this member itself, up to a number of bytes. It is not safe for several goroutines.
type SegmentStore struct {
	codec  *Codec
	fleet  uint64
	most   int
	bytes  int
	chains map[takeover.Member]map[uint64]*SealedSegment
	latest map[takeover.Member]uint64
	order  []place // as they came
}

type place struct {
	of    takeover.Member
	index uint64
}

// ErrConflict tells that another segment of the same number is held.
var ErrConflict = errors.New("another segment of this number is held")

// NewSegmentStore makes one that holds at most so many bytes.
func NewSegmentStore(codec *Codec, fleet uint64, most int) *SegmentStore {
	return &SegmentStore{codec: codec, fleet: fleet, most: most, chains: map[takeover.Member]map[uint64]*SealedSegment{}, latest: map[takeover.Member]uint64{}}
}

// Put holds a segment. One that is held already changes nothing.
func (s *SegmentStore) Put(z SealedSegment) (*Segment, error) {
	seg, err := s.codec.Open(s.fleet, &z)
	if err != nil {
		return nil, err
	}
	chain := s.chains[seg.Member]
	if old := chain[seg.Index]; old != nil {
		if old.Hash != z.Hash {
			return nil, ErrConflict
		}
		return seg, nil
	}
	if chain == nil {
		chain = map[uint64]*SealedSegment{}
		s.chains[seg.Member] = chain
	}
	chain[seg.Index] = &z
	s.latest[seg.Member] = max(s.latest[seg.Member], seg.Index)
	s.bytes += len(z.Encoded)
	s.order = append(s.order, place{seg.Member, seg.Index})
	s.shed()
	return seg, nil
}

// shed gives up the longest held while there is too much. The latest of each incarnation, which has its counts, goes last.
func (s *SegmentStore) shed() {
	for last := false; s.bytes > s.most && len(s.order) > 1; {
		gone := -1
		for i, p := range s.order[:len(s.order)-1] {
			if last || s.latest[p.of] != p.index {
				gone = i
				break
			}
		}
		if gone < 0 {
			if last {
				return
			}
			last = true
			continue
		}
		p := s.order[gone]
		s.order = append(s.order[:gone], s.order[gone+1:]...)
		s.bytes -= len(s.chains[p.of][p.index].Encoded)
		if delete(s.chains[p.of], p.index); len(s.chains[p.of]) == 0 {
			delete(s.chains, p.of)
			delete(s.latest, p.of)
		}
	}
}

// Segments lists all that is held, of one name or, where that is empty, of all.
func (s *SegmentStore) Segments(name string) (out []SealedSegment) {
	for _, p := range s.order {
		if name == "" || p.of.Name == name {
			out = append(out, *s.chains[p.of][p.index])
		}
	}
	return out
}

// Bytes is how many are held.
func (s *SegmentStore) Bytes() int { return s.bytes }

// Replication is what an owner still has to send to those who hold its segments. It is not safe for several goroutines.
type Replication struct {
	most    int
	waiting []pushed
	bytes   int
	Dropped int // segments that nobody had taken when there was no more room
}

type pushed struct {
	z     SealedSegment
	index uint64
	of    takeover.Member
	to    map[string]int64 // those who have not said yes, and when it was last sent, µs
}

// NewReplication makes one that keeps at most so many bytes.
func NewReplication(most int) *Replication { return &Replication{most: most} }

// Add has a segment sent to some names.
func (p *Replication) Add(z SealedSegment, seg *Segment, to []string) {
	if len(to) == 0 {
		return
	}
	one := pushed{z: z, index: seg.Index, of: seg.Member, to: map[string]int64{}}
	for _, name := range to {
		one.to[name] = -1
	}
	p.waiting = append(p.waiting, one)
	for p.bytes += len(z.Encoded); p.bytes > p.most && len(p.waiting) > 1; p.Dropped++ {
		p.bytes -= len(p.waiting[0].z.Encoded)
		p.waiting = p.waiting[1:]
	}
}

// Due lists what is to be sent to a name now: what was never sent, and what was so long ago; at most so many bytes.
func (p *Replication) Due(now int64, name string, again int64, most int) (out []SealedSegment) {
	for i := range p.waiting {
		w := &p.waiting[i]
		sent, open := w.to[name]
		if !open || sent >= 0 && now-sent < again {
			continue
		}
		if most -= len(w.z.Encoded); most < 0 && len(out) > 0 {
			break
		}
		w.to[name] = now
		out = append(out, w.z)
	}
	return out
}

// Acknowledge notes that a name holds a segment.
func (p *Replication) Acknowledge(name string, of takeover.Member, index uint64) {
	for i := range p.waiting {
		w := &p.waiting[i]
		if w.of != of || w.index != index {
			continue
		}
		if delete(w.to, name); len(w.to) == 0 {
			p.bytes -= len(w.z.Encoded)
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
		}
		return
	}
}
