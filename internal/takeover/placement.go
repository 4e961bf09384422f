package takeover

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Replicas returns the names of the n members that store an id's record, by rendezvous hashing. The rank of a name depends only
// on the name and the id, so a change of the configured names moves few records.
func Replicas(names []string, id string, n int) []string {
	type ranked struct {
		name string
		rank uint64
	}
	all := make([]ranked, len(names))
	var d xxhash.Digest
	for i, name := range names {
		d.Reset()
		d.WriteString(name)
		d.WriteString("\x00")
		d.WriteString(id)
		all[i] = ranked{name, d.Sum64()}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.name, b.name))
	})
	replicas := make([]string, 0, n)
	for _, r := range all[:min(n, len(all))] {
		replicas = append(replicas, r.name)
	}
	return replicas
}
