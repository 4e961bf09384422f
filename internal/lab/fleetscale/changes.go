package fleetscale

import (
	"context"
	"fmt"
	"time"

	"damsonscale/internal/fleet"
	"damsonscale/internal/rollout"
)

// rolloutChanges gives a fleet versions of the settings, as an operator does; the next is given once the one before was agreed.
func (r *run) rolloutChanges(ctx context.Context, at int) {
	f := &r.layout.fleets[at]
	names := make([]string, 0, len(f.members))
	for _, i := range f.members {
		names = append(names, r.layout.members[i].name)
	}
	turn := 0
	atRate(ctx, r.conf.SettingsPerSecond, func(k int) {
		o := &rollout.Command{
			Kind: rollout.RollOut, ID: uint64(at)<<32 | uint64(k+1), Author: "scale", Reason: "a change", SharePermille: rollout.FullSharePermille, GraceMs: 60_000,
			Settings: []byte(fmt.Sprintf(`{"settings": %s}`, settings(len(r.layout.members), k+1))),
		}
		from := time.Now()
		for end := from; ctx.Err() == nil || time.Since(end) < commandTimeout; { // guards against numbers that are off by one which was agreed unheard
			if ctx.Err() == nil {
				end = time.Now()
			}
			addr := r.layout.members[f.members[turn%votersOf(len(f.members))]].address
			call, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			reply, err := fleet.SendAdminRequest(call, addr, names, fleet.AdminRequest{Kind: fleet.RequestRolloutCommand, RolloutCommand: o})
			cancel()
			if err == nil && (reply.Err == "" || reply.Err == rollout.ErrAlreadyApplied.Error()) {
				r.mu.Lock()
				r.versionsMade[at] = append(r.versionsMade[at], versionTime{int64(len(r.versionsMade[at]) + 1), from})
				r.mu.Unlock()
				return
			}
			turn++
			time.Sleep(commandRetryPause)
		}
		r.mu.Lock()
		r.rejectedVersions++
		r.mu.Unlock()
	})
}

// atRate calls f at a rate, counting from 0, until ctx ends. Turns that come too late are left out.
func atRate(ctx context.Context, rate float64, f func(k int)) {
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

// settingsInForce tells of versions of the settings, over all fleets.
func (r *run) settingsInForce(seconds float64) (f PropagationTimes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observations.mu.Lock()
	defer r.observations.mu.Unlock()
	var all []float64
	for at := range r.layout.fleets {
		var names []string
		for _, i := range r.layout.fleets[at].members {
			if name := r.layout.members[i].name; name != r.killedMember {
				names = append(names, name)
			}
		}
		ms, one := compareInForce(r.versionsMade[at], names, r.observations.adopted)
		all = append(all, ms...)
		f.Changes, f.Expected, f.Missing = f.Changes+len(r.versionsMade[at]), f.Expected+one.Expected, f.Missing+one.Missing
		if one.WorstMember != "" {
			f.WorstMember = one.WorstMember
		}
	}
	f.Rejected, f.PerSecond = r.rejectedVersions, float64(f.Changes)/seconds/float64(len(r.layout.fleets))
	f.setQuantiles(all)
	return f
}

// listsInForce tells of changes of the list, at hollow members: a real one does not say which list it goes by.
func (r *run) listsInForce(seconds float64) (f PropagationTimes) {
	var made []versionTime
	for seq, at := range r.list.changes() {
		made = append(made, versionTime{seq, at})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for _, m := range r.layout.members {
		if !m.real && m.name != r.killedMember {
			names = append(names, m.name)
		}
	}
	r.observations.mu.Lock()
	ms, f := compareInForce(made, names, r.observations.listed)
	r.observations.mu.Unlock()
	f.Changes, f.PerSecond = len(made), float64(len(made))/seconds
	f.setQuantiles(ms)
	return f
}
