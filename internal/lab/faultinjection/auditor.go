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
	fenceSlack         = 300 * time.Millisecond // allows for requests in transit and a busy machine
	statusInterval     = 20 * time.Millisecond
	auditQueryInterval = 50 // status polls
	auditTimeout       = 20 * time.Second
)

func (p *experiment) memberNames() (out []string) {
	for i := range p.memberAddresses {
		out = append(out, processName(i))
	}
	return out
}

// runStep sends an operator's command, and follows redirects to the leader.
func (p *experiment) runStep(ctx context.Context, start time.Time, n int, s *Step) {
	sleep(ctx, time.Until(start.Add(ms(s.AtMs))))
	o := &rollout.Command{
		Kind: commandKinds[s.Action], ID: uint64(n + 1), Author: "rig", Reason: fmt.Sprintf("step %d", n), Number: s.Number, SharePermille: s.Share, SettleMs: s.SettleMs, GraceMs: s.GraceMs,
	}
	switch o.Kind {
	case rollout.RollOut:
		set := p.settings(0, s.Settings)
		set["TickUs"] = 5001 + n // no two versions have the same bytes
		o.Settings, _ = json.Marshal(map[string]any{"settings": set})
	case rollout.Exclude, rollout.Readmit:
		o.Name = processName(s.Member)
	}
	via, replyError := s.Via, ""
	asked := time.Now()
	target := uint64(0)
	for range 3 {
		r, err := fleet.SendAdminRequest(ctx, p.memberAddresses[via], p.memberNames(), fleet.AdminRequest{Kind: fleet.RequestRolloutCommand, RolloutCommand: o})
		if err != nil {
			replyError = err.Error()
			break
		}
		if r.Status != nil {
			target = r.Status.Plan.Target
		}
		if replyError = r.Err; !r.NotLeader || r.Leader == "" {
			break
		}
		fmt.Sscanf(r.Leader, "n%d", &via)
		via--
	}
	p.mu.Lock()
	if replyError == "" && (o.Kind == rollout.RollOut || o.Kind == rollout.Rollback) {
		if p.rolloutTimes == nil {
			p.rolloutTimes = map[uint64]time.Time{}
		}
		p.rolloutTimes[target] = asked
	}
	p.stepResults = append(p.stepResults, fmt.Sprintf("%s via n%d after %d ms: %s", s.Action, s.Via+1, time.Since(start).Milliseconds(), replyError))
	p.mu.Unlock()
}

// watchFences polls all members and records when each fence is first reported by one of them.
func (p *experiment) watchFences(ctx context.Context) {
	if !p.timeline.Audit {
		return
	}
	p.mu.Lock()
	p.fenceSeenAt = map[uint64]time.Time{}
	p.mu.Unlock()
	done := make(chan bool)
	for _, addr := range p.memberAddresses {
		go func() {
			defer func() { done <- true }()
			for n := 0; ctx.Err() == nil; sleep(ctx, statusInterval) {
				if n++; n%auditQueryInterval == 0 { // reading the audit log must not disturb the fleet
					fleet.SendAdminRequest(ctx, addr, p.memberNames(), fleet.AdminRequest{Kind: fleet.RequestSegments})
				}
				r, err := fleet.SendAdminRequest(ctx, addr, p.memberNames(), fleet.AdminRequest{Kind: fleet.RequestStatus})
				if err != nil || r.Status == nil {
					continue
				}
				p.mu.Lock()
				if f := r.Status.Plan.Fence; f > 0 && p.fenceSeenAt[f].IsZero() {
					p.fenceSeenAt[f] = time.Now()
				}
				p.maxOverLimit = max(p.maxOverLimit, unleasedOverLimit(r.Status))
				p.mu.Unlock()
			}
		}()
	}
	for range p.memberAddresses {
		<-done
	}
}

// maxExcludedShare is the program's default for the share of members that may be without a lease.
const maxExcludedShare = 0.34

// unleasedOverLimit counts the members without a lease by the plan beyond the allowed share: excluded ones, and those that rejected
// the version that the fence asks for.
func unleasedOverLimit(s *fleet.ClusterStatus) int {
	out := len(s.Plan.Excluded)
	for name, t := range s.Reports {
		if !slices.Contains(s.Plan.Excluded, name) && t.Report.RejectedVersion >= s.Plan.Fence && t.Report.ActiveVersion < s.Plan.Fence {
			out++
		}
	}
	return max(0, out-int(maxExcludedShare*float64(len(s.MemberNames))))
}

// checkAudit compares the fleet's audit log with what servers and clients recorded, event by event.
func (p *experiment) checkAudit(ctx context.Context, rec *observations, r *Report) error {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	codec, err := audit.NewCodec()
	if err != nil {
		return err
	}
	var all []audit.SealedSegment
	alive := map[takeover.Member]bool{}
	responding := 0
	for _, addr := range p.memberAddresses {
		s, err := fleet.SendAdminRequest(ctx, addr, p.memberNames(), fleet.AdminRequest{Kind: fleet.RequestSegments})
		if err != nil {
			continue // it is down
		}
		responding++
		all = append(all, s.Segments...)
		if st, err := fleet.SendAdminRequest(ctx, addr, p.memberNames(), fleet.AdminRequest{Kind: fleet.RequestStatus}); err == nil && st.Status != nil {
			alive[st.Status.Self] = true
			if st.Status.IsLeader {
				r.WaitingFor, r.PauseReason = st.Status.WaitReason, st.Status.Plan.PauseReason
				for _, n := range st.Status.MemberNames {
					if st.Status.Reports[n].Report.ActiveVersion < st.Status.Plan.Target {
						r.NotConverged++
					}
				}
			}
		}
	}
	if responding == 0 {
		return errors.New("no member tells the account")
	}
	p.mu.Lock()
	a := &auditor{report: r, trails: map[takeover.Member]*memberTrail{}, alive: alive, fenceSeenAt: p.fenceSeenAt, rolloutTimes: p.rolloutTimes, lease: ms(p.timeline.LeaseMs)}
	r.Steps, r.OverExclusionLimit = p.stepResults, p.maxOverLimit
	p.mu.Unlock()
	if a.lease == 0 {
		a.lease = 600 * time.Millisecond // the program's default
	}
	for _, one := range codec.AssembleTrails(fleet.ID(p.memberNames()), all, &audit.Query{}) {
		for _, f := range one.Faults {
			a.addViolation(&r.AuditMismatches, "account", fmt.Sprintf("%s/%x: %s", one.Member.Name, one.Member.Incarnation, f))
		}
		a.addTrail(&one)
	}
	a.compare(rec)
	return nil
}

// auditor compares the audit log of each member with the observations.
type auditor struct {
	report       *Report
	trails       map[takeover.Member]*memberTrail
	alive        map[takeover.Member]bool
	fenceSeenAt  map[uint64]time.Time
	rolloutTimes map[uint64]time.Time
	lease        time.Duration
}

// memberTrail indexes a member's audit events.
type memberTrail struct {
	*audit.Trail
	byNumber      map[uint64]auditevent.Event
	sentByRequest map[string]int // by "request server": sends, less those that were not written
}

func (a *auditor) addTrail(one *audit.Trail) {
	t := &memberTrail{Trail: one, byNumber: map[uint64]auditevent.Event{}, sentByRequest: map[string]int{}}
	for _, act := range one.Events {
		t.byNumber[act.Number] = act
		switch act.Kind {
		case auditevent.Sent:
			t.sentByRequest[act.ID+" "+act.Note]++
		case auditevent.NotSent:
			t.sentByRequest[act.ID+" "+act.Note]--
		}
	}
	a.report.AuditEvents += len(one.Events)
	a.trails[one.Member] = t
}

func (a *auditor) addViolation(count *int, kind, why string) {
	if *count++; *count <= maxDescribed {
		a.report.Violations = append(a.report.Violations, kind+": "+why)
	}
}

// compareEvent compares an observation with the audit event that it names. It returns false where the reference is unreadable.
func (a *auditor) compareEvent(what, actor, id, note string, kinds ...auditevent.Kind) (auditevent.Ref, bool) {
	wrong := func(format string, args ...any) {
		a.addViolation(&a.report.AuditMismatches, "misstated", fmt.Sprintf("%s of %s, by %q: %s", what, id, actor, fmt.Sprintf(format, args...)))
	}
	ref, err := auditevent.ParseRef(actor)
	if err != nil {
		wrong("%v", err)
		return ref, false
	}
	t := a.trails[ref.Member]
	switch {
	case t == nil && a.alive[ref.Member]:
		wrong("its member tells nothing")
		return ref, true
	case t == nil:
		a.report.AuditGaps++ // no member has segments of that incarnation, and none claims to
		return ref, true
	}
	act, ok := t.byNumber[ref.Number]
	switch {
	case !ok && ref.Number > t.LastEvent && (t.Ended || a.alive[ref.Member]):
		wrong("the account ends with act %d", t.LastEvent)
	case !ok:
		for _, k := range t.KnownEvents {
			if ref.Number >= k.First && ref.Number <= k.Last {
				wrong("no such act, and no gap")
			}
		}
		a.report.AuditGaps++
	case act.ID != id || act.Note != note || !slices.Contains(kinds, act.Kind) || act.Version.Settings != ref.Version.Settings ||
		act.Version.Digest != ref.Version.Digest || act.Version.ListSeq != ref.Version.ListSeq:
		wrong("the account has %+v", act)
	default:
		a.report.AuditMatches++
	}
	return ref, true
}

func (a *auditor) compare(rec *observations) {
	seen := map[takeover.Member]map[string]int{}
	a.report.RolloutMs = map[uint64]int64{}
	for id, runs := range rec.executions {
		for _, run := range runs {
			ref, ok := a.compareEvent("a run at "+run.Server, run.AuditRef, id, run.Server, auditevent.Sent)
			if !ok {
				continue
			}
			if seen[ref.Member] == nil {
				seen[ref.Member] = map[string]int{}
			}
			seen[ref.Member][id+" "+run.Server]++
			for number, at := range a.rolloutTimes {
				if late := run.At.Sub(at).Milliseconds(); ref.Version.Settings < number && late > a.report.RolloutMs[number] {
					a.report.RolloutMs[number] = late
				}
			}
			for fence, at := range a.fenceSeenAt {
				if ref.Version.Settings < fence && run.At.After(at.Add(a.lease+fenceSlack)) {
					a.addViolation(&a.report.BelowFence, "below the fence", fmt.Sprintf("%s ran under %d, %d ms after fence %d was seen, by %s", id, ref.Version.Settings,
						run.At.Sub(at).Milliseconds(), fence, run.AuditRef))
				}
			}
		}
	}
	for m, runs := range seen { // a server can't have executed more than the log says was sent
		t := a.trails[m]
		if t == nil || len(t.Gaps()) > 0 || !t.Ended && !a.alive[m] {
			continue
		}
		for key, n := range runs {
			if n > t.sentByRequest[key] {
				a.addViolation(&a.report.AuditMismatches, "misstated", fmt.Sprintf("%s: %d runs, %d sendings told of %s/%x", key, n, t.sentByRequest[key], m.Name, m.Incarnation))
			}
		}
	}
	for _, q := range rec.requests {
		for i := range q.Attempts {
			ask := &q.Attempts[i]
			if ask.Status == 0 || ask.AuditRef == "" && strings.HasPrefix(ask.Err, "EOF") {
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
			a.compareEvent("an answer", ask.AuditRef, q.ID, fmt.Sprint(ask.Status), kinds...)
		}
	}
}
