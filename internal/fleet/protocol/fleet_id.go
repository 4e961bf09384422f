package protocol

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// FleetID returns the identifier of a fleet: a hash of the configured members' names, whatever their order.
func FleetID(memberNames []string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, name := range slices.Sorted(slices.Values(memberNames)) {
		d.WriteString(name)
		d.WriteString("\x00")
	}
	return d.Sum64()
}
