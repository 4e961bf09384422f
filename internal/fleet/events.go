package fleet

// Names of log events.
const (
	eventStarted              = "fleet_started"
	eventAddressListening     = "fleet_configured_address_listening"
	eventVotingUnavailable    = "fleet_voting_unavailable"
	eventLeaseGranted         = "fleet_lease_granted"
	eventEvicted              = "fleet_evicted"
	eventRejoinFailed         = "fleet_rejoin_failed"
	eventExclusionChanged     = "fleet_exclusion_changed"
	eventSettingsRejected     = "fleet_settings_rejected"
	eventEncodeFailed         = "fleet_encode_failed"
	eventTakeoverCounts       = "takeover_counts"
	eventTakeoverStarted      = "takeover_started"
	eventTakeoverFailed       = "takeover_failed"
	eventRequestNotStored     = "takeover_request_not_stored"
	eventSegmentLost          = "audit_segment_lost"
	eventSegmentsUnreplicated = "audit_segments_unreplicated"
)
