package audit

import "damsonscale/internal/auditevent"

// maxCounts is the number of versions that are counted separately. Above it, the counts of the older half are merged by settings.
const maxCounts = 128

// VersionCounts holds the number of events of each kind that were recorded under a version.
type VersionCounts struct {
	_       struct{}                     `cbor:",toarray"`
	Version auditevent.ConfigVersion     `json:"Version"`
	ByKind  [auditevent.KindCount]uint64 `json:"Of"`     // index: kind - 1
	Merged  bool                         `json:"Merged"` // sums the counts of several endpoint lists and builds under one version of the settings
}

// countOf returns the number of events of a kind.
func (c *VersionCounts) countOf(k auditevent.Kind) uint64 { return c.ByKind[k-1] }

// covers reports whether the events of a version are counted in c.
func (c *VersionCounts) covers(v auditevent.ConfigVersion) bool {
	return c.Version == v || c.Merged && c.Version.Settings == v.Settings && c.Version.Digest == v.Digest
}

// eventCounter counts the events of one incarnation. It is not safe for concurrent use.
type eventCounter struct {
	counts    []VersionCounts
	indexByID []int // index in counts by version id, or uncounted
}

// uncounted is the index of a version that has no counts yet.
const uncounted = -1

// reset clears the counts for a new incarnation. Registered versions stay registered.
func (c *eventCounter) reset() {
	c.counts = nil
	c.forgetIndexes()
}

// forgetIndexes marks all registered versions as uncounted.
func (c *eventCounter) forgetIndexes() {
	for id := range c.indexByID {
		c.indexByID[id] = uncounted
	}
}

// registerVersion registers the version with the next id.
func (c *eventCounter) registerVersion() { c.indexByID = append(c.indexByID, uncounted) }

// add counts an event of a registered version.
func (c *eventCounter) add(k auditevent.Kind, id auditevent.ConfigVersionID, v *auditevent.ConfigVersion) {
	if c.indexByID[id] == uncounted {
		c.indexByID[id] = c.indexFor(*v)
	}
	c.counts[c.indexByID[id]].ByKind[k-1]++
}

// indexFor returns the index of the counts that cover a version, and adds an entry if there is none.
func (c *eventCounter) indexFor(v auditevent.ConfigVersion) int {
	if index := c.find(v); index != uncounted {
		return index
	}
	if len(c.counts) >= maxCounts {
		c.mergeOldest()
	}
	c.counts = append(c.counts, VersionCounts{Version: v})
	return len(c.counts) - 1
}

// find returns the index of the latest entry that covers a version, or uncounted.
func (c *eventCounter) find(v auditevent.ConfigVersion) int {
	for i := len(c.counts) - 1; i >= 0; i-- {
		if c.counts[i].covers(v) {
			return i
		}
	}
	return uncounted
}

// mergeOldest merges the counts of the older half of the versions by settings.
func (c *eventCounter) mergeOldest() {
	var merged []VersionCounts
	for i, entry := range c.counts {
		if i < maxCounts/2 {
			entry.Merged = true
			entry.Version = auditevent.ConfigVersion{Settings: entry.Version.Settings, Digest: entry.Version.Digest, ListSeq: -1}
		}
		index := uncounted
		for j := range merged {
			if entry.Merged && merged[j].Merged && merged[j].Version == entry.Version {
				index = j
			}
		}
		if index == uncounted {
			merged = append(merged, entry)
			continue
		}
		for k := range entry.ByKind {
			merged[index].ByKind[k] += entry.ByKind[k]
		}
	}
	if len(merged) >= maxCounts { // no two entries have the same settings: the oldest is dropped, and the sum of counts falls below the number of events
		merged = merged[1:]
	}
	c.counts = merged
	c.forgetIndexes()
}
