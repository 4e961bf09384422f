package fleetscale

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"
)

// FaultReport describes a fault and what followed.
type FaultReport struct {
	Name        string
	Who         string  `json:",omitempty"` // process
	Member      string  `json:",omitempty"`
	NewLeaderMs float64 `json:",omitempty"` // until another led
	PutOut      int     // evicted incarnations after it
	WholeMs     float64 // until the last of: the new leader, leases that began after it, members put out
	Calls       int64   `json:",omitempty"` // on the list service in the second after its return

	at, from time.Time
}

var errNoLeader = errors.New("--fault: no member of the first fleet leads that has a process of its own")

func (r *run) inFirstFleet(one *child) bool {
	return len(one.members) == 1 && r.layout.members[one.members[0]].fleet == 0 && !one.links
}

// fault injects the configured fault, for at most the time that the run has left.
func (r *run) fault(ctx context.Context, left time.Duration) (*FaultReport, error) {
	f := &FaultReport{Name: r.conf.Fault, at: time.Now()}
	if r.conf.Fault == ListDown {
		addr := r.list.addr
		r.list.http.Close()
		sleep(ctx, min(downDuration, left))
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, err
		}
		r.list.http = &http.Server{Handler: r.list}
		go r.list.http.Serve(&counted{ln, r.list})
		f.from = time.Now()
		calls := r.list.calls.Load()
		sleep(ctx, time.Second)
		f.Calls = r.list.calls.Load() - calls
		return f, nil
	}
	who, _ := r.observed.leader(r.inFirstFleet)
	if who == nil {
		return nil, errNoLeader
	}
	f.Who, f.Member = who.name, r.layout.members[who.members[0]].name
	r.noteKilled(f)
	if r.conf.Fault == KillLeader {
		who.killed = true
		return f, who.cmd.Process.Kill()
	}
	if err := who.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return nil, err
	}
	sleep(ctx, min(stopDuration, left))
	return f, who.cmd.Process.Signal(syscall.SIGCONT)
}

// noteKilled notes the member that a fault kills.
func (r *run) noteKilled(f *FaultReport) {
	if f.Name == KillLeader {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.killedMember = f.Member
	}
}

// fillFault fills in what followed a fault.
func (r *run) fillFault(f *FaultReport) {
	_, led := r.observed.leader(r.inFirstFleet)
	r.observed.mu.Lock()
	defer r.observed.mu.Unlock()
	ms := func(at time.Time) float64 { return max(0, float64(at.Sub(f.at).Microseconds())/1000) }
	f.NewLeaderMs = ms(led)
	f.WholeMs = max(f.NewLeaderMs, ms(r.observed.lastLease))
	for _, at := range r.observed.evictedAt {
		if at.After(f.at) {
			f.PutOut++
			f.WholeMs = max(f.WholeMs, ms(at))
		}
	}
}
