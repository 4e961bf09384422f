package cells

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Relay holds one region's part of the directory, and tells its cells. What it tells has the directory's digest.
type Relay struct {
	region  string
	version Version
	global  Global
	parts   map[ID]held
	staged  map[ID]held // while pages come
	until   Version     // of the pages that have come
	filling bool        // all there is, in pages
	whole   bool        // the digest did not fit: all there is, please
	plant   Plant
}

// held is a part with its sum.
type held struct {
	*Part
	sum uint64
}

// NewRelay makes one that knows nothing.
func NewRelay(region string, p Plant) *Relay {
	return &Relay{region: region, parts: map[ID]held{}, plant: p}
}

// Clone copies it.
func (r *Relay) Clone() *Relay {
	c := *r
	c.parts, c.staged = maps.Clone(r.parts), maps.Clone(r.staged)
	return &c
}

// Pull is a relay's ask.
type Pull struct {
	_           struct{} `cbor:",toarray"`
	Region      string
	Since, From Version
	Whole       bool
}

// Version is what its cells are told.
func (r *Relay) Version() Version { return r.version }

// Pull is what to ask the directory for next.
func (r *Relay) Pull() Pull {
	p := Pull{Region: r.region, Since: r.version, Whole: r.whole || r.filling}
	switch {
	case r.staged != nil && r.filling:
		p.From = r.until
	case r.staged != nil:
		p.Since = r.until
	}
	return p
}

// Take takes an answer to the last Pull, and tells whether more is wanted at once.
func (r *Relay) Take(d Delta) bool {
	expected := r.version
	if r.staged != nil && !r.filling {
		expected = r.until
	}
	if d.Region != r.region || !d.Whole && d.Since != expected || r.version.Newer(d.To) && !d.More && r.plant != OlderTaken {
		return false // of another pull, or of a directory that is behind
	}
	if r.staged == nil || d.Whole != r.filling {
		r.staged, r.filling = maps.Clone(r.parts), d.Whole
		if d.Whole {
			r.staged = map[ID]held{}
		}
	}
	for _, p := range d.Parts {
		r.staged[p.ID] = held{p, sum(p)}
	}
	if d.More {
		r.until = d.To
		return true
	}
	for _, id := range d.Drops {
		delete(r.staged, id)
	}
	parts := r.staged
	r.staged, r.filling, r.until = nil, false, Version{}
	if digest(parts) != d.Digest && r.plant != DigestUnread {
		r.whole = true // anti-entropy. Guards against a part that was missed, and would be for good
		return true
	}
	r.parts, r.version, r.global, r.whole = parts, d.To, d.Global, false
	return false
}

func digest(parts map[ID]held) (out uint64) {
	for _, p := range parts {
		out ^= p.sum
	}
	return out
}

// Tell is the directory's word to a cell that has heard it up to a version; nil: nothing new. whole: with its part in any case,
// since what it has does not fit the sum it was told.
func (r *Relay) Tell(id ID, has Version, whole bool) *Told {
	p, ok := r.parts[id]
	if !ok || !whole && !p.Changed.Newer(has) && !r.global.Changed.Newer(has) {
		return nil // most commands change other cells
	}
	t := &Told{Version: r.version, Global: r.global, Sum: p.sum}
	if whole || p.Changed.Newer(has) {
		t.Part = p.Part
	}
	return t
}

// Find finds the cell of a name in this region, the old one while it moves: that one knows whether it has left.
func (r *Relay) Find(name string) ID {
	found, least := ID(0), uint64(0)
	for _, id := range slices.Sorted(maps.Keys(r.parts)) {
		if s := r.parts[id].Seat(name); s != nil && (found == 0 || s.Move < least) {
			found, least = id, s.Move
		}
	}
	return found
}

// Assigned finds the cell of a name in this region, the new one while it moves: where a process that starts asks.
func (r *Relay) Assigned(name string) ID {
	found, most := ID(0), uint64(0)
	for _, id := range slices.Sorted(maps.Keys(r.parts)) {
		if s := r.parts[id].Seat(name); s != nil && s.Move > most {
			found, most = id, s.Move
		}
	}
	return found
}

// Bytes is the length of all that it holds, encoded.
func (r *Relay) Bytes() (n int) {
	for _, p := range r.parts {
		n += len(Encode(p.Part)) + 8
	}
	return n
}

// Admission bounds the calls that are served in a second: the rest is told to come again.
type Admission struct {
	Rate  int64 // calls a second
	Burst int64
	at    int64 // µs, until which calls are spoken for
}

// Admit tells whether a call is served now.
func (a *Admission) Admit(now int64) bool {
	each := 1_000_000 / a.Rate
	a.at = max(a.at, now-a.Burst*each)
	if a.at+each > now+each {
		return false
	}
	a.at += each
	return true
}

// Pace is how long a caller waits before its next attempt, from 1: twice as long each time, up to most, and of that a part
// by its name, so that those that lost the same peer in the same moment do not return in the same one.
func Pace(name string, attempt int, first, most int64) int64 {
	span := most
	if attempt < 32 && first<<(attempt-1) < most {
		span = first << (attempt - 1)
	}
	var d xxhash.Digest
	d.Reset()
	d.WriteString(name)
	d.Write([]byte{byte(attempt)})
	return span/2 + int64(d.Sum64()%uint64(span/2+1))
}
