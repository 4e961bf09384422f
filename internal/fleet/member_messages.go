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

// grantReceived brings a leader's reply to a lease request.
type grantReceived struct {
	from  string
	grant membership.LeaseGrant
}

func (m grantReceived) handle(f *Fleet) { f.handleGrant(m.from, &m.grant) }

// membershipReceived brings a membership, with the settings of its plan as far as they came with it.
type membershipReceived struct {
	membership *membership.Membership
	settings   map[string][]byte
}

func (m membershipReceived) handle(f *Fleet) { f.adoptMembership(m.membership, m.settings) }

// membershipRequested tells that another member wants the present membership.
type membershipRequested struct{ from string }

func (m membershipRequested) handle(f *Fleet) { f.sendMembership(m.from) }

// settingsRequested tells that another member wants settings.
type settingsRequested struct {
	from   takeover.Member
	digest []byte
}

func (m settingsRequested) handle(f *Fleet) { f.handleSettingsRequest(m.from, m.digest) }

// settingsReceived brings settings that this member has requested.
type settingsReceived struct{ text []byte }

func (m settingsReceived) handle(f *Fleet) { f.handleSettings(m.text) }

// settingsApplyFinished tells whether a version could be applied.
type settingsApplyFinished struct {
	version rollout.Version
	err     error
}

func (m settingsApplyFinished) handle(f *Fleet) { f.onApplied(m.version, m.err) }
