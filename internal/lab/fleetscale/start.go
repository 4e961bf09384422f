package fleetscale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"damsonscale/internal/lab/faultinjection"
)

// start starts the list service and all processes, relays first, and waits until each member has a lease and
// each hollow member has applied a list. Real members do not report their lists.
func (r *run) start(ctx context.Context) (err error) {
	r.settings = memberSettings(len(r.layout.members), 0)
	servers, err := net.Listen("tcp", "127.0.0.1:0") // address of all endpoints; nothing listens there, because no requests are sent
	if err != nil {
		return err
	}
	servers.Close()
	if r.list, err = startList(r.conf.Servers, servers.Addr().String()); err != nil {
		return err
	}
	if err := r.assignAddresses(); err != nil {
		return err
	}
	for k, p := range r.layout.linkProcesses {
		w := &workerSpec{Cores: r.conf.Cores}
		for _, i := range p.members {
			m := &r.layout.members[i]
			w.Links = append(w.Links, linkSpec{m.name, m.linkAddress, m.address})
		}
		relay, err := r.startWorker(fmt.Sprintf("links-%d", k+1), p.members, w)
		if err != nil {
			return err
		}
		relay.isRelay = true
	}
	if err := r.waitFor(ctx, "relays to listen", func() bool { return r.observations.serving >= len(r.layout.linkProcesses) }); err != nil {
		return err
	}
	for k, p := range r.layout.ownProcesses {
		if err := r.startHollowProcess(fmt.Sprintf("voter-%d", k+1), p.members, 1); err != nil {
			return err
		}
	}
	for k, p := range r.layout.sharedProcesses {
		if err := r.startHollowProcess(fmt.Sprintf("shared-%d", k+1), p.members, r.conf.Cores); err != nil {
			return err
		}
	}
	for i := range r.layout.members {
		if r.layout.members[i].real {
			if err := r.startReal(i); err != nil {
				return err
			}
		}
	}
	return r.waitFor(ctx, "each member to have a lease and each hollow member to have a list", func() bool {
		return len(r.observations.leaseCounts) == len(r.layout.members) && len(r.observations.appliedLists) == r.conf.Hollow
	})
}

// startWorker starts a worker process. The lock keeps watchMemory from reading the list of processes at the same time.
func (r *run) startWorker(name string, members []int, w *workerSpec) (*child, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.children.startWorker(name, members, r.conf.Worker, w)
}

// assignAddresses chooses free addresses for the members, for the relays of counted fleets, and for the clients of real members.
func (r *run) assignAddresses() error {
	var want []*string
	for i := range r.layout.members {
		m := &r.layout.members[i]
		want = append(want, &m.address)
		if r.layout.fleets[m.fleet].counted {
			want = append(want, &m.linkAddress)
		}
		if m.real {
			want = append(want, &m.clientAddress)
		}
	}
	for part := range slices.Chunk(want, addressBatch) {
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

// memberOptions returns the text of the program's options file for member i of the run, which belongs to the fleet with the given index.
func (r *run) memberOptions(fleet int, i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[fleet]\naddress = %q\nstate_dir = %q\nlease_ms = %d\nmembers = [\n", r.layout.members[i].address, r.stateDir(i), r.conf.Lease.Milliseconds())
	members := r.layout.fleets[fleet].members
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

func (r *run) stateDir(i int) string {
	return filepath.Join(r.conf.Dir, "state", r.layout.members[i].name)
}

// startHollowProcess starts a worker process with hollow members.
func (r *run) startHollowProcess(name string, members []int, cores int) error {
	conf, err := r.memberConfig(0, "127.0.0.1:0")
	if err != nil {
		return err
	}
	w := &workerSpec{Cores: cores, List: r.list.addr, Config: conf}
	fleet := -1
	for _, i := range members {
		m := &r.layout.members[i]
		if m.fleet != fleet {
			fleet = m.fleet
			w.Fleets = append(w.Fleets, fleetSpec{Options: r.memberOptions(fleet, i)})
		}
		f := &w.Fleets[len(w.Fleets)-1]
		f.Members = append(f.Members, memberSpec{m.name, m.address, r.stateDir(i)})
	}
	_, err = r.startWorker(name, members, w)
	return err
}

// memberConfig returns the text of the program's configuration file for member i, which listens for clients at the given address.
func (r *run) memberConfig(i int, listen string) ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": r.layout.members[i].name, "listen": listen, "discovery": r.list.addr, "seed": fmt.Sprintf("%016x", i+1),
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    r.list.fullList(),
		"settings": r.settings,
	})
}

// startReal starts the program as real member i.
func (r *run) startReal(i int) error {
	m := &r.layout.members[i]
	conf, err := r.memberConfig(i, m.clientAddress)
	if err != nil {
		return err
	}
	dir := filepath.Join(r.conf.Dir, m.name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	files := map[string][]byte{"config.json": conf, "options.toml": []byte(r.memberOptions(m.fleet, i))}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o644); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err = r.children.startReal(m.name, i, r.conf.Binary, []string{
		"PROXY_CONFIG=" + filepath.Join(dir, "config.json"), "DAMSONSCALE_OPTIONS=" + filepath.Join(dir, "options.toml"),
	})
	return err
}

// memberSettings returns the settings that all members share. Settings with different numbers differ only in the request rate that the
// tenant is allowed.
func memberSettings(balancers int, number int) json.RawMessage {
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
		panic(err) // impossible: the values are numbers and strings
	}
	return text
}

// waitFor waits until ok returns true. It calls ok with the observations locked. It returns an error after startTimeout, or if a process
// has failed. what describes the condition in the error.
func (r *run) waitFor(ctx context.Context, what string, ok func() bool) error {
	timeout := time.NewTimer(startTimeout)
	defer timeout.Stop()
	check := time.NewTicker(time.Second)
	defer check.Stop()
	for {
		r.observations.mu.Lock()
		done, failure, changed := ok(), r.observations.failure, r.observations.changed
		leased, listed := len(r.observations.leaseCounts), len(r.observations.appliedLists)
		r.observations.mu.Unlock()
		if failure != "" {
			return errors.New(failure)
		}
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-check.C:
			if err := r.children.checkAlive(); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		case <-timeout.C:
			return fmt.Errorf("timed out after %[2]v waiting for %[1]s; %[3]d members have a lease and %[4]d a list", what, startTimeout, leased, listed)
		}
	}
}
