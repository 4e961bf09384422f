// Package faultinjection runs several real processes of the program, injects faults, and evaluates what became of the requests.
//
// It starts the built program with its own servers, discovery, clients and links between members, all on loopback. The verdict rests on
// the records of clients and servers alone, never on what the program counts or logs.
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

// FaultKind is the kind of a fault; the values are those of stored timelines.
type FaultKind string

// Kinds of faults.
const (
	Kill        FaultKind = "kill"      // SIGKILL; restarted when the fault ends, unless DurationMs is 0
	Stop        FaultKind = "stop"      // SIGSTOP; continued when it ends
	Terminate   FaultKind = "term"      // SIGTERM; started again once it has ended
	RestartLoop FaultKind = "loop"      // killed and restarted every IntervalMs
	Upgrade     FaultKind = "upgrade"   // a second process takes over, and SIGTERM ends the first
	Partition   FaultKind = "cut"       // a link silently carries nothing
	Delay       FaultKind = "delay"     // each frame of a link is delayed by DelayMs
	Throttle    FaultKind = "throttle"  // a link carries BytesPerSecond
	Reset       FaultKind = "reset"     // the open connections of a link are reset once
	HalfOpen    FaultKind = "half_open" // the far end of a link's connections closes while the near end stays open and is read
	FrameFaults FaultKind = "frames"    // frames of a link are lost, duplicated and reordered
)

// onLink reports whether a kind affects the link between two members.
func (k FaultKind) onLink() bool {
	return k == Partition || k == Delay || k == Throttle || k == Reset || k == HalfOpen || k == FrameFaults
}

// Fault is one fault of a timeline.
type Fault struct {
	AtMs           int64     `json:"at_ms"`            // after the first request
	DurationMs     int64     `json:"for_ms,omitempty"` // 0: until the end of the timeline
	Kind           FaultKind `json:"kind"`
	Process        int       `json:"who"`            // index of the process, or of the sending end of a link
	Peer           int       `json:"to,omitempty"`   // index of the receiving end of a link
	BothWays       bool      `json:"both,omitempty"` // the opposite link too
	IntervalMs     int64     `json:"every_ms,omitempty"`
	DelayMs        int64     `json:"by_ms,omitempty"`
	BytesPerSecond int64     `json:"bytes_per_s,omitempty"`
	LossShare      float64   `json:"lose,omitempty"` // share of frames, 0 to 1, as the next two
	DuplicateShare float64   `json:"double,omitempty"`
	ReorderShare   float64   `json:"swap,omitempty"`
}

// ClassShare is the share of a request class.
type ClassShare struct {
	Class string `json:"class"` // look (safe), make (with an idempotency key), once (unsafe)
	Share int    `json:"share"` // relative to the sum of all shares
}

// ServerConfig is one test server of unlimited concurrency.
type ServerConfig struct {
	MinMs int64 `json:"least_ms"` // service time, uniformly distributed up to MaxMs
	MaxMs int64 `json:"most_ms"`
}

// Disk is the condition of a process's state directory.
type Disk string

// Conditions of a state directory.
const (
	WritableDisk Disk = ""
	ReadOnlyDisk Disk = "read_only"
	FullDisk     Disk = "full"
)

// Timeline is one experiment: processes, workload, faults and operators' steps. The JSON keys are those of stored timelines.
type Timeline struct {
	Seed           uint64         `json:"seed"`
	Note           string         `json:"note,omitempty"`
	Processes      int            `json:"processes"`
	Fleet          bool           `json:"fleet"` // the processes form a fleet with takeover
	LengthMs       int64          `json:"length_ms"`
	PerSecond      int            `json:"per_second"` // requests a second of all clients together
	DeadlineMs     int64          `json:"deadline_ms"`
	SilenceMs      int64          `json:"silence_ms"`          // without a response, after which a client tries another member
	KeepOpen       bool           `json:"keep_open,omitempty"` // the silent attempt stays open beside the next
	RepeatShare    float64        `json:"doubt,omitempty"`     // share of requests that are repeated at another member after their response
	DuplicateShare float64        `json:"twins,omitempty"`     // share of requests that are sent to two members at once
	LargeShare     float64        `json:"big,omitempty"`       // share of requests with an effect whose body and response are large
	Servers        []ServerConfig `json:"servers"`
	Workload       []ClassShare   `json:"work"`
	LeaseMs        int64          `json:"lease_ms,omitempty"` // 0: the program's default
	Disks          []Disk         `json:"disks,omitempty"`    // by process index
	Strict         []string       `json:"strict,omitempty"`   // classes that are rejected where no quorum of replicas answers
	Faults         []Fault        `json:"faults"`
	Audit          bool           `json:"audit,omitempty"`     // the fleet keeps an audit log and rolls out versions
	Steps          []Step         `json:"steps,omitempty"`     // operators' commands; need Audit
	InMemory       bool           `json:"in_memory,omitempty"` // the audit log is not written to disk
}

// Step is one command of an operator.
type Step struct {
	AtMs             int64        `json:"at_ms"`
	Action           string       `json:"do"`  // rollout, hold, back, out, readmit
	Via              int          `json:"via"` // index of the member that the command is sent to first
	Settings         SettingsKind `json:"file,omitempty"`
	Number           uint64       `json:"number,omitempty"` // with back
	Member           int          `json:"who,omitempty"`    // with out and readmit
	Share            int          `json:"share,omitempty"`  // thousandths, with rollout
	SettleMs         int64        `json:"settle_ms,omitempty"`
	GraceMs          int64        `json:"grace_ms,omitempty"`
	RejectingMembers []int        `json:"refusers,omitempty"` // members whose own file has a key that this version lacks, so that they reject it
}

// SettingsKind is the kind of settings in a version.
type SettingsKind string

// Kinds of settings in a version.
const (
	ValidSettings      SettingsKind = ""        // valid, as before
	DegradingSettings  SettingsKind = "falls"   // deadlines so short that all requests time out
	UnknownKeySettings SettingsKind = "unknown" // a key that members do not know
)

var commandKinds = map[string]rollout.Kind{
	"rollout": rollout.RollOut, "hold": rollout.Pause, "back": rollout.Rollback, "out": rollout.Exclude, "readmit": rollout.Readmit,
}

// Bounds of a timeline.
const (
	maxProcesses = 32
	maxLength    = 10 * time.Minute
	maxPerSecond = 5000
	maxFaults    = 200
)

// Validate returns all faults of the timeline, joined, each with its key.
func (t *Timeline) Validate() error {
	var faults []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	check(t.Processes >= 1 && t.Processes <= maxProcesses, "processes: %d is not within 1 to %d", t.Processes, maxProcesses)
	check(t.LengthMs >= 1 && t.LengthMs <= maxLength.Milliseconds(), "length_ms: %d is not within 1 to %d", t.LengthMs, maxLength.Milliseconds())
	check(t.PerSecond >= 1 && t.PerSecond <= maxPerSecond, "per_second: %d is not within 1 to %d", t.PerSecond, maxPerSecond)
	check(t.DeadlineMs >= 100 && t.DeadlineMs <= 60_000, "deadline_ms: %d is not within 100 to 60000", t.DeadlineMs)
	check(t.SilenceMs >= 10 && t.SilenceMs <= t.DeadlineMs, "silence_ms: %d is not within 10 to the deadline", t.SilenceMs)
	check(t.LeaseMs == 0 || t.LeaseMs >= 100 && t.LeaseMs <= 10_000, "lease_ms: %d is not within 100 to 10000", t.LeaseMs)
	for _, s := range []float64{t.RepeatShare, t.DuplicateShare, t.LargeShare} {
		check(s >= 0 && s <= 1, "doubt, twins, big: %v is no share", s)
	}
	check(len(t.Servers) > 0, "servers: none")
	for i, s := range t.Servers {
		check(s.MinMs >= 0 && s.MaxMs >= s.MinMs, "servers[%d]: %d to %d ms is no range", i, s.MinMs, s.MaxMs)
	}
	shares := 0
	for i, w := range t.Workload {
		check(slices.ContainsFunc(classes, func(c class) bool { return c.name == w.Class }), "work[%d].class: %q is none of look, make, once", i, w.Class)
		check(w.Share >= 0, "work[%d].share: negative", i)
		shares += max(0, w.Share)
	}
	check(shares > 0, "work: no shares")
	check(len(t.Disks) <= t.Processes, "disks: %d for %d processes", len(t.Disks), t.Processes)
	for i, d := range t.Disks {
		check(d == WritableDisk || d == ReadOnlyDisk || d == FullDisk, "disks[%d]: %q is none of read_only, full", i, d)
	}
	check(t.Fleet || !t.Audit, "audit: needs a fleet")
	check(t.Audit || len(t.Steps) == 0, "steps: need audit")
	for i, s := range t.Steps {
		check(commandKinds[s.Action] != 0, "steps[%d].do: %q is none of rollout, hold, back, out, readmit", i, s.Action)
		check(s.AtMs >= 0 && s.Via >= 0 && s.Via < t.Processes && s.Member >= 0 && s.Member < t.Processes, "steps[%d]: no such time or member", i)
		check(s.Action != "rollout" || s.Share >= 1 && s.Share <= rollout.FullSharePermille, "steps[%d].share: %d is not within 1 to %d", i, s.Share, rollout.FullSharePermille)
		check(s.Settings == ValidSettings || s.Settings == DegradingSettings || s.Settings == UnknownKeySettings, "steps[%d].file: %q is none of falls, unknown", i, s.Settings)
		for _, who := range s.RejectingMembers {
			check(who >= 0 && who < t.Processes, "steps[%d].refusers: %d is no member", i, who)
		}
	}
	check(len(t.Faults) <= maxFaults, "faults: %d, at most %d", len(t.Faults), maxFaults)
	for i, f := range t.Faults {
		if err := f.validate(t.Processes); err != nil {
			faults = append(faults, fmt.Errorf("faults[%d]: %w", i, err))
		}
	}
	return errors.Join(faults...)
}

func (f *Fault) validate(processes int) error {
	part := func(x float64) bool { return x >= 0 && x <= 1 }
	switch f.Kind {
	case Kill, Stop, Terminate, Upgrade, Partition, Reset, HalfOpen:
	case RestartLoop:
		if f.IntervalMs < 50 {
			return fmt.Errorf("loop: every_ms %d is under 50", f.IntervalMs)
		}
	case Delay:
		if f.DelayMs <= 0 {
			return fmt.Errorf("delay: by_ms %d", f.DelayMs)
		}
	case Throttle:
		if f.BytesPerSecond <= 0 {
			return fmt.Errorf("throttle: bytes_per_s %d", f.BytesPerSecond)
		}
	case FrameFaults:
		if !part(f.LossShare) || !part(f.DuplicateShare) || !part(f.ReorderShare) {
			return errors.New("frames: a share is not within 0 to 1")
		}
	default:
		return fmt.Errorf("%q is no kind of fault", f.Kind)
	}
	switch {
	case f.AtMs < 0 || f.DurationMs < 0:
		return fmt.Errorf("%s: negative time", f.Kind)
	case f.Process < 0 || f.Process >= processes:
		return fmt.Errorf("%s: who %d is none of %d processes", f.Kind, f.Process, processes)
	case f.Kind.onLink() && (f.Peer < 0 || f.Peer >= processes || f.Peer == f.Process):
		return fmt.Errorf("%s: no link from %d to %d", f.Kind, f.Process, f.Peer)
	}
	return nil
}

// ReadTimeline reads a timeline from a JSON file; unknown keys are an error.
func ReadTimeline(path string) (*Timeline, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	in := json.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	t := new(Timeline)
	if err := in.Decode(t); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := t.Validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return t, nil
}

// Write writes the timeline as JSON, for Read.
func (t *Timeline) Write(path string) error {
	text, err := json.MarshalIndent(t, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
