package fleetscale

import (
	"context"
	"fmt"
	"time"

	"damsonscale/internal/fleet"
	"damsonscale/internal/rollout"
)

// rollOutVersions rolls out settings versions in a fleet, as an operator does. Each version starts after the one before was committed.
func (r *run) rollOutVersions(ctx context.Context, at int) {
	f := &r.layout.fleets[at]
	names := make([]string, 0, len(f.members))
	for _, i := range f.members {
		names = append(names, r.layout.members[i].name)
	}
	turn := 0
	callAtRate(ctx, r.conf.SettingsPerSecond, func(k int) {
		o := &rollout.Command{
			Kind: rollout.RollOut, ID: uint64(at)<<32 | uint64(k+1), Author: "scale", Reason: "a change", SharePermille: rollout.FullSharePermille, GraceMs: 60_000,
			Settings: []byte(fmt.Sprintf(`{"settings": %s}`, memberSettings(len(r.layout.members), k+1))),
		}
		from := time.Now()
		// A command in progress is retried for commandTimeout after the measurement: a version that is committed but whose reply is
		// lost would shift the numbers of the recorded versions.
		for end := from; ctx.Err() == nil || time.Since(end) < commandTimeout; {
			if ctx.Err() == nil {
				end = time.Now()
			}
			addr := r.layout.members[f.members[turn%votersOf(len(f.members))]].address
			call, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			reply, err := fleet.SendAdminRequest(call, addr, names, fleet.AdminRequest{Kind: fleet.RequestRolloutCommand, RolloutCommand: o})
			cancel()
			if err == nil && (reply.Err == "" || reply.Err == rollout.ErrAlreadyApplied.Error()) {
				r.mu.Lock()
				r.committedVersions[at] = append(r.committedVersions[at], versionTime{int64(len(r.committedVersions[at]) + 1), from})
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

// callAtRate calls f at a rate per second until ctx ends, with the number of the call from 0. Calls that are overdue are skipped.
func callAtRate(ctx context.Context, rate float64, f func(k int)) {
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

// settingsPropagation returns the propagation times of settings versions over all fleets.
func (r *run) settingsPropagation(seconds float64) (f PropagationTimes) {
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
		ms, times := propagationDelays(r.committedVersions[at], names, r.observations.appliedSettings)
		all = append(all, ms...)
		f.Changes, f.Expected, f.Missing = f.Changes+len(r.committedVersions[at]), f.Expected+times.Expected, f.Missing+times.Missing
		if times.WorstMember != "" {
			f.WorstMember = times.WorstMember
		}
	}
	f.Rejected, f.PerSecond = r.rejectedVersions, float64(f.Changes)/seconds/float64(len(r.layout.fleets))
	f.setQuantiles(all)
	return f
}

// listPropagation returns the propagation times of list changes at hollow members. A real member does not report which list it uses.
func (r *run) listPropagation(seconds float64) (f PropagationTimes) {
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
	ms, f := propagationDelays(made, names, r.observations.appliedLists)
	r.observations.mu.Unlock()
	f.Changes, f.PerSecond = len(made), float64(len(made))/seconds
	f.setQuantiles(ms)
	return f
}
