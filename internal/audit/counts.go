package audit

import "damsonscale/internal/auditevent"

// maxCounts bounds the versions that are counted apart. Past it the older half is merged by settings.
const maxCounts = 128

// VersionCounts is how many events of each kind were recorded under a version.
type VersionCounts struct {
	_       struct{}                     `cbor:",toarray"`
	Version auditevent.ConfigVersion     `json:"Version"`
	ByKind  [auditevent.KindCount]uint64 `json:"Of"`     // by kind less 1
	Merged  bool                         `json:"Merged"` // of several endpoint lists and builds, under one version of the settings
}

// of returns the count of a kind.
func (c *VersionCounts) of(k auditevent.Kind) uint64 { return c.ByKind[k-1] }

// counts reports whether events of a version are counted here.
func (c *VersionCounts) counts(v auditevent.ConfigVersion) bool {
	return c.Version == v || c.Merged && c.Version.Settings == v.Settings && c.Version.Digest == v.Digest
}

// counter counts the events of one incarnation. Its owner serializes calls.
type counter struct {
	all     []VersionCounts
	indexOf []int // in all, by version id; uncounted: none yet
}

// uncounted is the index of a version that has no count yet.
const uncounted = -1

// reset begins the counts of another incarnation.
func (c *counter) reset() {
	c.all = nil
	c.forgetIndexes()
}

func (c *counter) forgetIndexes() {
	for id := range c.indexOf {
		c.indexOf[id] = uncounted
	}
}

// register makes room for a version's index.
func (c *counter) register() { c.indexOf = append(c.indexOf, uncounted) }

// add counts an event of a registered version.
func (c *counter) add(k auditevent.Kind, id auditevent.ConfigVersionID, v *auditevent.ConfigVersion) {
	if c.indexOf[id] == uncounted {
		c.indexOf[id] = c.assign(*v)
	}
	c.all[c.indexOf[id]].ByKind[k-1]++
}

// assign returns the index of the count for a version, a new one if no other counts it.
func (c *counter) assign(v auditevent.ConfigVersion) int {
	if at := c.find(v); at != uncounted {
		return at
	}
	if len(c.all) >= maxCounts {
		c.mergeOldest()
	}
	c.all = append(c.all, VersionCounts{Version: v})
	return len(c.all) - 1
}

// find returns the index of the last count that counts a version.
func (c *counter) find(v auditevent.ConfigVersion) int {
	for i := len(c.all) - 1; i >= 0; i-- {
		if c.all[i].counts(v) {
			return i
		}
	}
	return uncounted
}

// mergeOldest merges the older half by settings.
func (c *counter) mergeOldest() {
	var merged []VersionCounts
	for i, one := range c.all {
		if i < maxCounts/2 {
			one.Merged = true
			one.Version = auditevent.ConfigVersion{Settings: one.Version.Settings, Digest: one.Version.Digest, ListSeq: -1}
		}
		at := uncounted
		for j := range merged {
			if one.Merged && merged[j].Merged && merged[j].Version == one.Version {
				at = j
			}
		}
		if at == uncounted {
			merged = append(merged, one)
			continue
		}
		for k := range one.ByKind {
			merged[at].ByKind[k] += one.ByKind[k]
		}
	}
	if len(merged) >= maxCounts { // each of other settings: the oldest is dropped, and the counts no longer add up
		merged = merged[1:]
	}
	c.all = merged
	c.forgetIndexes()
}
