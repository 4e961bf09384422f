package fleet

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

const (
	// maxReasonBytes bounds the reason for a rejection in a report.
	maxReasonBytes = 300
	// countsDelay is the time after the adoption of a version for which responses are not counted for it. They may belong to a
	// backlog of earlier requests: a suspended process adopts the version together with its backlog on resuming, and counting
	// those responses could pause the rollout of a sound version.
	countsDelay = time.Second
)

// settingsState is this member's state of the rollout plan's settings. runLeaseRenewal's goroutine owns it.
type settingsState struct {
	active       uint64 // number of the version in force; 0: the member's own settings file
	digest       uint64 // first 8 bytes of the digest of the version in force
	activeSince  time.Time
	previous     uint64                 // number of the version that was in force before
	baseline     *rollout.ServiceCounts // responses under the active version that are not counted; nil: not known yet
	applying     bool                   // a version is being applied
	rejected     uint64                 // number of the latest version that could not be applied
	rejectReason string

	textByDigest    map[string][]byte // settings of the plan's versions, by digest
	requestedNumber uint64            // version whose settings are being requested
	requestedAt     time.Time         // time of the latest request
	requests        int               // requests made for that version
}

// settingsReply is the reply to a request for a version's settings.
type settingsReply struct {
	_        struct{} `cbor:",toarray"`
	Settings []byte
}

// followPlan applies the version that the plan assigns to this member, and suspends the lease while the plan does not let this
// member act. The active version number never decreases, since a lease is granted for the version number that the member has
// reported. followPlan runs on runLeaseRenewal's goroutine.
func (f *Fleet) followPlan() {
	if f.replicator == nil {
		return
	}
	plan := &f.membership.Load().Plan
	f.setExcluded(!plan.MayLease(f.name, f.settings.active) && !f.faults.ignoreFence)
	target := plan.TargetFor(f.name)
	if target <= f.settings.active || target == f.settings.rejected || f.settings.applying {
		return
	}
	v, ok := plan.Find(target)
	if !ok {
		return
	}
	text, ok := f.settings.textByDigest[string(v.Digest[:])]
	if !ok {
		f.requestSettings(v)
		return
	}
	f.settings.applying = true
	go func() {
		err := f.applier.ApplySettings(v.Number, text)
		f.post(settingsApplyFinished{v, err})
	}()
}

// onApplied records the outcome of ApplySettings, and reports it to the leader at once with a lease request.
func (f *Fleet) onApplied(v rollout.Version, err error) {
	s := &f.settings
	s.applying = false
	if err != nil {
		s.rejected, s.rejectReason = v.Number, err.Error()
		eventlog.Warn(eventSettingsRejected, err, "number", v.Number)
	} else {
		s.previous, s.active, s.digest = s.active, v.Number, binary.BigEndian.Uint64(v.Digest[:])
		s.activeSince, s.baseline = time.Now(), nil
	}
	f.followPlan()
	f.requestLease()
}

// requestSettings requests the settings of a version from another member, at most twice per interval of lease requests.
func (f *Fleet) requestSettings(v rollout.Version) {
	s := &f.settings
	if s.requestedNumber != v.Number {
		s.requestedNumber, s.requests = v.Number, 0
	}
	if s.requests > 0 && time.Since(s.requestedAt) < f.options.Fleet.LeaseDuration/leaseRequestsPerLease/2 {
		return
	}
	name, ok := settingsSource(f.voters, f.memberNames, f.name, s.requests, rand.IntN)
	if !ok {
		return
	}
	s.requestedAt = time.Now()
	s.requests++
	f.send(name, protocol.KindSettingsRequest, v.Digest[:])
}

// settingsSource selects the member from which to request settings after a number of unanswered requests. It alternates between
// a random voter, since voters have the settings from the log, and a random member, which may be reachable when no voter is.
// draw returns a random number below its argument. ok is false if there is no other member.
func settingsSource(voters, memberNames []string, self string, requests int, draw func(int) int) (name string, ok bool) {
	for _, candidates := range [][]string{voters, memberNames} {
		if requests%2 == 1 {
			candidates = memberNames
		}
		first := draw(len(candidates))
		for i := range candidates {
			if name := candidates[(first+i)%len(candidates)]; name != self {
				return name, true
			}
		}
	}
	return "", false
}

// handleSettingsRequest replies to a request for settings if they are known here.
func (f *Fleet) handleSettingsRequest(from takeover.Member, digest []byte) {
	if text, ok := f.settings.textByDigest[string(digest)]; ok {
		f.sendMessage(from.Name, protocol.KindSettings, settingsReply{Settings: text})
	}
}

// handleSettings stores received settings if they belong to a version of the plan, and ignores others.
func (f *Fleet) handleSettings(text []byte) {
	digest := rollout.DigestOf(text)
	for _, v := range f.membership.Load().Plan.Versions {
		if v.Digest == digest {
			f.storeSettings(map[string][]byte{string(digest[:]): text})
			f.followPlan()
			return
		}
	}
}

// storeSettings adds settings to the known ones, and drops those of versions that are no longer in the plan.
func (f *Fleet) storeSettings(added map[string][]byte) {
	known := map[string][]byte{}
	for _, v := range f.membership.Load().Plan.Versions {
		digest := string(v.Digest[:])
		if text, ok := added[digest]; ok {
			known[digest] = text
		} else if text, ok := f.settings.textByDigest[digest]; ok {
			known[digest] = text
		}
	}
	f.settings.textByDigest = known
}

// setExcluded suspends this member's lease or ends the suspension. A suspension also closes idle connections.
func (f *Fleet) setExcluded(excluded bool) {
	if f.excluded.Swap(excluded) == excluded {
		return
	}
	plan := &f.membership.Load().Plan
	eventlog.Warn(eventExclusionChanged, nil, "member", f.name, "excluded", excluded, "active", f.settings.active, "fence", plan.Fence,
		"rejected", f.settings.rejected, "reason", f.settings.rejectReason)
	if excluded {
		f.applier.CloseIdleConnections()
	}
}

// rolloutReport returns the report that this member sends to the leader with each lease request.
func (f *Fleet) rolloutReport() (r rollout.Report) {
	s := &f.settings
	if f.replicator == nil {
		return r
	}
	r = rollout.Report{ActiveVersion: s.active, RejectedVersion: s.rejected, RejectReason: s.rejectReason, Digest: s.digest, Build: f.build}
	if len(r.RejectReason) > maxReasonBytes {
		r.RejectReason = r.RejectReason[:maxReasonBytes]
	}
	r.Current.Answered, r.Current.Served = f.recorder.AnswerCounts(s.active)
	s.updateBaseline(r.Current)
	if s.baseline == nil {
		r.Current = rollout.ServiceCounts{}
	} else if s.active > 0 {
		r.Current = rollout.ServiceCounts{Answered: r.Current.Answered - s.baseline.Answered, Served: r.Current.Served - s.baseline.Served}
	}
	r.Previous.Answered, r.Previous.Served = f.recorder.AnswerCounts(s.previous)
	if s.previous == s.active {
		r.Previous = rollout.ServiceCounts{}
	}
	return r
}

// updateBaseline sets the counts from which responses under the active version are reported. Counts below the baseline belong to
// a new incarnation, which counts from 0.
func (s *settingsState) updateBaseline(current rollout.ServiceCounts) {
	if s.baseline != nil && (current.Served < s.baseline.Served || current.Answered < s.baseline.Answered) {
		s.baseline = nil
	}
	if s.baseline == nil && (s.active == 0 || time.Since(s.activeSince) >= countsDelay) {
		s.baseline = &current
	}
}
