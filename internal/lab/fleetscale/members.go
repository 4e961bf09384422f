package fleetscale

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"damsonscale/internal/lab/faultinjection"
)

// worker starts a process, unless the run is over.
func (r *run) worker(name string, members []int, w *workerConfig) (*child, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.children.worker(name, members, r.conf.Worker, w)
}

// addresses gives each member one, and one in front of it where its links are counted.
func (r *run) addresses() error {
	var want []*string
	for i := range r.layout.members {
		m := &r.layout.members[i]
		want = append(want, &m.address)
		if r.layout.fleets[m.fleet].counted {
			want = append(want, &m.linkAddress)
		}
		if m.real {
			want = append(want, &m.httpAddress)
		}
	}
	for part := range slices.Chunk(want, addressChunk) {
		addrs, err := faultinjection.FreeAddrs(len(part))
		if err != nil {
			return err
		}
		for i, p := range part {
			*p = addrs[i]
		}
	}
	for i := range r.layout.members {
		if m := &r.layout.members[i]; m.linkAddress == "" {
			m.linkAddress = m.address
		}
	}
	return nil
}

// options are those of one member of a fleet.
func (r *run) options(at, i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[fleet]\naddress = %q\nstate_dir = %q\nlease_ms = %d\nmembers = [\n", r.layout.members[i].address, r.state(i), r.conf.Lease.Milliseconds())
	members := r.layout.fleets[at].members
	for _, j := range members {
		fmt.Fprintf(&b, "  {name = %q, address = %q},\n", r.layout.members[j].name, r.layout.members[j].linkAddress)
	}
	fmt.Fprint(&b, "]\n[takeover]\nenabled = true\n")
	if len(members) < 3 {
		fmt.Fprint(&b, "holders = 1\n")
	}
	if r.conf.Audit {
		b.WriteString("[audit]\nenabled = true\n")
	}
	return b.String()
}

func (r *run) state(i int) string {
	return filepath.Join(r.conf.Dir, "state", r.layout.members[i].name)
}

// hollow starts a process with hollow members.
func (r *run) hollow(name string, members []int, cores int) error {
	conf, err := r.config(0, "127.0.0.1:0")
	if err != nil {
		return err
	}
	w := &workerConfig{Cores: cores, List: r.list.addr, Config: conf}
	at := -1
	for _, i := range members {
		m := &r.layout.members[i]
		if m.fleet != at {
			at = m.fleet
			w.Fleets = append(w.Fleets, fleetConfig{Options: r.options(at, i)})
		}
		f := &w.Fleets[len(w.Fleets)-1]
		f.Members = append(f.Members, memberConfig{m.name, m.address, r.state(i)})
	}
	_, err = r.worker(name, members, w)
	return err
}

// config is the platform's of one member.
func (r *run) config(i int, listen string) ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": r.layout.members[i].name, "listen": listen, "discovery": r.list.addr, "seed": fmt.Sprintf("%016x", i+1),
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    r.list.full(),
		"settings": r.settings,
	})
}

// real starts the program as a member.
func (r *run) real(i int) error {
	m := &r.layout.members[i]
	conf, err := r.config(i, m.httpAddress)
	if err != nil {
		return err
	}
	dir := filepath.Join(r.conf.Dir, m.name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	files := map[string][]byte{"config.json": conf, "options.toml": []byte(r.options(m.fleet, i))}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o644); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err = r.children.real(m.name, i, r.conf.Binary, []string{
		"PROXY_CONFIG=" + filepath.Join(dir, "config.json"), "DAMSONSCALE_OPTIONS=" + filepath.Join(dir, "options.toml"),
	})
	return err
}

// settings are those of all members; each number's differ in a tenant's allowance alone.
func settings(balancers int, number int) json.RawMessage {
	class := func(name, semantics string) map[string]any {
		return map[string]any{"Name": name, "Semantics": semantics, "AimUs": 1_000_000, "DeadlineUs": 2_000_000, "LateShare": 0.3, "Worth": 1}
	}
	text, err := json.Marshal(map[string]any{
		"Balancers": balancers, "Me": 0, "Zone": "a", "RegistryMode": "on_request", "WeightSource": "nominal", "TickUs": 5000,
		"Services": []any{class("look", "idempotent"), class("once", "at_most_once")},
		"Realms":   []any{map[string]any{"Name": "acme", "AllowancePerS": 10_000 + number, "Share": 1.0}},
		"Limits": map[string]any{
			"Cancel": true, "RetryAfter": true, "MaxAttempts": 4, "MaxRetryAfterUs": 1_000_000, "ConnIdleUs": 10_000_000,
			"DialTimeoutUs": 250_000,
		},
		"ScoringMix": map[string]any{"Whole": 1},
		"Guarantees": map[string]any{
			"AnswerSlackUs": 20_000, "AskEveryUs": 10_000_000, "StopSendingWithinUs": 2_000_000, "ColdFrom": 0.3, "ColdUs": 8_000_000,
			"OverloadFactor": 3, "FallUs": 3_000_000,
		},
	})
	if err != nil {
		panic(err) // of constants
	}
	return text
}
