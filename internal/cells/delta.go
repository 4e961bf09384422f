package cells

import (
	"cmp"
	"slices"
)

// DeltaRequest is a relay's request for what has changed. It is sent: order and types of its fields stay.
type DeltaRequest struct {
	_           struct{} `cbor:",toarray"`
	Region      string
	Since, From Version // From: with Complete, the version up to which pages were received
	Complete    bool    // all records, whatever has changed
}

// Delta is what has changed in a region since a version, or all its records, in pages. It is sent: order and types of its fields stay.
type Delta struct {
	_          struct{} `cbor:",toarray"`
	Region     string
	Since      Version
	To         Version
	Complete   bool // all records: cells that are not among them are no more
	More       bool // further pages follow; Global, Tombstones and Digest are in the last
	Global     GlobalState
	Records    []*CellRecord
	Tombstones []ID
	Digest     uint64 // of all records of the region, as of To
}

// Delta returns what has changed in a region since a version, in a page of at most maxBytes, or more where one command changed more. It is complete
// if asked for, or if tombstones since then were dropped; then from is the version up to which pages were received. If the asker is ahead of
// this directory the delta is empty: complete ones would reach all relays after each change of the leader, and be rejected.
func (d *Directory) Delta(region string, since, from Version, complete bool, maxBytes int) Delta {
	delta := Delta{Region: region, Since: since, To: d.version, Complete: complete || d.tombstonesSince.Newer(since)}
	if !delta.Complete {
		from = since
	}
	var changed []*CellRecord
	for id, p := range d.records {
		if p.Region != region {
			continue
		}
		if delta.Digest ^= d.recordSums[id]; p.ChangedAt.Newer(from) {
			changed = append(changed, p)
		}
	}
	slices.SortFunc(changed, func(a, b *CellRecord) int { return cmp.Or(a.ChangedAt.Compare(b.ChangedAt), cmp.Compare(a.ID, b.ID)) })
	size := 0
	for i, p := range changed {
		size += len(Encode(p))
		if i > 0 && size > maxBytes && p.ChangedAt != changed[i-1].ChangedAt {
			delta.To, delta.More, delta.Digest = changed[i-1].ChangedAt, true, 0
			return delta
		}
		delta.Records = append(delta.Records, p)
	}
	delta.Global = d.global
	for _, t := range d.tombstones {
		if t.region == region && t.at.Newer(since) {
			delta.Tombstones = append(delta.Tombstones, t.id)
		}
	}
	return delta
}
