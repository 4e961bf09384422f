package fleetscale

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"
)

// FaultReport describes an injected fault and the recovery from it.
type FaultReport struct {
	Name             string
	Process          string  `json:"Who,omitempty"`   // name of the process of the killed or paused leader
	Member           string  `json:",omitempty"`      // name of that leader
	NewLeaderMs      float64 `json:",omitempty"`      // from the start of the fault to the election of a new leader
	Evictions        int     `json:"PutOut"`          // number of incarnations evicted after the start of the fault
	RecoveryMs       float64 `json:"WholeMs"`         // from the start of the fault to the latest election, first lease of an incarnation or eviction
	CallsAfterReturn int64   `json:"Calls,omitempty"` // calls to the list service in the first second after it accepts connections again

	startedAt  time.Time
	returnedAt time.Time // when the list service accepted connections again, after ListDown
}

var errNoLeader = errors.New("--fault: no leader of the first fleet with a process of its own was found")

// inFirstFleet reports whether a process runs a single member, which belongs to the first fleet, and is not a relay.
func (r *run) inFirstFleet(process *child) bool {
	return len(process.members) == 1 && r.layout.members[process.members[0]].fleet == 0 && !process.isRelay
}

// injectFault injects the configured fault. A temporary fault ends after its duration, or after limit if that is shorter.
func (r *run) injectFault(ctx context.Context, limit time.Duration) (*FaultReport, error) {
	f := &FaultReport{Name: r.conf.Fault, startedAt: time.Now()}
	if r.conf.Fault == ListDown {
		addr := r.list.addr
		r.list.server.Close()
		sleep(ctx, min(listDownDuration, limit))
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, err
		}
		r.list.server = &http.Server{Handler: r.list}
		go r.list.server.Serve(&countingListener{ln, r.list})
		f.returnedAt = time.Now()
		calls := r.list.calls.Load()
		sleep(ctx, time.Second)
		f.CallsAfterReturn = r.list.calls.Load() - calls
		return f, nil
	}
	leader, _ := r.observations.lastElected(r.inFirstFleet)
	if leader == nil {
		return nil, errNoLeader
	}
	f.Process, f.Member = leader.name, r.layout.members[leader.members[0]].name
	r.markKilled(f)
	if r.conf.Fault == KillLeader {
		leader.killed = true
		return f, leader.cmd.Process.Kill()
	}
	if err := leader.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return nil, err
	}
	sleep(ctx, min(leaderPauseDuration, limit))
	return f, leader.cmd.Process.Signal(syscall.SIGCONT)
}

// markKilled records the leader that KillLeader kills: no changes are expected at it. For other faults it does nothing.
func (r *run) markKilled(f *FaultReport) {
	if f.Name == KillLeader {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.killedMember = f.Member
	}
}

// fillRecovery fills in the times and evictions of the recovery from a fault.
func (r *run) fillRecovery(f *FaultReport) {
	_, electedAt := r.observations.lastElected(r.inFirstFleet)
	r.observations.mu.Lock()
	defer r.observations.mu.Unlock()
	ms := func(at time.Time) float64 { return max(0, float64(at.Sub(f.startedAt).Microseconds())/1000) }
	f.NewLeaderMs = ms(electedAt)
	f.RecoveryMs = max(f.NewLeaderMs, ms(r.observations.lastLease))
	for _, at := range r.observations.evictions {
		if at.After(f.startedAt) {
			f.Evictions++
			f.RecoveryMs = max(f.RecoveryMs, ms(at))
		}
	}
}
