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
	global  GlobalState
	parts   map[ID]held
	staged  map[ID]held // while pages come
	until   Version     // of the pages that have come
	filling bool        // all there is, in pages
	whole   bool        // the digest did not fit: all there is, please
	plant   InjectedFault
}

// held is a part with its sum.
type held struct {
	*CellRecord
	sum uint64
}

// NewRelay makes one that knows nothing.
func NewRelay(region string, p InjectedFault) *Relay {
	return &Relay{region: region, parts: map[ID]held{}, plant: p}
}

// Clone copies it.
func (r *Relay) Clone() *Relay {
	c := *r
	c.parts, c.staged = maps.Clone(r.parts), maps.Clone(r.staged)
	return &c
}

// DeltaRequest is a relay's ask.
type DeltaRequest struct {
	_           struct{} `cbor:",toarray"`
	Region      string
	Since, From Version
	Complete    bool
}

// Version is what its cells are told.
func (r *Relay) Version() Version { return r.version }

// NextRequest is what to ask the directory for next.
func (r *Relay) NextRequest() DeltaRequest {
	p := DeltaRequest{Region: r.region, Since: r.version, Complete: r.whole || r.filling}
	switch {
	case r.staged != nil && r.filling:
		p.From = r.until
	case r.staged != nil:
		p.Since = r.until
	}
	return p
}

// ApplyDelta takes an answer to the last Pull, and tells whether more is wanted at once.
func (r *Relay) ApplyDelta(d Delta) bool {
	expected := r.version
	if r.staged != nil && !r.filling {
		expected = r.until
	}
	if d.Region != r.region || !d.Complete && d.Since != expected || r.version.Newer(d.To) && !d.More && r.plant != StaleUpdateAccepted {
		return false // of another pull, or of a directory that is behind
	}
	if r.staged == nil || d.Complete != r.filling {
		r.staged, r.filling = maps.Clone(r.parts), d.Complete
		if d.Complete {
			r.staged = map[ID]held{}
		}
	}
	for _, p := range d.Records {
		r.staged[p.ID] = held{p, sum(p)}
	}
	if d.More {
		r.until = d.To
		return true
	}
	for _, id := range d.Tombstones {
		delete(r.staged, id)
	}
	parts := r.staged
	r.staged, r.filling, r.until = nil, false, Version{}
	if digest(parts) != d.Digest && r.plant != DigestIgnored {
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

// UpdateFor is the directory's word to a cell that has heard it up to a version; nil: nothing new. whole: with its part in any case,
// since what it has does not fit the sum it was told.
func (r *Relay) UpdateFor(id ID, has Version, whole bool) *DirectoryUpdate {
	p, ok := r.parts[id]
	if !ok || !whole && !p.ChangedAt.Newer(has) && !r.global.ChangedAt.Newer(has) {
		return nil // most commands change other cells
	}
	t := &DirectoryUpdate{Version: r.version, Global: r.global, RecordSum: p.sum}
	if whole || p.ChangedAt.Newer(has) {
		t.Record = p.CellRecord
	}
	return t
}

// CurrentCell finds the cell of a name in this region, the old one while it moves: that one knows whether it has left.
func (r *Relay) CurrentCell(name string) ID {
	found, least := ID(0), uint64(0)
	for _, id := range slices.Sorted(maps.Keys(r.parts)) {
		if s := r.parts[id].Slot(name); s != nil && (found == 0 || s.MoveIndex < least) {
			found, least = id, s.MoveIndex
		}
	}
	return found
}

// AssignedCell finds the cell of a name in this region, the new one while it moves: where a process that starts asks.
func (r *Relay) AssignedCell(name string) ID {
	found, most := ID(0), uint64(0)
	for _, id := range slices.Sorted(maps.Keys(r.parts)) {
		if s := r.parts[id].Slot(name); s != nil && s.MoveIndex > most {
			found, most = id, s.MoveIndex
		}
	}
	return found
}

// EncodedBytes is the length of all that it holds, encoded.
func (r *Relay) EncodedBytes() (n int) {
	for _, p := range r.parts {
		n += len(Encode(p.CellRecord)) + 8
	}
	return n
}

// RateLimiter bounds the calls that are served in a second: the rest is told to come again.
type RateLimiter struct {
	PerSecond int64 // calls a second
	Burst     int64
	at        int64 // µs, until which calls are spoken for
}

// Allow tells whether a call is served now.
func (a *RateLimiter) Allow(now int64) bool {
	each := 1_000_000 / a.PerSecond
	a.at = max(a.at, now-a.Burst*each)
	if a.at+each > now+each {
		return false
	}
	a.at += each
	return true
}

// Backoff is how long a caller waits before its next attempt, from 1: twice as long each time, up to most, and of that a part
// by its name, so that those that lost the same peer in the same moment do not return in the same one.
func Backoff(name string, attempt int, first, most int64) int64 {
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
