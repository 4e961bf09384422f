package protocol

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// FleetID tells fleets apart: it is a hash of the configured members' names, in any order.
func FleetID(memberNames []string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, name := range slices.Sorted(slices.Values(memberNames)) {
		d.WriteString(name)
		d.WriteString("\x00")
	}
	return d.Sum64()
}
