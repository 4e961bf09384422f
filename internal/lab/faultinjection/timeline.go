// Package faultinjection plays faults on several real processes of the program and judges what became of the requests.
//
// It starts the built program with servers, discovery, clients and links of its own, all on loopback, and judges by
// the clients' records and the servers' tallies alone, never by what the program counts or logs.
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

// Kind is what a fault does.
type Kind string

const (
	Kill     Kind = "kill"      // SIGKILL; started again when the fault ends, unless For is 0
	Stop     Kind = "stop"      // SIGSTOP; continued when it ends
	Term     Kind = "term"      // SIGTERM; started again once it has ended
	Loop     Kind = "loop"      // killed and started again every Every
	Upgrade  Kind = "upgrade"   // a second process starts beside it, and SIGTERM ends the first
	Cut      Kind = "cut"       // a link carries nothing and says nothing
	Delay    Kind = "delay"     // each frame of a link comes By later
	Throttle Kind = "throttle"  // a link carries so many bytes a second
	Reset    Kind = "reset"     // a link's connections are reset once, new ones are not
	HalfOpen Kind = "half_open" // the far end of a link's connections goes, the near one stays open and is read
	Frames   Kind = "frames"    // frames of a link are lost, doubled and swapped
)

// ofLink tells whether a kind acts on the link between two members.
func (k Kind) ofLink() bool {
	return k == Cut || k == Delay || k == Throttle || k == Reset || k == HalfOpen || k == Frames
}

// Fault is one thing that breaks for a while.
type Fault struct {
	AtMs    int64   `json:"at_ms"`            // from the first request on
	ForMs   int64   `json:"for_ms,omitempty"` // 0: to the end
	Kind    Kind    `json:"kind"`
	Who     int     `json:"who"`            // the process, from 0, or the sending end of a link
	To      int     `json:"to,omitempty"`   // the receiving end of a link
	Both    bool    `json:"both,omitempty"` // the link's other way too
	EveryMs int64   `json:"every_ms,omitempty"`
	ByMs    int64   `json:"by_ms,omitempty"`
	Rate    int64   `json:"bytes_per_s,omitempty"`
	Lose    float64 `json:"lose,omitempty"` // shares of frames
	Double  float64 `json:"double,omitempty"`
	Swap    float64 `json:"swap,omitempty"`
}

// Work is a class of requests.
type Work struct {
	Class string `json:"class"` // look (safe), make (keyed), once (unsafe)
	Share int    `json:"share"` // of all, in parts
}

// Server is one stand-in: it works on any number at once.
type Server struct {
	LeastMs int64 `json:"least_ms"` // of the time for a request, drawn evenly
	MostMs  int64 `json:"most_ms"`
}

// Disk is what a process finds where it keeps its state.
type Disk string

const (
	Writable Disk = ""
	ReadOnly Disk = "read_only"
	Full     Disk = "full"
)

// Timeline is one experiment: who is there, what they do, and what breaks when.
type Timeline struct {
	Seed       uint64   `json:"seed"`
	Note       string   `json:"note,omitempty"`
	Processes  int      `json:"processes"`
	Fleet      bool     `json:"fleet"` // the processes take work over from each other
	LengthMs   int64    `json:"length_ms"`
	PerSecond  int      `json:"per_second"` // requests, from all clients together
	DeadlineMs int64    `json:"deadline_ms"`
	SilenceMs  int64    `json:"silence_ms"`          // without an answer, after which a client asks another member
	KeepOpen   bool     `json:"keep_open,omitempty"` // it goes on listening to the one that was silent
	Doubt      float64  `json:"doubt,omitempty"`     // share of requests whose client asks another member again after its answer
	Twins      float64  `json:"twins,omitempty"`     // share of requests that are asked of two members in the same instant
	Big        float64  `json:"big,omitempty"`       // share of requests with an effect whose body and answer are long
	Servers    []Server `json:"servers"`
	Work       []Work   `json:"work"`
	LeaseMs    int64    `json:"lease_ms,omitempty"` // 0: the program's own
	Disks      []Disk   `json:"disks,omitempty"`    // by process
	Strict     []string `json:"strict,omitempty"`   // classes that are refused where no record can be kept
	Faults     []Fault  `json:"faults"`
	Audit      bool     `json:"audit,omitempty"`     // the fleet keeps account of its acts, and goes from version to version
	Steps      []Step   `json:"steps,omitempty"`     // of operators, with Audit
	InMemory   bool     `json:"in_memory,omitempty"` // the account is kept in memory alone
}

// Step is one order of an operator.
type Step struct {
	AtMs     int64  `json:"at_ms"`
	Do       string `json:"do"`  // rollout, hold, back, out, readmit
	Via      int    `json:"via"` // the member that is asked first
	File     File   `json:"file,omitempty"`
	Number   uint64 `json:"number,omitempty"` // with back
	Who      int    `json:"who,omitempty"`    // with out and readmit
	Share    int    `json:"share,omitempty"`  // thousandths, with rollout
	SettleMs int64  `json:"settle_ms,omitempty"`
	GraceMs  int64  `json:"grace_ms,omitempty"`
	Refusers []int  `json:"refusers,omitempty"` // members whose own file has a key that this version lacks
}

// File is what a version's settings are like.
type File string

const (
	Good    File = ""        // as those before, but for an aim
	Falls   File = "falls"   // all requests time out
	Unknown File = "unknown" // a key that no build knows
)

var orders = map[string]rollout.Kind{
	"rollout": rollout.RollOut, "hold": rollout.Pause, "back": rollout.Rollback, "out": rollout.Exclude, "readmit": rollout.Readmit,
}

// Bounds of a timeline.
const (
	mostProcesses = 32
	mostLength    = 10 * time.Minute
	mostPerSecond = 5000
	mostFaults    = 200
)

// Validate tells all that makes no sense.
func (t *Timeline) Validate() error {
	var faults []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	check(t.Processes >= 1 && t.Processes <= mostProcesses, "processes: %d is not within 1 to %d", t.Processes, mostProcesses)
	check(t.LengthMs >= 1 && t.LengthMs <= mostLength.Milliseconds(), "length_ms: %d is not within 1 to %d", t.LengthMs, mostLength.Milliseconds())
	check(t.PerSecond >= 1 && t.PerSecond <= mostPerSecond, "per_second: %d is not within 1 to %d", t.PerSecond, mostPerSecond)
	check(t.DeadlineMs >= 100 && t.DeadlineMs <= 60_000, "deadline_ms: %d is not within 100 to 60000", t.DeadlineMs)
	check(t.SilenceMs >= 10 && t.SilenceMs <= t.DeadlineMs, "silence_ms: %d is not within 10 to the deadline", t.SilenceMs)
	check(t.LeaseMs == 0 || t.LeaseMs >= 100 && t.LeaseMs <= 10_000, "lease_ms: %d is not within 100 to 10000", t.LeaseMs)
	for _, s := range []float64{t.Doubt, t.Twins, t.Big} {
		check(s >= 0 && s <= 1, "doubt, twins, big: %v is no share", s)
	}
	check(len(t.Servers) > 0, "servers: none")
	for i, s := range t.Servers {
		check(s.LeastMs >= 0 && s.MostMs >= s.LeastMs, "servers[%d]: %d to %d ms is no range", i, s.LeastMs, s.MostMs)
	}
	shares := 0
	for i, w := range t.Work {
		check(slices.ContainsFunc(classes, func(c class) bool { return c.name == w.Class }), "work[%d].class: %q is none of look, make, once", i, w.Class)
		check(w.Share >= 0, "work[%d].share: negative", i)
		shares += max(0, w.Share)
	}
	check(shares > 0, "work: no shares")
	check(len(t.Disks) <= t.Processes, "disks: %d for %d processes", len(t.Disks), t.Processes)
	for i, d := range t.Disks {
		check(d == Writable || d == ReadOnly || d == Full, "disks[%d]: %q is none of read_only, full", i, d)
	}
	check(t.Fleet || !t.Audit, "audit: needs a fleet")
	check(t.Audit || len(t.Steps) == 0, "steps: need audit")
	for i, s := range t.Steps {
		check(orders[s.Do] != 0, "steps[%d].do: %q is none of rollout, hold, back, out, readmit", i, s.Do)
		check(s.AtMs >= 0 && s.Via >= 0 && s.Via < t.Processes && s.Who >= 0 && s.Who < t.Processes, "steps[%d]: no such time or member", i)
		check(s.Do != "rollout" || s.Share >= 1 && s.Share <= rollout.FullShare, "steps[%d].share: %d is not within 1 to %d", i, s.Share, rollout.FullShare)
		check(s.File == Good || s.File == Falls || s.File == Unknown, "steps[%d].file: %q is none of falls, unknown", i, s.File)
		for _, who := range s.Refusers {
			check(who >= 0 && who < t.Processes, "steps[%d].refusers: %d is no member", i, who)
		}
	}
	check(len(t.Faults) <= mostFaults, "faults: %d, at most %d", len(t.Faults), mostFaults)
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
	case Kill, Stop, Term, Upgrade, Cut, Reset, HalfOpen:
	case Loop:
		if f.EveryMs < 50 {
			return fmt.Errorf("loop: every_ms %d is under 50", f.EveryMs)
		}
	case Delay:
		if f.ByMs <= 0 {
			return fmt.Errorf("delay: by_ms %d", f.ByMs)
		}
	case Throttle:
		if f.Rate <= 0 {
			return fmt.Errorf("throttle: bytes_per_s %d", f.Rate)
		}
	case Frames:
		if !part(f.Lose) || !part(f.Double) || !part(f.Swap) {
			return errors.New("frames: a share is not within 0 to 1")
		}
	default:
		return fmt.Errorf("%q is no kind of fault", f.Kind)
	}
	switch {
	case f.AtMs < 0 || f.ForMs < 0:
		return fmt.Errorf("%s: negative time", f.Kind)
	case f.Who < 0 || f.Who >= processes:
		return fmt.Errorf("%s: who %d is none of %d processes", f.Kind, f.Who, processes)
	case f.Kind.ofLink() && (f.To < 0 || f.To >= processes || f.To == f.Who):
		return fmt.Errorf("%s: no link from %d to %d", f.Kind, f.Who, f.To)
	}
	return nil
}

// Read reads a timeline from a file; unknown fields are an error.
func Read(path string) (*Timeline, error) {
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

// Write writes it, for a replay.
func (t *Timeline) Write(path string) error {
	text, err := json.MarshalIndent(t, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
