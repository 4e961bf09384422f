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
	fenceSlack         = 300 * time.Millisecond // added to the lease: allows for requests in transit and for a busy machine
	statusInterval     = 20 * time.Millisecond  // between two status polls of a member
	auditQueryInterval = 50                     // status polls of a member between two reads of its audit log
	auditTimeout       = 20 * time.Second       // for reading the audit logs of all members
)

func (p *experiment) memberNames() (names []string) {
	for i := range p.memberAddresses {
		names = append(names, processName(i))
	}
	return names
}

// runStep sends a command of an operator, follows redirects to the leader and records the reply.
func (p *experiment) runStep(ctx context.Context, start time.Time, n int, s *Step) {
	sleep(ctx, time.Until(start.Add(ms(s.AtMs))))
	command := &rollout.Command{
		Kind: commandKinds[s.Action], ID: uint64(n + 1), Author: "rig", Reason: fmt.Sprintf("step %d", n), Number: s.Number, SharePermille: s.Share, SettleMs: s.SettleMs, GraceMs: s.GraceMs,
	}
	switch command.Kind {
	case rollout.RollOut:
		settings := p.settings(0, s.Settings)
		settings["TickUs"] = 5001 + n // a different value for each command, so that no two versions have equal bytes
		command.Settings, _ = json.Marshal(map[string]any{"settings": settings})
	case rollout.Exclude, rollout.Readmit:
		command.Name = processName(s.Member)
	}
	via, replyError := s.Via, ""
	sentAt := time.Now()
	target := uint64(0)
	for range 3 {
		r, err := fleet.SendAdminRequest(ctx, p.memberAddresses[via], p.memberNames(), fleet.AdminRequest{Kind: fleet.RequestRolloutCommand, RolloutCommand: command})
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
	if replyError == "" && (command.Kind == rollout.RollOut || command.Kind == rollout.Rollback) {
		if p.rolloutTimes == nil {
			p.rolloutTimes = map[uint64]time.Time{}
		}
		p.rolloutTimes[target] = sentAt
	}
	p.stepResults = append(p.stepResults, fmt.Sprintf("%s via n%d after %d ms: %s", s.Action, s.Via+1, time.Since(start).Milliseconds(), replyError))
	p.mu.Unlock()
}

// watchFences polls the status of all members until ctx ends. It records when a member first reports each fence, and the largest number
// of members without a lease beyond the allowed share.
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
				if n++; n%auditQueryInterval == 0 { // the reply is not used: reading the audit log must not disturb the fleet
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

// maxExcludedShare is the largest share of the members that may be without a lease, by the default setting of the program.
const maxExcludedShare = 0.34

// unleasedOverLimit returns how many members beyond the allowed share get no lease according to the status. These are excluded members,
// and members that rejected the version of the fence or a later one and run an older version.
func unleasedOverLimit(s *fleet.ClusterStatus) int {
	unleased := len(s.Plan.Excluded)
	for name, t := range s.Reports {
		if !slices.Contains(s.Plan.Excluded, name) && t.Report.RejectedVersion >= s.Plan.Fence && t.Report.ActiveVersion < s.Plan.Fence {
			unleased++
		}
	}
	return max(0, unleased-int(maxExcludedShare*float64(len(s.MemberNames))))
}

// checkAudit reads the audit logs of all members and compares them with the records of servers and clients, event by event.
func (p *experiment) checkAudit(ctx context.Context, observed *observations, r *Report) error {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	codec, err := audit.NewCodec()
	if err != nil {
		return err
	}
	var all []audit.SealedSegment
	alive := map[takeover.Member]bool{} // incarnations that reported their status
	responding := 0
	for _, addr := range p.memberAddresses {
		s, err := fleet.SendAdminRequest(ctx, addr, p.memberNames(), fleet.AdminRequest{Kind: fleet.RequestSegments})
		if err != nil {
			continue // the member is down
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
		return errors.New("no member returned its audit log")
	}
	p.mu.Lock()
	a := &auditor{report: r, trails: map[takeover.Member]*memberTrail{}, alive: alive, fenceSeenAt: p.fenceSeenAt, rolloutTimes: p.rolloutTimes, lease: ms(p.timeline.LeaseMs)}
	r.Steps, r.OverExclusionLimit = p.stepResults, p.maxOverLimit
	p.mu.Unlock()
	if a.lease == 0 {
		a.lease = 600 * time.Millisecond // the default of the program
	}
	for _, trail := range codec.AssembleTrails(fleet.ID(p.memberNames()), all, &audit.Query{}) {
		for _, f := range trail.Faults {
			a.addViolation(&r.AuditMismatches, "account", fmt.Sprintf("audit log of member %s/%x: %s", trail.Member.Name, trail.Member.Incarnation, f))
		}
		a.addTrail(&trail)
	}
	a.compare(observed)
	return nil
}

// auditor compares the audit logs of the members with the observations.
type auditor struct {
	report       *Report
	trails       map[takeover.Member]*memberTrail
	alive        map[takeover.Member]bool // incarnations that run at the end of the timeline
	fenceSeenAt  map[uint64]time.Time     // by fence: when it was first reported
	rolloutTimes map[uint64]time.Time     // by version: when its command was sent
	lease        time.Duration
}

// memberTrail indexes the audit events of one incarnation of a member.
type memberTrail struct {
	*audit.Trail
	byNumber      map[uint64]auditevent.Event // by event number
	sentByRequest map[string]int              // by request ID and server, separated by a space: number of attempts sent, less those that were not written
}

func (a *auditor) addTrail(trail *audit.Trail) {
	t := &memberTrail{Trail: trail, byNumber: map[uint64]auditevent.Event{}, sentByRequest: map[string]int{}}
	for _, event := range trail.Events {
		t.byNumber[event.Number] = event
		switch event.Kind {
		case auditevent.Sent:
			t.sentByRequest[event.ID+" "+event.Note]++
		case auditevent.NotSent:
			t.sentByRequest[event.ID+" "+event.Note]--
		}
	}
	a.report.AuditEvents += len(trail.Events)
	a.trails[trail.Member] = t
}

func (a *auditor) addViolation(count *int, kind, why string) {
	if *count++; *count <= maxDescribed {
		a.report.Violations = append(a.report.Violations, kind+": "+why)
	}
}

// compareEvent compares an observed execution or response with the audit event that its audit reference names. It returns the reference,
// or false if the reference cannot be parsed.
func (a *auditor) compareEvent(observation, auditRef, id, note string, kinds ...auditevent.Kind) (auditevent.Ref, bool) {
	mismatch := func(format string, args ...any) {
		a.addViolation(&a.report.AuditMismatches, "misstated", fmt.Sprintf("%s of request %s, audit reference %q: %s", observation, id, auditRef, fmt.Sprintf(format, args...)))
	}
	ref, err := auditevent.ParseRef(auditRef)
	if err != nil {
		mismatch("the audit reference cannot be parsed: %v", err)
		return ref, false
	}
	t := a.trails[ref.Member]
	switch {
	case t == nil && a.alive[ref.Member]:
		mismatch("the member is alive but returned no audit log")
		return ref, true
	case t == nil:
		a.report.AuditGaps++ // the incarnation has ended, and no member has segments of its audit log
		return ref, true
	}
	event, ok := t.byNumber[ref.Number]
	switch {
	case !ok && ref.Number > t.LastEvent && (t.Ended || a.alive[ref.Member]):
		mismatch("the audit log of the member ends with event %d", t.LastEvent)
	case !ok:
		for _, k := range t.KnownEvents {
			if ref.Number >= k.First && ref.Number <= k.Last {
				mismatch("the audit log has no event with this number, although it has the segment of the event")
			}
		}
		a.report.AuditGaps++
	case event.ID != id || event.Note != note || !slices.Contains(kinds, event.Kind) || event.Version.Settings != ref.Version.Settings ||
		event.Version.Digest != ref.Version.Digest || event.Version.ListSeq != ref.Version.ListSeq:
		mismatch("the audit log has a different event with this number: %+v", event)
	default:
		a.report.AuditMatches++
	}
	return ref, true
}

// compare compares each observed execution and response with its audit event. It also checks that no execution happened under a version
// below the fence, and that the audit log has a send for each execution.
func (a *auditor) compare(observed *observations) {
	executed := map[takeover.Member]map[string]int{} // by member: executions by request ID and server
	a.report.RolloutMs = map[uint64]int64{}
	for id, runs := range observed.executions {
		for _, run := range runs {
			ref, ok := a.compareEvent("execution at "+run.Server, run.AuditRef, id, run.Server, auditevent.Sent)
			if !ok {
				continue
			}
			if executed[ref.Member] == nil {
				executed[ref.Member] = map[string]int{}
			}
			executed[ref.Member][id+" "+run.Server]++
			for number, at := range a.rolloutTimes {
				if took := run.At.Sub(at).Milliseconds(); ref.Version.Settings < number && took > a.report.RolloutMs[number] {
					a.report.RolloutMs[number] = took
				}
			}
			for fence, at := range a.fenceSeenAt {
				if ref.Version.Settings < fence && run.At.After(at.Add(a.lease+fenceSlack)) {
					a.addViolation(&a.report.BelowFence, "below_fence", fmt.Sprintf("request %s was executed under version %d, %d ms after fence %d was first reported; audit reference %s", id, ref.Version.Settings,
						run.At.Sub(at).Milliseconds(), fence, run.AuditRef))
				}
			}
		}
	}
	for m, runs := range executed { // a server cannot execute a request more often than the member sent it
		t := a.trails[m]
		if t == nil || len(t.Gaps()) > 0 || !t.Ended && !a.alive[m] {
			continue
		}
		for key, n := range runs {
			if n > t.sentByRequest[key] {
				a.addViolation(&a.report.AuditMismatches, "misstated", fmt.Sprintf("request and server %s: got %d executions, want at most the %d sends in the audit log of member %s/%x", key, n, t.sentByRequest[key], m.Name, m.Incarnation))
			}
		}
	}
	for _, q := range observed.requests {
		for i := range q.Attempts {
			attempt := &q.Attempts[i]
			if attempt.Status == 0 || attempt.AuditRef == "" && strings.HasPrefix(attempt.Err, "EOF") {
				continue
			}
			kinds := []auditevent.Kind{auditevent.Failed, auditevent.ClientLeft}
			switch attempt.Status {
			case http.StatusOK:
				kinds = []auditevent.Kind{auditevent.Served}
			case http.StatusServiceUnavailable:
				kinds = []auditevent.Kind{auditevent.Rejected, auditevent.RejectedNoLease}
			case http.StatusConflict:
				kinds = []auditevent.Kind{auditevent.DuplicateID}
			}
			a.compareEvent("response", attempt.AuditRef, q.ID, fmt.Sprint(attempt.Status), kinds...)
		}
	}
}
