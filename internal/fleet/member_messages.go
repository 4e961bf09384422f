package fleet

import (
	"damsonscale/internal/fleet/membership"
	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

// memberMessage is work for runLeaseRenewal's goroutine.
type memberMessage interface {
	handle(f *Fleet)
}

// grantReceived carries a leader's reply to a lease request.
type grantReceived struct {
	from  string
	grant membership.LeaseGrant
}

func (m grantReceived) handle(f *Fleet) { f.handleGrant(m.from, &m.grant) }

// membershipReceived carries a membership, with those settings of its plan that are available.
type membershipReceived struct {
	membership *membership.Membership
	settings   map[string][]byte
}

func (m membershipReceived) handle(f *Fleet) { f.adoptMembership(m.membership, m.settings) }

// membershipRequested reports that another member requests the current membership.
type membershipRequested struct{ from string }

func (m membershipRequested) handle(f *Fleet) { f.sendMembership(m.from) }

// settingsRequested reports that another member requests settings.
type settingsRequested struct {
	from   takeover.Member
	digest []byte
}

func (m settingsRequested) handle(f *Fleet) { f.handleSettingsRequest(m.from, m.digest) }

// settingsReceived carries settings that this member has requested.
type settingsReceived struct{ text []byte }

func (m settingsReceived) handle(f *Fleet) { f.handleSettings(m.text) }

// settingsApplyFinished carries the outcome of applying a version.
type settingsApplyFinished struct {
	version rollout.Version
	err     error
}

func (m settingsApplyFinished) handle(f *Fleet) { f.onApplied(m.version, m.err) }
