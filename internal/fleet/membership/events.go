package membership

// Names of log events.
const (
	eventLeaderElected       = "fleet_leader_elected"
	eventMembershipChanged   = "fleet_membership_changed"
	eventEvicting            = "fleet_member_evicting"
	eventCommandProposed     = "fleet_command_proposed"
	eventCommandApplied      = "fleet_command_applied"
	eventEntryUnreadable     = "fleet_log_entry_unreadable"
	eventRaftMessageRejected = "fleet_raft_message_rejected"
	eventRaftError           = "fleet_raft_error"
	eventWriteFailed         = "fleet_log_write_failed"
	eventWriteRecovered      = "fleet_log_write_recovered"
)
