package takeover

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Replicas lists the n names that store an id's record, by rendezvous hashing: the rank of a name depends on the name and
// the id alone, so that a change of other names moves few records.
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
