//go:build review

package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Fleet is a fleet of members with a link for each direction between two of them.
type Fleet struct {
	Members []*Process

	rig      *Rig
	sidecars []Sidecar
	links    map[[2]int]*Link // from, to
}

// StartFleet starts a fleet with takeover and waits until all members have a lease. fleetOptions are further lines of the section
// [fleet] of the options file. With memoryMB 0 members have 192 MB.
func (r *Rig) StartFleet(count int, discovery, fleetOptions string, memoryMB int, settings func(member int) map[string]any) (*Fleet, error) {
	f := &Fleet{rig: r, links: map[[2]int]*Link{}}
	var addrs []string
	for range count {
		addrs = append(addrs, FreeAddr())
	}
	for i := range count {
		name := fmt.Sprintf("n%d", i+1)
		folder := filepath.Join(r.Dir, name)
		if err := os.MkdirAll(folder, 0o755); err != nil {
			return nil, err
		}
		var b strings.Builder
		fmt.Fprintf(&b, "[fleet]\naddress = %q\nstate_dir = %q\n%smembers = [\n", addrs[i], filepath.Join(folder, "state"), fleetOptions)
		for j, addr := range addrs {
			if j != i {
				l, err := r.NewLink(addr)
				if err != nil {
					return nil, err
				}
				f.links[[2]int{i, j}], addr = l, l.Addr
			}
			fmt.Fprintf(&b, "  {name = \"n%d\", address = %q},\n", j+1, addr)
		}
		b.WriteString("]\n[takeover]\nenabled = true\n")
		options := filepath.Join(folder, "options.toml")
		if err := os.WriteFile(options, []byte(b.String()), 0o644); err != nil {
			return nil, err
		}
		s := Sidecar{Name: name, Listen: FreeAddr(), Discovery: discovery, Settings: settings(i), Options: options, MemoryMB: memoryMB}
		p, err := r.Start(s)
		if err != nil {
			return nil, err
		}
		f.sidecars, f.Members = append(f.sidecars, s), append(f.Members, p)
	}
	for _, p := range f.Members {
		if err := p.AwaitReady(); err != nil {
			return nil, err
		}
		for end := time.Now().Add(20 * time.Second); len(p.Log("event=fleet_lease_granted")) == 0; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				return nil, fmt.Errorf("%s has no lease after 20 s", p.Name)
			}
		}
	}
	return f, nil
}

// CutOff makes all messages between a member and the others be lost, or ends that.
func (f *Fleet) CutOff(member int, cut bool) {
	for ends, l := range f.links {
		if ends[0] == member || ends[1] == member {
			l.Cut(cut)
		}
	}
	f.rig.Logf("messages between n%d and the other sidecars are lost: %v", member+1, cut)
}

// Restart starts a member again that has exited.
func (f *Fleet) Restart(member int) error {
	p, err := f.rig.Start(f.sidecars[member])
	if err == nil {
		f.Members[member] = p
	}
	return err
}

// Upgrade starts a second process of a member beside the first, with another admin address, and waits until it is ready.
func (f *Fleet) Upgrade(member int) error {
	s := f.sidecars[member]
	s.Admin = FreeAddr()
	p, err := f.rig.Start(s)
	if err != nil {
		return err
	}
	f.Members[member] = p
	return p.AwaitReady()
}

// Crashed returns the names of members that have exited by themselves.
func (f *Fleet) Crashed() (names []string) {
	for _, p := range f.Members {
		if p.Crashed() {
			names = append(names, p.Name)
		}
	}
	return names
}
