package faultinjection

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"damsonscale/internal/audit"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/fleet"
	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

const (
	fenceSlack  = 300 * time.Millisecond // for a request on its way and a machine that is full
	watchStep   = 20 * time.Millisecond
	inquiry     = 50 // steps
	auditWithin = 20 * time.Second
)

func (p *play) names() (out []string) {
	for i := range p.members {
		out = append(out, name(i))
	}
	return out
}

// step gives an operator's order, to who leads if it is told of one.
func (p *play) step(ctx context.Context, start time.Time, n int, s *Step) {
	sleep(ctx, time.Until(start.Add(ms(s.AtMs))))
	o := &rollout.Command{
		Kind: orders[s.Do], ID: uint64(n + 1), Author: "rig", Reason: fmt.Sprintf("step %d", n), Number: s.Number, Share: s.Share, SettleMs: s.SettleMs, GraceMs: s.GraceMs,
	}
	switch o.Kind {
	case rollout.RollOut:
		set := p.settings(0, s.File)
		set["TickUs"] = 5001 + n // no two versions have the same bytes
		o.Settings, _ = json.Marshal(map[string]any{"settings": set})
	case rollout.Exclude, rollout.Readmit:
		o.Name = name(s.Who)
	}
	via, said := s.Via, ""
	asked := time.Now()
	target := uint64(0)
	for range 3 {
		r, err := fleet.Call(ctx, p.members[via], p.names(), fleet.AdminRequest{Command: fleet.CommandOrder, Order: o})
		if err != nil {
			said = err.Error()
			break
		}
		if r.Status != nil {
			target = r.Status.Plan.Target
		}
		if said = r.Err; !r.NotLeader || r.Leader == "" {
			break
		}
		fmt.Sscanf(r.Leader, "n%d", &via)
		via--
	}
	p.mu.Lock()
	if said == "" && (o.Kind == rollout.RollOut || o.Kind == rollout.Rollback) {
		if p.ordered == nil {
			p.ordered = map[uint64]time.Time{}
		}
		p.ordered[target] = asked
	}
	p.steps = append(p.steps, fmt.Sprintf("%s via n%d after %d ms: %s", s.Do, s.Via+1, time.Since(start).Milliseconds(), said))
	p.mu.Unlock()
}

// watch notes when each fence is first seen by anybody.
func (p *play) watch(ctx context.Context) {
	if !p.line.Audit {
		return
	}
	p.mu.Lock()
	p.fences = map[uint64]time.Time{}
	p.mu.Unlock()
	done := make(chan bool)
	for _, addr := range p.members {
		go func() {
			defer func() { done <- true }()
			for n := 0; ctx.Err() == nil; sleep(ctx, watchStep) {
				if n++; n%inquiry == 0 { // the account is asked for in the midst of it all
					fleet.Call(ctx, addr, p.names(), fleet.AdminRequest{Command: fleet.CommandSegments})
				}
				r, err := fleet.Call(ctx, addr, p.names(), fleet.AdminRequest{Command: fleet.CommandStatus})
				if err != nil || r.Status == nil {
					continue
				}
				p.mu.Lock()
				if f := r.Status.Plan.Fence; f > 0 && p.fences[f].IsZero() {
					p.fences[f] = time.Now()
				}
				p.over = max(p.over, overGuard(r.Status))
				p.mu.Unlock()
			}
		}()
	}
	for range p.members {
		<-done
	}
}

// guard is the program's own share of members that may be without a lease.
const guard = 0.34

// overGuard counts the members that the plan shuts out past the guard: barred ones, and those that refused what the fence asks.
func overGuard(s *fleet.ClusterStatus) int {
	out := len(s.Plan.Excluded)
	for name, t := range s.Reports {
		if !slices.Contains(s.Plan.Excluded, name) && t.Report.Rejected >= s.Plan.Fence && t.Report.Active < s.Plan.Fence {
			out++
		}
	}
	return max(0, out-int(guard*float64(len(s.MemberNames))))
}

// audit compares the fleet's account with the servers' and clients' own tallies, act by act.
func (p *play) audit(ctx context.Context, rec *record, r *Report) error {
	ctx, cancel := context.WithTimeout(ctx, auditWithin)
	defer cancel()
	codec, err := audit.NewCodec()
	if err != nil {
		return err
	}
	var all []audit.SealedSegment
	living := map[takeover.Member]bool{}
	heard := 0
	for _, addr := range p.members {
		s, err := fleet.Call(ctx, addr, p.names(), fleet.AdminRequest{Command: fleet.CommandSegments})
		if err != nil {
			continue // it is down
		}
		heard++
		all = append(all, s.Segments...)
		if st, err := fleet.Call(ctx, addr, p.names(), fleet.AdminRequest{Command: fleet.CommandStatus}); err == nil && st.Status != nil {
			living[st.Status.Self] = true
			if st.Status.IsLeader {
				r.Waits, r.Held = st.Status.WaitingFor, st.Status.Plan.PauseReason
				for _, n := range st.Status.MemberNames {
					if st.Status.Reports[n].Report.Active < st.Status.Plan.Target {
						r.Unagreed++
					}
				}
			}
		}
	}
	if heard == 0 {
		return errors.New("no member tells the account")
	}
	p.mu.Lock()
	a := &auditor{r: r, accounts: map[takeover.Member]*told{}, living: living, fences: p.fences, ordered: p.ordered, lease: ms(p.line.LeaseMs)}
	r.Steps, r.OverGuard = p.steps, p.over
	p.mu.Unlock()
	if a.lease == 0 {
		a.lease = 600 * time.Millisecond // the program's own
	}
	for _, one := range codec.AssembleTrails(fleet.ID(p.names()), all, &audit.Query{}) {
		for _, f := range one.Faults {
			a.broke(&r.Misstated, "account", fmt.Sprintf("%s/%x: %s", one.Member.Name, one.Member.Incarnation, f))
		}
		a.add(&one)
	}
	a.compare(rec)
	return nil
}

// auditor compares.
type auditor struct {
	r        *Report
	accounts map[takeover.Member]*told
	living   map[takeover.Member]bool
	fences   map[uint64]time.Time
	ordered  map[uint64]time.Time
	lease    time.Duration
}

// told is an account with its acts by number.
type told struct {
	*audit.Trail
	by   map[uint64]auditevent.Event
	sent map[string]int // by request and server: sent, less unsent
}

func (a *auditor) add(one *audit.Trail) {
	t := &told{Trail: one, by: map[uint64]auditevent.Event{}, sent: map[string]int{}}
	for _, act := range one.Events {
		t.by[act.Number] = act
		switch act.Kind {
		case auditevent.Sent:
			t.sent[act.ID+" "+act.Note]++
		case auditevent.NotSent:
			t.sent[act.ID+" "+act.Note]--
		}
	}
	a.r.Acts += len(one.Events)
	a.accounts[one.Member] = t
}

func (a *auditor) broke(count *int, kind, why string) {
	if *count++; *count <= most {
		a.r.Breaks = append(a.r.Breaks, kind+": "+why)
	}
}

// see compares one thing that was seen with the act that it names.
func (a *auditor) see(what, actor, id, note string, kinds ...auditevent.Kind) (auditevent.Ref, bool) {
	wrong := func(format string, args ...any) {
		a.broke(&a.r.Misstated, "misstated", fmt.Sprintf("%s of %s, by %q: %s", what, id, actor, fmt.Sprintf(format, args...)))
	}
	ref, err := auditevent.ParseRef(actor)
	if err != nil {
		wrong("%v", err)
		return ref, false
	}
	t := a.accounts[ref.Member]
	switch {
	case t == nil && a.living[ref.Member]:
		wrong("its member tells nothing")
		return ref, true
	case t == nil:
		a.r.InGaps++ // nobody knows of that incarnation: it tells so
		return ref, true
	}
	act, ok := t.by[ref.Number]
	switch {
	case !ok && ref.Number > t.Last && (t.Ended || a.living[ref.Member]):
		wrong("the account ends with act %d", t.Last)
	case !ok:
		for _, k := range t.Known {
			if ref.Number >= k.First && ref.Number <= k.Last {
				wrong("no such act, and no gap")
			}
		}
		a.r.InGaps++
	case act.ID != id || act.Note != note || !slices.Contains(kinds, act.Kind) || act.Version.Settings != ref.Version.Settings ||
		act.Version.Digest != ref.Version.Digest || act.Version.ListSeq != ref.Version.ListSeq:
		wrong("the account has %+v", act)
	default:
		a.r.Matched++
	}
	return ref, true
}

func (a *auditor) compare(rec *record) {
	seen := map[takeover.Member]map[string]int{}
	a.r.TurnMs = map[uint64]int64{}
	for id, runs := range rec.runs {
		for _, run := range runs {
			ref, ok := a.see("a run at "+run.Server, run.Actor, id, run.Server, auditevent.Sent)
			if !ok {
				continue
			}
			if seen[ref.Member] == nil {
				seen[ref.Member] = map[string]int{}
			}
			seen[ref.Member][id+" "+run.Server]++
			for number, at := range a.ordered {
				if late := run.At.Sub(at).Milliseconds(); ref.Version.Settings < number && late > a.r.TurnMs[number] {
					a.r.TurnMs[number] = late
				}
			}
			for fence, at := range a.fences {
				if ref.Version.Settings < fence && run.At.After(at.Add(a.lease+fenceSlack)) {
					a.broke(&a.r.BelowFence, "below the fence", fmt.Sprintf("%s ran under %d, %d ms after fence %d was seen, by %s", id, ref.Version.Settings,
						run.At.Sub(at).Milliseconds(), fence, run.Actor))
				}
			}
		}
	}
	for m, runs := range seen { // what was not written can't have run
		t := a.accounts[m]
		if t == nil || len(t.Gaps()) > 0 || !t.Ended && !a.living[m] {
			continue
		}
		for key, n := range runs {
			if n > t.sent[key] {
				a.broke(&a.r.Misstated, "misstated", fmt.Sprintf("%s: %d runs, %d sendings told of %s/%x", key, n, t.sent[key], m.Name, m.Incarnation))
			}
		}
	}
	for _, q := range rec.requests {
		for i := range q.Asks {
			ask := &q.Asks[i]
			if ask.Status == 0 || ask.Actor == "" && strings.HasPrefix(ask.Err, "EOF") {
				continue
			}
			kinds := []auditevent.Kind{auditevent.Failed, auditevent.ClientLeft}
			switch ask.Status {
			case http.StatusOK:
				kinds = []auditevent.Kind{auditevent.Served}
			case http.StatusServiceUnavailable:
				kinds = []auditevent.Kind{auditevent.Rejected, auditevent.RejectedNoLease}
			case http.StatusConflict:
				kinds = []auditevent.Kind{auditevent.DuplicateID}
			}
			a.see("an answer", ask.Actor, q.ID, fmt.Sprint(ask.Status), kinds...)
		}
	}
}
