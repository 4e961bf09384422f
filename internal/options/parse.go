package options

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

const (
	maxFileBytes = 1 << 20 // size of the options file
	maxMembers   = 1024
)

// file is the layout of the options file. Keys are named only here and in the checks of this package.
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

// Load reads the options file named by EnvVar for the named member, or for an operator if name is empty. If EnvVar is not
// set, it returns nil without an error.
func Load(getenv func(string) string, name string) (*Options, error) {
	path := getenv(EnvVar)
	if path == "" {
		return nil, nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", EnvVar, err)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s: %s: file has %d bytes, want at most %d", EnvVar, path, info.Size(), maxFileBytes)
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

// Parse parses options for the named member, or for an operator if name is empty. The error joins all faults found, each
// with its line and key.
func Parse(text []byte, name string) (*Options, error) {
	var f file
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return nil, describeDecodeError(err)
	}
	r := valueReader{lines: lineNumbers(text)}
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
			MaxUnleasedPermille: int(1000 * r.share("audit.most_out", f.Audit.MostOut, 0.34)),
		},
	}
	r.checkFleet(&o.Fleet, name)
	r.checkTakeover(o)
	r.checkAudit(o)
	return o, errors.Join(r.faults...)
}
