package cells

import (
	"maps"
	"slices"
)

// Relay caches the directory's records of one region and passes updates on to the cells of the region. It passes on only records that match the
// directory's digest.
type Relay struct {
	region          string
	version         Version
	global          GlobalState
	records         map[ID]summedRecord
	staged          map[ID]summedRecord // records after the pages received so far of an incomplete delta; nil if there is none
	stagedTo        Version             // version up to which pages have been received
	stagingComplete bool                // the staged pages belong to a complete delta
	wantComplete    bool                // request a complete delta, since the last digest did not match
	fault           InjectedFault
}

// summedRecord is a record with its checksum.
type summedRecord struct {
	*CellRecord
	sum uint64
}

// NewRelay returns a relay without records.
func NewRelay(region string, f InjectedFault) *Relay {
	return &Relay{region: region, records: map[ID]summedRecord{}, fault: f}
}

// Clone returns a copy. Records are shared, since they are immutable.
func (r *Relay) Clone() *Relay {
	c := *r
	c.records, c.staged = maps.Clone(r.records), maps.Clone(r.staged)
	return &c
}

// Version returns the version of the directory that the relay passes on.
func (r *Relay) Version() Version { return r.version }

// NextRequest returns the next request to the directory.
func (r *Relay) NextRequest() DeltaRequest {
	request := DeltaRequest{Region: r.region, Since: r.version, Complete: r.wantComplete || r.stagingComplete}
	switch {
	case r.staged != nil && r.stagingComplete:
		request.From = r.stagedTo
	case r.staged != nil:
		request.Since = r.stagedTo
	}
	return request
}

// ApplyDelta applies the answer to the last request and reports whether to send the next request at once. It ignores a delta that answers another
// request or comes from a directory that is behind this relay.
func (r *Relay) ApplyDelta(d Delta) (again bool) {
	if !r.expects(&d) {
		return false
	}
	if r.staged == nil || d.Complete != r.stagingComplete {
		r.staged, r.stagingComplete = maps.Clone(r.records), d.Complete
		if d.Complete {
			r.staged = map[ID]summedRecord{}
		}
	}
	for _, p := range d.Records {
		r.staged[p.ID] = summedRecord{p, checksumOf(p)}
	}
	if d.More {
		r.stagedTo = d.To
		return true
	}
	for _, id := range d.Tombstones {
		delete(r.staged, id)
	}
	records := r.staged
	r.staged, r.stagingComplete, r.stagedTo = nil, false, Version{}
	if digestOf(records) != d.Digest && r.fault != DigestIgnored {
		r.wantComplete = true // a record is missing or outdated, and later deltas would not correct that record
		return true
	}
	r.records, r.version, r.global, r.wantComplete = records, d.To, d.Global, false
	return false
}

// expects reports whether a delta answers the last request and, if the delta is the last page, is not older than this relay's version.
func (r *Relay) expects(d *Delta) bool {
	since := r.version
	if r.staged != nil && !r.stagingComplete {
		since = r.stagedTo
	}
	switch {
	case d.Region != r.region || !d.Complete && d.Since != since:
		return false
	case r.version.Newer(d.To) && !d.More:
		return r.fault == StaleUpdateAccepted // the directory is behind this relay
	}
	return true
}

// digestOf returns the XOR of the checksums of records.
func digestOf(records map[ID]summedRecord) (digest uint64) {
	for _, p := range records {
		digest ^= p.sum
	}
	return digest
}

// UpdateFor returns the update for a cell that has applied the directory's state up to a version, or nil if nothing has changed for the cell.
// withRecord includes the record even if it has not changed: the cell sets it when its record does not match the checksum of an update.
func (r *Relay) UpdateFor(id ID, has Version, withRecord bool) *DirectoryUpdate {
	p, ok := r.records[id]
	if !ok || !withRecord && !p.ChangedAt.Newer(has) && !r.global.ChangedAt.Newer(has) {
		return nil
	}
	u := &DirectoryUpdate{Version: r.version, Global: r.global, RecordSum: p.sum}
	if withRecord || p.ChangedAt.Newer(has) {
		u.Record = p.CellRecord
	}
	return u
}

// CurrentCell returns the cell of a member in this region, or 0 if there is none. During a move it returns the former cell, whose log determines
// whether the member has left.
func (r *Relay) CurrentCell(name string) ID {
	found, oldest := ID(0), uint64(0)
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		if s := r.records[id].Slot(name); s != nil && (found == 0 || s.MoveIndex < oldest) {
			found, oldest = id, s.MoveIndex
		}
	}
	return found
}

// AssignedCell returns the cell that a starting process of a member joins, or 0 if the region has none. During a move it returns the new cell.
func (r *Relay) AssignedCell(name string) ID {
	found, newest := ID(0), uint64(0)
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		if s := r.records[id].Slot(name); s != nil && s.MoveIndex > newest {
			found, newest = id, s.MoveIndex
		}
	}
	return found
}

// EncodedBytes returns the approximate size of the encoded records with their checksums, in bytes.
func (r *Relay) EncodedBytes() (n int) {
	for _, p := range r.records {
		n += len(Encode(p.CellRecord)) + 8
	}
	return n
}
