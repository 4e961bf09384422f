// Package options reads the project's own options file, apart from the platform's configuration. The keys of the file
// are translated to the fields of Options here and nowhere else.
package options

import "time"

// EnvVar names the environment variable that holds the path of the options file. Without it there is no fleet.
const EnvVar = "DAMSONSCALE_OPTIONS"

// Options are the contents of the file, with defaults filled in.
type Options struct {
	Fleet    Fleet
	Takeover Takeover
	Audit    Audit
}

// Fleet is the table [fleet]: which sidecars belong together.
type Fleet struct {
	// Address (address) is the address:port at which this member listens for others. Default: empty, no fleet.
	Address string
	// Members (members) are all members, this one too, at most 1024 with names and addresses of their own.
	Members []Member
	// StateDir (state_dir) is the directory that keeps the membership log over a restart. Required in a fleet.
	StateDir string
	// LeaseDuration (lease_ms) is how long a member may act after it has asked for its lease. Range: 100 ms to 10 s.
	// Default: 600 ms.
	LeaseDuration time.Duration
}

// Member is one sidecar of the fleet.
type Member struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// ReplicationPolicy is what happens to a class's requests while their replicas can't be reached.
type ReplicationPolicy string

// Policies, as the file names them.
const (
	NoReplication         ReplicationPolicy = "none"        // requests are never replicated
	BestEffortReplication ReplicationPolicy = "best_effort" // a request proceeds without replication, and is counted
	StrictReplication     ReplicationPolicy = "strict"      // a request is rejected before anything is sent
)

// Takeover is the table [takeover]: how requests in flight outlive the member that serves them.
type Takeover struct {
	// Enabled (enabled) needs fleet.address. Default: false.
	Enabled bool
	// Replicas (holders) is how many members keep each record: an odd number from 1 to 7, at most the number of
	// members. Default: 3.
	Replicas int
	// AnswerRetention (keep_answers_ms) is how long an answer is kept for a client that asks again. Range: 100 ms to
	// 10 min. Default: 10 s.
	AnswerRetention time.Duration
	// MaxRequestDuration (longest_ms) is the longest time for which a request is replicated. Range: 100 ms to 10 min.
	// Default: 0, the longest deadline of a class.
	MaxRequestDuration time.Duration
	// MaxRecords (records) is how many records are kept for other members. Range: 1 to 10,000,000. Default: 20,000.
	MaxRecords int
	// MaxBytes (bytes) bounds the requests and answers kept for other members. Range: 1 KiB to 16 GiB.
	// Default: 32 MiB.
	MaxBytes int
	// PolicyByClass ([takeover.custody]) names the policy of a class; other classes go by their semantics: none where a
	// request is idempotent, best_effort where it has an idempotency key, strict otherwise.
	PolicyByClass map[string]ReplicationPolicy
}

// Audit is the table [audit]: the audit log of this member, and versions of the settings.
type Audit struct {
	// Enabled (enabled) needs takeover.enabled, and the same value at all members. Default: false.
	Enabled bool
	// SegmentReplicas (holders) is how many other members keep each segment. Range: 0 to 6. Default: 2.
	SegmentReplicas int
	// MaxMemoryBytes (bytes) bounds the segments kept in memory, this member's and others'. Range: 64 KiB to 16 GiB.
	// Default: 16 MiB.
	MaxMemoryBytes int
	// SegmentDir (dir) is the directory that keeps segments over a restart. Default: empty, memory alone.
	SegmentDir string
	// MaxDiskBytes (disk_bytes) bounds the segments in SegmentDir. Range: 1 MiB to 1 TiB. Default: 256 MiB.
	MaxDiskBytes int
	// MaxUnleasedPermille (most_out, a share from 0 to 1 in the file) is how many thousandths of all members may be
	// without a lease because of a fence or an excluded member. Default: 340.
	MaxUnleasedPermille int
}
