// Package faultinjection runs several processes of the sidecar, injects faults, and checks that no request is lost, executed twice
// or answered incorrectly.
//
// It starts the built program together with test servers, a discovery service, clients and the links between members, all on
// loopback. The evaluation relies on the records of clients and servers alone, never on counters or logs of the program.
package faultinjection

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"damsonscale/internal/rollout"
)

// FaultKind is the kind of a fault. Its values are part of the format of stored timelines.
type FaultKind string

// Kinds of faults. Each fault lasts for DurationMs, except where a comment states otherwise.
const (
	Kill        FaultKind = "kill"      // SIGKILL; the process is restarted when the fault ends, unless DurationMs is 0
	Stop        FaultKind = "stop"      // SIGSTOP; the process is continued when the fault ends
	Terminate   FaultKind = "term"      // SIGTERM; the process is restarted as soon as it has exited, whatever DurationMs is
	RestartLoop FaultKind = "loop"      // the process is killed and restarted every IntervalMs
	Upgrade     FaultKind = "upgrade"   // a second process takes over the listener, then SIGTERM ends the first, whatever DurationMs is
	Partition   FaultKind = "cut"       // a link transfers nothing, and its connections stay open
	Delay       FaultKind = "delay"     // each frame on a link is delayed by DelayMs
	Throttle    FaultKind = "throttle"  // a link transfers at most BytesPerSecond
	Reset       FaultKind = "reset"     // the open connections of a link are reset when the fault starts; new connections are not
	HalfOpen    FaultKind = "half_open" // the receiver's end of each open connection is closed, while the sender's end stays open and is read
	FrameFaults FaultKind = "frames"    // frames on a link are lost, duplicated and reordered
)

// onLink reports whether faults of the kind affect a link between two members rather than a process.
func (k FaultKind) onLink() bool {
	return k == Partition || k == Delay || k == Throttle || k == Reset || k == HalfOpen || k == FrameFaults
}

// Fault is one fault of a timeline.
type Fault struct {
	AtMs           int64     `json:"at_ms"`            // start of the fault, from the first request on
	DurationMs     int64     `json:"for_ms,omitempty"` // length of the fault; 0: until the end of the timeline, but no restart at all for RestartLoop
	Kind           FaultKind `json:"kind"`
	Process        int       `json:"who"`                   // index of the process, or of the sender on a link
	Peer           int       `json:"to,omitempty"`          // index of the receiver on a link
	BothWays       bool      `json:"both,omitempty"`        // whether the link in the opposite direction is affected too
	IntervalMs     int64     `json:"every_ms,omitempty"`    // between two restarts, for RestartLoop
	DelayMs        int64     `json:"by_ms,omitempty"`       // for Delay
	BytesPerSecond int64     `json:"bytes_per_s,omitempty"` // for Throttle
	LossShare      float64   `json:"lose,omitempty"`        // share of frames that are lost, 0 to 1, for FrameFaults
	DuplicateShare float64   `json:"double,omitempty"`      // share of frames that are duplicated, 0 to 1, for FrameFaults
	ReorderShare   float64   `json:"swap,omitempty"`        // share of frames that are swapped with the next, 0 to 1, for FrameFaults
}

// ClassShare is the share of the requests that belong to a request class.
type ClassShare struct {
	Class string `json:"class"` // look (safe), make (unsafe, with an idempotency key) or once (unsafe, executed at most once)
	Share int    `json:"share"` // relative to the sum of the shares of all classes
}

// ServerConfig configures one test server, which serves any number of requests concurrently.
type ServerConfig struct {
	MinMs int64 `json:"least_ms"` // lower bound of the service time, which is uniformly distributed
	MaxMs int64 `json:"most_ms"`  // upper bound of the service time
}

// Disk is the condition of the disk that holds the state directory of a process.
type Disk string

// Conditions of the disk.
const (
	WritableDisk Disk = ""
	ReadOnlyDisk Disk = "read_only"
	FullDisk     Disk = "full"
)

// Timeline describes one experiment: processes, servers, workload, faults and commands of operators. Its JSON keys are part of the
// format of stored timelines.
type Timeline struct {
	Seed           uint64         `json:"seed"`
	Note           string         `json:"note,omitempty"`
	Processes      int            `json:"processes"`
	Fleet          bool           `json:"fleet"` // whether the processes form a fleet with takeover
	LengthMs       int64          `json:"length_ms"`
	PerSecond      int            `json:"per_second"`          // requests per second that all clients send together
	DeadlineMs     int64          `json:"deadline_ms"`         // of each request
	SilenceMs      int64          `json:"silence_ms"`          // time without a response after which a client retries at another member
	KeepOpen       bool           `json:"keep_open,omitempty"` // whether the attempt without a response stays open while the client retries
	RepeatShare    float64        `json:"doubt,omitempty"`     // share of requests that the client resumes at another member after a response with status 200
	DuplicateShare float64        `json:"twins,omitempty"`     // share of requests that the client sends to two members at once
	LargeShare     float64        `json:"big,omitempty"`       // share of the unsafe requests whose body and response are large
	Servers        []ServerConfig `json:"servers"`
	Workload       []ClassShare   `json:"work"`
	LeaseMs        int64          `json:"lease_ms,omitempty"` // lease between members; 0: the default of the program
	Disks          []Disk         `json:"disks,omitempty"`    // by process index
	Strict         []string       `json:"strict,omitempty"`   // classes whose requests are rejected if no quorum of replicas answers
	Faults         []Fault        `json:"faults"`
	Audit          bool           `json:"audit,omitempty"`     // whether the fleet writes an audit log and accepts rollout commands
	Steps          []Step         `json:"steps,omitempty"`     // commands of operators; they need Audit
	InMemory       bool           `json:"in_memory,omitempty"` // whether the audit log is kept in memory only
}

// Step is one command of an operator.
type Step struct {
	AtMs             int64        `json:"at_ms"`               // from the first request on
	Action           string       `json:"do"`                  // rollout, hold, back, out, readmit
	Via              int          `json:"via"`                 // index of the member that gets the command first
	Settings         SettingsKind `json:"file,omitempty"`      // settings that rollout sends
	Number           uint64       `json:"number,omitempty"`    // version that back returns to
	Member           int          `json:"who,omitempty"`       // index of the member that out excludes or readmit readmits
	Share            int          `json:"share,omitempty"`     // share of the members that are canaries, in thousandths, for rollout
	SettleMs         int64        `json:"settle_ms,omitempty"` // how long all canaries must run the version before it is promoted
	GraceMs          int64        `json:"grace_ms,omitempty"`  // time from the promotion of the version to the fence
	RejectingMembers []int        `json:"refusers,omitempty"`  // members that reject this version and every other version of the timeline: their own settings have a key that no version has
}

// SettingsKind selects the settings that a rollout sends.
type SettingsKind string

// Kinds of settings.
const (
	ValidSettings      SettingsKind = ""        // valid settings, equal to those the members started with except for one value
	DegradingSettings  SettingsKind = "falls"   // valid settings whose deadlines are so short that all requests time out
	UnknownKeySettings SettingsKind = "unknown" // settings with a key that no member knows
)

var commandKinds = map[string]rollout.Kind{
	"rollout": rollout.RollOut, "hold": rollout.Pause, "back": rollout.Rollback, "out": rollout.Exclude, "readmit": rollout.Readmit,
}

// Upper bounds of a timeline.
const (
	maxProcesses = 32
	maxLength    = 10 * time.Minute
	maxPerSecond = 5000
	maxFaults    = 200
)

// Validate returns all invalid values of the timeline as one joined error. Each message starts with the JSON key of the value.
func (t *Timeline) Validate() error {
	var errs []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	check(t.Processes >= 1 && t.Processes <= maxProcesses, "processes: got %d, want 1 to %d", t.Processes, maxProcesses)
	check(t.LengthMs >= 1 && t.LengthMs <= maxLength.Milliseconds(), "length_ms: got %d, want 1 to %d", t.LengthMs, maxLength.Milliseconds())
	check(t.PerSecond >= 1 && t.PerSecond <= maxPerSecond, "per_second: got %d, want 1 to %d", t.PerSecond, maxPerSecond)
	check(t.DeadlineMs >= 100 && t.DeadlineMs <= 60_000, "deadline_ms: got %d, want 100 to 60000", t.DeadlineMs)
	check(t.SilenceMs >= 10 && t.SilenceMs <= t.DeadlineMs, "silence_ms: got %d, want 10 up to deadline_ms", t.SilenceMs)
	check(t.LeaseMs == 0 || t.LeaseMs >= 100 && t.LeaseMs <= 10_000, "lease_ms: got %d, want 0 or 100 to 10000", t.LeaseMs)
	for _, s := range []float64{t.RepeatShare, t.DuplicateShare, t.LargeShare} {
		check(s >= 0 && s <= 1, "doubt, twins, big: got a share of %v, want 0 to 1", s)
	}
	check(len(t.Servers) > 0, "servers: got none, want at least one")
	for i, s := range t.Servers {
		check(s.MinMs >= 0 && s.MaxMs >= s.MinMs, "servers[%d]: got least_ms %d and most_ms %d, want 0 <= least_ms <= most_ms", i, s.MinMs, s.MaxMs)
	}
	shares := 0
	for i, w := range t.Workload {
		check(slices.ContainsFunc(classes, func(c class) bool { return c.name == w.Class }), "work[%d].class: got %q, want look, make or once", i, w.Class)
		check(w.Share >= 0, "work[%d].share: got a negative share, want at least 0", i)
		shares += max(0, w.Share)
	}
	check(shares > 0, "work: all shares are 0 or none is given, want one above 0")
	check(len(t.Disks) <= t.Processes, "disks: got %d disks, want at most one for each of %d processes", len(t.Disks), t.Processes)
	for i, d := range t.Disks {
		check(d == WritableDisk || d == ReadOnlyDisk || d == FullDisk, "disks[%d]: got %q, want read_only, full or an empty text", i, d)
	}
	check(t.Fleet || !t.Audit, "audit: needs fleet to be true")
	check(t.Audit || len(t.Steps) == 0, "steps: need audit to be true")
	for i, s := range t.Steps {
		check(commandKinds[s.Action] != 0, "steps[%d].do: got %q, want rollout, hold, back, out or readmit", i, s.Action)
		check(s.AtMs >= 0 && s.Via >= 0 && s.Via < t.Processes && s.Member >= 0 && s.Member < t.Processes, "steps[%d]: at_ms is negative, or via or who is not the index of a process", i)
		check(s.Action != "rollout" || s.Share >= 1 && s.Share <= rollout.FullSharePermille, "steps[%d].share: got %d, want 1 to %d", i, s.Share, rollout.FullSharePermille)
		check(s.Settings == ValidSettings || s.Settings == DegradingSettings || s.Settings == UnknownKeySettings, "steps[%d].file: got %q, want falls, unknown or an empty text", i, s.Settings)
		for _, member := range s.RejectingMembers {
			check(member >= 0 && member < t.Processes, "steps[%d].refusers: got %d, want the index of a process", i, member)
		}
	}
	check(len(t.Faults) <= maxFaults, "faults: got %d, want at most %d", len(t.Faults), maxFaults)
	for i, f := range t.Faults {
		if err := f.validate(t.Processes); err != nil {
			errs = append(errs, fmt.Errorf("faults[%d]: %w", i, err))
		}
	}
	return errors.Join(errs...)
}

func (f *Fault) validate(processes int) error {
	isShare := func(x float64) bool { return x >= 0 && x <= 1 }
	switch f.Kind {
	case Kill, Stop, Terminate, Upgrade, Partition, Reset, HalfOpen:
	case RestartLoop:
		if f.IntervalMs < 50 {
			return fmt.Errorf("loop: got every_ms %d, want at least 50", f.IntervalMs)
		}
	case Delay:
		if f.DelayMs <= 0 {
			return fmt.Errorf("delay: got by_ms %d, want more than 0", f.DelayMs)
		}
	case Throttle:
		if f.BytesPerSecond <= 0 {
			return fmt.Errorf("throttle: got bytes_per_s %d, want more than 0", f.BytesPerSecond)
		}
	case FrameFaults:
		if !isShare(f.LossShare) || !isShare(f.DuplicateShare) || !isShare(f.ReorderShare) {
			return errors.New("frames: got a share in lose, double or swap that is not within 0 to 1")
		}
	default:
		return fmt.Errorf("kind: %q is not a fault kind", f.Kind)
	}
	switch {
	case f.AtMs < 0 || f.DurationMs < 0:
		return fmt.Errorf("%s: at_ms or for_ms is negative", f.Kind)
	case f.Process < 0 || f.Process >= processes:
		return fmt.Errorf("%s: got who %d, want the index of one of %d processes", f.Kind, f.Process, processes)
	case f.Kind.onLink() && (f.Peer < 0 || f.Peer >= processes || f.Peer == f.Process):
		return fmt.Errorf("%s: there is no link from process %d to process %d", f.Kind, f.Process, f.Peer)
	}
	return nil
}

// ReadTimeline reads and validates a timeline from a JSON file. A key that it does not know is an error.
func ReadTimeline(path string) (*Timeline, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	t := new(Timeline)
	if err := decoder.Decode(t); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := t.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return t, nil
}

// Write writes the timeline to a JSON file that ReadTimeline can read.
func (t *Timeline) Write(path string) error {
	text, err := json.MarshalIndent(t, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
