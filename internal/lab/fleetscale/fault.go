package fleetscale

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"
)

// FaultReport tells of a fault and of what followed.
type FaultReport struct {
	Name             string
	Process          string  `json:"Who,omitempty"` // name of the process the fault hit
	Member           string  `json:",omitempty"`
	NewLeaderMs      float64 `json:",omitempty"`      // until another led
	Evictions        int     `json:"PutOut"`          // incarnations evicted after the fault
	RecoveryMs       float64 `json:"WholeMs"`         // until the last of: new leader elected, new lease granted, members evicted
	CallsAfterReturn int64   `json:"Calls,omitempty"` // calls to the list service in the first second after it returns

	at, from time.Time
}

var errNoLeader = errors.New("--fault: no member of the first fleet leads that has a process of its own")

func (r *run) ofFirstFleet(one *child) bool {
	return len(one.members) == 1 && r.layout.members[one.members[0]].fleet == 0 && !one.links
}

// injectFault breaks something, for as long as the run has left at most.
func (r *run) injectFault(ctx context.Context, left time.Duration) (*FaultReport, error) {
	f := &FaultReport{Name: r.conf.Fault, at: time.Now()}
	if r.conf.Fault == ListDown {
		addr := r.list.addr
		r.list.http.Close()
		sleep(ctx, min(listDownDuration, left))
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, err
		}
		r.list.http = &http.Server{Handler: r.list}
		go r.list.http.Serve(&counted{ln, r.list})
		f.from = time.Now()
		calls := r.list.calls.Load()
		sleep(ctx, time.Second)
		f.CallsAfterReturn = r.list.calls.Load() - calls
		return f, nil
	}
	who, _ := r.observations.leader(r.ofFirstFleet)
	if who == nil {
		return nil, errNoLeader
	}
	f.Process, f.Member = who.name, r.layout.members[who.members[0]].name
	r.markKilled(f)
	if r.conf.Fault == KillLeader {
		who.killed = true
		return f, who.cmd.Process.Kill()
	}
	if err := who.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return nil, err
	}
	sleep(ctx, min(pauseDuration, left))
	return f, who.cmd.Process.Signal(syscall.SIGCONT)
}

// markKilled notes whom a fault ends for good.
func (r *run) markKilled(f *FaultReport) {
	if f.Name == KillLeader {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.killedMember = f.Member
	}
}

// fillRecovery fills in what followed a fault.
func (r *run) fillRecovery(f *FaultReport) {
	_, led := r.observations.leader(r.ofFirstFleet)
	r.observations.mu.Lock()
	defer r.observations.mu.Unlock()
	ms := func(at time.Time) float64 { return max(0, float64(at.Sub(f.at).Microseconds())/1000) }
	f.NewLeaderMs = ms(led)
	f.RecoveryMs = max(f.NewLeaderMs, ms(r.observations.lastLease))
	for _, at := range r.observations.evictions {
		if at.After(f.at) {
			f.Evictions++
			f.RecoveryMs = max(f.RecoveryMs, ms(at))
		}
	}
}
