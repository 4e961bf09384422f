// Package options reads the project's own options, apart from the platform's configuration.
package options

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// EnvVar names the file of options. Without it nothing here acts.
const EnvVar = "DAMSONSCALE_OPTIONS"

const (
	maxFile    = 1 << 20 // bytes
	maxMembers = 1024
)

// Options is what the file says, with defaults.
type Options struct {
	Fleet    Fleet
	Takeover Takeover
	Audit    Audit
}

// Fleet tells who belongs together.
type Fleet struct {
	Address       string        // where this member listens for others; empty: no fleet
	Members       []Member      // all of them, this one too
	StateDir      string        // keeps the epoch log over a restart
	LeaseDuration time.Duration // for which a member may act once it has asked
}

// Member is one sidecar of the fleet.
type Member struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// ReplicationPolicy is what happens to a class's work while its holders can't be reached.
type ReplicationPolicy string

const (
	NoReplication         ReplicationPolicy = "none"        // no record is kept
	BestEffortReplication ReplicationPolicy = "best_effort" // the work goes on without one, counted
	StrictReplication     ReplicationPolicy = "strict"      // refused before anything was sent
)

// Takeover bounds what a member keeps for others.
type Takeover struct {
	Enabled            bool
	Replicas           int                          // of each record
	AnswerRetention    time.Duration                // after the answer
	MaxRequestDuration time.Duration                // that a request may be in custody; 0: as long as the longest deadline of a class
	MaxRecords         int                          // held for others at most
	MaxBytes           int                          // of requests and answers held for others
	PolicyByClass      map[string]ReplicationPolicy // by the name of the class; others go by what a repeat does
}

// Audit is what a member keeps account of, and by which version it may act.
type Audit struct {
	Enabled             bool
	SegmentReplicas     int    // of each segment of the account, beside the member itself
	MaxMemoryBytes      int    // of segments held here, for this member and for others
	SegmentDir          string // where segments are kept too; empty: in memory alone
	MaxDiskBytes        int    // of them there
	MaxUnleasedPermille int    // thousandths of all members that may be without a lease for a fence or a name shut out
}

// file is the layout of the file.
type file struct {
	Fleet struct {
		Address  string   `toml:"address"`
		Members  []Member `toml:"members"`
		StateDir string   `toml:"state_dir"`
		LeaseMs  *int64   `toml:"lease_ms"`
	} `toml:"fleet"`
	Takeover struct {
		Enabled       bool                         `toml:"enabled"`
		Holders       *int64                       `toml:"holders"`
		KeepAnswersMs *int64                       `toml:"keep_answers_ms"`
		LongestMs     *int64                       `toml:"longest_ms"`
		Records       *int64                       `toml:"records"`
		Bytes         *int64                       `toml:"bytes"`
		Custody       map[string]ReplicationPolicy `toml:"custody"`
	} `toml:"takeover"`
	Audit struct {
		Enabled   bool     `toml:"enabled"`
		Holders   *int64   `toml:"holders"`
		Bytes     *int64   `toml:"bytes"`
		Dir       string   `toml:"dir"`
		DiskBytes *int64   `toml:"disk_bytes"`
		MostOut   *float64 `toml:"most_out"`
	} `toml:"audit"`
}

// Load reads the file that the environment names; nil where it names none.
func Load(getenv func(string) string, name string) (*Options, error) {
	path := getenv(EnvVar)
	if path == "" {
		return nil, nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", EnvVar, err)
	}
	if info.Size() > maxFile {
		return nil, fmt.Errorf("%s: %s: %d bytes, at most %d are read", EnvVar, path, info.Size(), maxFile)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", EnvVar, err)
	}
	o, err := Parse(text, name)
	if err != nil {
		return nil, fmt.Errorf("%s: %s: %w", EnvVar, path, err)
	}
	return o, nil
}

// Parse reads options for the member of that name, or for an operator where it is empty. All faults found are told, each with its line and key.
func Parse(text []byte, name string) (*Options, error) {
	var f file
	in := toml.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	if err := in.Decode(&f); err != nil {
		return nil, readable(err)
	}
	r := reading{lines: linesOf(text)}
	o := &Options{
		Fleet: Fleet{
			Address: f.Fleet.Address, Members: f.Fleet.Members, StateDir: f.Fleet.StateDir,
			LeaseDuration: r.ms("fleet.lease_ms", f.Fleet.LeaseMs, 600, 100, 10_000),
		},
		Takeover: Takeover{
			Enabled:            f.Takeover.Enabled,
			Replicas:           int(r.number("takeover.holders", f.Takeover.Holders, 3, 1, 7)),
			AnswerRetention:    r.ms("takeover.keep_answers_ms", f.Takeover.KeepAnswersMs, 10_000, 100, 600_000),
			MaxRequestDuration: r.ms("takeover.longest_ms", f.Takeover.LongestMs, 0, 100, 600_000),
			MaxRecords:         int(r.number("takeover.records", f.Takeover.Records, 20_000, 1, 10_000_000)),
			MaxBytes:           int(r.number("takeover.bytes", f.Takeover.Bytes, 32<<20, 1<<10, 1<<34)),
			PolicyByClass:      f.Takeover.Custody,
		},
		Audit: Audit{
			Enabled:             f.Audit.Enabled,
			SegmentReplicas:     int(r.number("audit.holders", f.Audit.Holders, 2, 0, 6)),
			MaxMemoryBytes:      int(r.number("audit.bytes", f.Audit.Bytes, 16<<20, 64<<10, 1<<34)),
			SegmentDir:          f.Audit.Dir,
			MaxDiskBytes:        int(r.number("audit.disk_bytes", f.Audit.DiskBytes, 256<<20, 1<<20, 1<<40)),
			MaxUnleasedPermille: int(1000 * r.part("audit.most_out", f.Audit.MostOut, 0.34)),
		},
	}
	r.fleet(&o.Fleet, name)
	r.takeover(o)
	if o.Audit.Enabled && !o.Takeover.Enabled {
		r.wrong("audit.enabled", "needs takeover.enabled: what a member that is shut out had in hand is taken over")
	}
	return o, errors.Join(r.faults...)
}

// readable puts what the library says into one line a fault: line, key, reason.
func readable(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var all []error
		for i := range strict.Errors {
			e := &strict.Errors[i]
			line, _ := e.Position()
			all = append(all, fmt.Errorf("line %d: %s: unknown key", line, strings.Join(e.Key(), ".")))
		}
		return errors.Join(all...)
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		line, _ := wrong.Position()
		if key := strings.Join(wrong.Key(), "."); key != "" {
			return fmt.Errorf("line %d: %s: %w", line, key, err)
		}
		return fmt.Errorf("line %d: %w", line, err)
	}
	return err
}

// reading collects what is wrong.
type reading struct {
	lines  map[string]int
	faults []error
}

func (r *reading) wrong(key, format string, args ...any) {
	why := fmt.Sprintf(format, args...)
	if line := r.lines[key]; line > 0 {
		r.faults = append(r.faults, fmt.Errorf("line %d: %s: %s", line, key, why))
		return
	}
	r.faults = append(r.faults, fmt.Errorf("%s: %s", key, why))
}

func (r *reading) number(key string, v *int64, standard, least, most int64) int64 {
	if v == nil {
		return standard
	}
	if *v < least || *v > most {
		r.wrong(key, "%d is not within %d to %d", *v, least, most)
	}
	return *v
}

func (r *reading) part(key string, v *float64, standard float64) float64 {
	if v == nil {
		return standard
	}
	if !(*v >= 0 && *v <= 1) {
		r.wrong(key, "%v is not within 0 to 1", *v)
	}
	return *v
}

func (r *reading) ms(key string, v *int64, standard, least, most int64) time.Duration {
	return time.Duration(r.number(key, v, standard, least, most)) * time.Millisecond
}

func (r *reading) fleet(f *Fleet, name string) {
	if f.Address == "" {
		if len(f.Members) > 0 {
			r.wrong("fleet.members", "given without fleet.address")
		}
		return
	}
	names, addresses, here := map[string]bool{}, map[string]string{}, false
	for _, m := range f.Members {
		switch _, port, err := net.SplitHostPort(m.Address); {
		case m.Name == "":
			r.wrong("fleet.members", "a member without a name")
		case names[m.Name]:
			r.wrong("fleet.members", "%q is there twice", m.Name)
		case err != nil || port == "" || port == "0":
			r.wrong("fleet.members", "%q: address %q is no address:port", m.Name, m.Address)
		case addresses[m.Address] != "":
			r.wrong("fleet.members", "%q and %q have the same address", addresses[m.Address], m.Name)
		}
		names[m.Name], addresses[m.Address] = true, m.Name
		here = here || m.Name == name
	}
	switch _, _, err := net.SplitHostPort(f.Address); {
	case err != nil:
		r.wrong("fleet.address", "%q is no address:port", f.Address)
	case len(f.Members) > maxMembers:
		r.wrong("fleet.members", "%d members, at most %d", len(f.Members), maxMembers)
	case name != "" && !here: // operators have none
		r.wrong("fleet.members", "this sidecar's name, %q, is not among them", name)
	case f.StateDir == "":
		r.wrong("fleet.state_dir", "needed for a fleet")
	}
}

func (r *reading) takeover(o *Options) {
	t := &o.Takeover
	if t.Enabled && o.Fleet.Address == "" {
		r.wrong("takeover.enabled", "needs a fleet.address")
	}
	if t.Replicas%2 == 0 {
		r.wrong("takeover.holders", "%d is even: a quorum of it is no smaller than of one more", t.Replicas)
	}
	if n := len(o.Fleet.Members); t.Enabled && n > 0 && t.Replicas > n {
		r.wrong("takeover.holders", "%d holders of %d members", t.Replicas, n)
	}
	for _, c := range slices.Sorted(maps.Keys(t.PolicyByClass)) {
		if v := t.PolicyByClass[c]; v != NoReplication && v != BestEffortReplication && v != StrictReplication {
			r.wrong("takeover.custody."+c, "%q is none of none, best_effort, strict", string(v))
		}
	}
}

// linesOf finds the line of each key, in a text that is known to be right.
func linesOf(text []byte) map[string]int {
	lines := map[string]int{}
	p := unstable.Parser{}
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		at := -1
		for it := e.Key(); it.Next(); {
			n := it.Node()
			if at < 0 {
				at = int(n.Raw.Offset)
			}
			parts = append(parts, string(n.Data))
		}
		key := strings.Join(parts, ".")
		if e.Kind == unstable.Table || e.Kind == unstable.ArrayTable {
			table = key
		} else if table != "" {
			key = table + "." + key
		}
		if at >= 0 && lines[key] == 0 {
			lines[key] = 1 + bytes.Count(text[:at], []byte{'\n'})
		}
	}
	return lines
}
