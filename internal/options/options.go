// Package options reads the options file of a sidecar's fleet, takeover and audit features, which is separate from the
// platform's configuration. No other package knows the keys of the file.
package options

import "time"

// EnvVar is the environment variable with the path of the options file. If it is empty, the sidecar is in no fleet.
const EnvVar = "DAMSONSCALE_OPTIONS"

// Options are the contents of the options file, with defaults for absent keys.
type Options struct {
	Fleet    Fleet
	Takeover Takeover
	Audit    Audit
}

// Fleet is the table [fleet]: the members of the fleet, and the address, state directory and leases of this member.
type Fleet struct {
	// Address (address) is the address:port on which this member listens for other members. Default: empty, no fleet.
	Address string
	// Members (members) are all members, including this one: at most 1024, with unique names and addresses.
	Members []Member
	// StateDir (state_dir) is the directory in which the membership log is stored. Required in a fleet.
	StateDir string
	// LeaseDuration (lease_ms) is the time for which a lease is valid after the member has requested it. Range: 100 ms
	// to 10 s. Default: 600 ms.
	LeaseDuration time.Duration
}

// Member is a sidecar of the fleet.
type Member struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// ReplicationPolicy determines how requests of a class are handled while their replicas are unreachable.
type ReplicationPolicy string

// Replication policies, with their names in the file.
const (
	NoReplication         ReplicationPolicy = "none"        // requests are never replicated
	BestEffortReplication ReplicationPolicy = "best_effort" // requests proceed without replication, and the sidecar counts them
	StrictReplication     ReplicationPolicy = "strict"      // requests are rejected before anything is sent
)

// Takeover is the table [takeover]: how other members complete the requests in flight of a member that fails.
type Takeover struct {
	// Enabled (enabled) turns takeover on. Requires fleet.address. Default: false.
	Enabled bool
	// Replicas (holders) is the number of members that store the record of a request: an odd number from 1 to 7, at
	// most the number of members. Default: 3.
	Replicas int
	// AnswerRetention (keep_answers_ms) is the time for which an answer is kept for a client that repeats the request.
	// Range: 100 ms to 10 min. Default: 10 s.
	AnswerRetention time.Duration
	// MaxRequestDuration (longest_ms) is the maximum time for which a request is replicated. Range: 100 ms to 10 min.
	// Default: 0, which stands for the longest deadline of all classes.
	MaxRequestDuration time.Duration
	// MaxRecords (records) is the maximum number of records stored for other members. Range: 1 to 10,000,000.
	// Default: 20,000.
	MaxRecords int
	// MaxBytes (bytes) is the maximum size of the requests and answers stored for other members. Range: 1 KiB to
	// 16 GiB. Default: 32 MiB.
	MaxBytes int
	// PolicyByClass ([takeover.custody]) maps classes to policies. The default of a class follows from its semantics:
	// none if requests are idempotent, best_effort if they have an idempotency key, strict otherwise.
	PolicyByClass map[string]ReplicationPolicy
}

// Audit is the table [audit]: this member's audit trail, and rollouts of settings.
type Audit struct {
	// Enabled (enabled) turns the audit trail on. Requires takeover.enabled, and must be equal at all members.
	// Default: false.
	Enabled bool
	// SegmentReplicas (holders) is the number of other members that store each segment. Range: 0 to 6. Default: 2.
	SegmentReplicas int
	// MaxMemoryBytes (bytes) is the maximum size of the segments in memory, of this member and of others. Range: 64 KiB
	// to 16 GiB. Default: 16 MiB.
	MaxMemoryBytes int
	// SegmentDir (dir) is the directory in which segments are stored. Default: empty, segments are kept in memory only.
	SegmentDir string
	// MaxDiskBytes (disk_bytes) is the maximum size of the segments in SegmentDir. Range: 1 MiB to 1 TiB.
	// Default: 256 MiB.
	MaxDiskBytes int
	// MaxUnleasedPermille (most_out, in the file a share from 0 to 1) is the share of members, in thousandths, up to
	// which a fence or an exclusion may leave members without a lease. Default: 340.
	MaxUnleasedPermille int
}
