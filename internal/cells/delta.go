package cells

import (
	"cmp"
	"slices"
)

// DeltaRequest is a relay's request for the changes of its region. It is sent as an array: its fields keep their order and types.
type DeltaRequest struct {
	_           struct{} `cbor:",toarray"`
	Region      string
	Since, From Version // From is the version up to which pages of a complete delta were received
	Complete    bool    // requests all records, changed or not
}

// Delta is a page of the records of a region that changed since a version, or of all its records. It is sent as an array: its fields keep
// their order and types.
type Delta struct {
	_          struct{} `cbor:",toarray"`
	Region     string
	Since      Version
	To         Version
	Complete   bool // the pages contain all records: other cells no longer exist
	More       bool // further pages follow; only the last has Global, Tombstones and Digest
	Global     GlobalState
	Records    []*CellRecord
	Tombstones []ID
	Digest     uint64 // XOR of the checksums of all records of the region at version To
}

// Delta returns the next page of the records of a region that changed since a version. A page has at most maxBytes, or more if a single command
// changed more. The delta is complete if requested, or if tombstones newer than since were dropped; from is then the version up to which the
// relay received pages. If the relay is ahead of this directory, the delta is empty: a complete delta would be sent to every relay after each
// change of the directory's leader, and every relay would reject it.
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
