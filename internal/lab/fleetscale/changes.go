package fleetscale

import (
	"context"
	"fmt"
	"time"

	"damsonscale/internal/fleet"
	"damsonscale/internal/rollout"
)

// rollOutVersions rolls versions of the settings out to a fleet, as an operator does, one after the other.
func (r *run) rollOutVersions(ctx context.Context, at int) {
	f := &r.layout.fleets[at]
	names := make([]string, 0, len(f.members))
	for _, i := range f.members {
		names = append(names, r.layout.members[i].name)
	}
	turn := 0
	every(ctx, r.conf.Changes, func(k int) {
		o := &rollout.Command{
			Kind: rollout.RollOut, ID: uint64(at)<<32 | uint64(k+1), Author: "scale", Reason: "a change", Share: rollout.FullShare, GraceMs: 60_000,
			Settings: []byte(fmt.Sprintf(`{"settings": %s}`, settings(len(r.layout.members), k+1))),
		}
		from := time.Now()
		for end := from; ctx.Err() == nil || time.Since(end) < versionTimeout; { // also after ctx ends: a version may be agreed without an answer
			if ctx.Err() == nil {
				end = time.Now()
			}
			addr := r.layout.members[f.members[turn%votersOf(len(f.members))]].address
			call, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			reply, err := fleet.Call(call, addr, names, fleet.AdminRequest{Command: fleet.CommandOrder, Order: o})
			cancel()
			if err == nil && (reply.Err == "" || reply.Err == rollout.ErrAlreadyApplied.Error()) {
				r.mu.Lock()
				r.agreedVersions[at] = append(r.agreedVersions[at], appliedNumber{int64(len(r.agreedVersions[at]) + 1), from})
				r.mu.Unlock()
				return
			}
			turn++
			time.Sleep(versionRetryInterval)
		}
		r.mu.Lock()
		r.rejectedVersions++
		r.mu.Unlock()
	})
}

// every calls f at a rate, counting from 0, until ctx ends. Turns that come too late are left out.
func every(ctx context.Context, rate float64, f func(k int)) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for k := 0; ; k++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if ctx.Err() == nil {
				f(k)
			}
		}
	}
}

// versionFigures returns when versions of the settings were in force, over all fleets.
func (r *run) versionFigures(seconds float64) (f InForce) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed.mu.Lock()
	defer r.observed.mu.Unlock()
	var all []float64
	for at := range r.layout.fleets {
		var names []string
		for _, i := range r.layout.fleets[at].members {
			if name := r.layout.members[i].name; name != r.killedMember {
				names = append(names, name)
			}
		}
		ms, one := inForce(r.agreedVersions[at], names, r.observed.adopted)
		all = append(all, ms...)
		f.Changes, f.Expected, f.Missing = f.Changes+len(r.agreedVersions[at]), f.Expected+one.Expected, f.Missing+one.Missing
		if one.WorstMember != "" {
			f.WorstMember = one.WorstMember
		}
	}
	f.Refused, f.PerSecond = r.rejectedVersions, float64(f.Changes)/seconds/float64(len(r.layout.fleets))
	f.ranks(all)
	return f
}

// listChangeFigures returns when changes of the list were in force, at hollow members: a real one does not say which list it has.
func (r *run) listChangeFigures(seconds float64) (f InForce) {
	var made []appliedNumber
	for seq, at := range r.list.changes() {
		made = append(made, appliedNumber{seq, at})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for _, m := range r.layout.members {
		if !m.real && m.name != r.killedMember {
			names = append(names, m.name)
		}
	}
	r.observed.mu.Lock()
	ms, f := inForce(made, names, r.observed.listed)
	r.observed.mu.Unlock()
	f.Changes, f.PerSecond = len(made), float64(len(made))/seconds
	f.ranks(ms)
	return f
}
