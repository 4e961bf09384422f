package options

import (
	"maps"
	"net"
	"slices"
)

// checkFleet checks the table [fleet] for the named member, or for an operator if name is empty.
func (r *valueReader) checkFleet(f *Fleet, name string) {
	if f.Address == "" {
		if len(f.Members) > 0 {
			r.fail("fleet.members", "requires fleet.address")
		}
		return
	}
	names, addresses, selfListed := map[string]bool{}, map[string]string{}, false
	for _, m := range f.Members {
		switch _, port, err := net.SplitHostPort(m.Address); {
		case m.Name == "":
			r.fail("fleet.members", "a member without a name")
		case names[m.Name]:
			r.fail("fleet.members", "name %q is listed twice", m.Name)
		case err != nil || port == "" || port == "0":
			r.fail("fleet.members", "%q: address %q is not an address:port", m.Name, m.Address)
		case addresses[m.Address] != "":
			r.fail("fleet.members", "%q and %q have the same address", addresses[m.Address], m.Name)
		}
		names[m.Name], addresses[m.Address] = true, m.Name
		selfListed = selfListed || m.Name == name
	}
	switch _, _, err := net.SplitHostPort(f.Address); {
	case err != nil:
		r.fail("fleet.address", "%q is not an address:port", f.Address)
	case len(f.Members) > maxMembers:
		r.fail("fleet.members", "%d members, want at most %d", len(f.Members), maxMembers)
	case name != "" && !selfListed: // operators have no name
		r.fail("fleet.members", "this sidecar's name, %q, is not listed", name)
	case f.StateDir == "":
		r.fail("fleet.state_dir", "required in a fleet")
	}
}

// checkTakeover checks the table [takeover], also against the table [fleet].
func (r *valueReader) checkTakeover(o *Options) {
	t := &o.Takeover
	if t.Enabled && o.Fleet.Address == "" {
		r.fail("takeover.enabled", "requires fleet.address")
	}
	if t.Replicas%2 == 0 {
		r.fail("takeover.holders", "%d is even: expected an odd number, since the quorum of an even number is no smaller than that of the next odd number", t.Replicas)
	}
	if n := len(o.Fleet.Members); t.Enabled && n > 0 && t.Replicas > n {
		r.fail("takeover.holders", "%d holders, but the fleet has %d members", t.Replicas, n)
	}
	for _, c := range slices.Sorted(maps.Keys(t.PolicyByClass)) {
		if v := t.PolicyByClass[c]; v != NoReplication && v != BestEffortReplication && v != StrictReplication {
			r.fail("takeover.custody."+c, "unknown policy %q, expected none, best_effort or strict", string(v))
		}
	}
}

// checkAudit checks the table [audit] against the table [takeover].
func (r *valueReader) checkAudit(o *Options) {
	if o.Audit.Enabled && !o.Takeover.Enabled {
		r.fail("audit.enabled", "requires takeover.enabled: other members take over the requests in flight of an excluded member")
	}
}
