package upstream

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	hostProbeInterval = 5 * time.Second // between the starts of two probes of a host
	hostProbeTimeout  = 3 * time.Second // for a connection to come up; a system that gets no answer asks again after 1 s

	// unreachableAfterProbes is the number of probes in a row without an answer after which a host counts as unreachable.
	unreachableAfterProbes = 5
)

// HostMonitor finds out whether the hosts of silent servers are still there: it opens a connection to each now and then, and closes it
// at once. The system of a host accepts connections also while the server's process hangs. It is safe for concurrent use. A nil
// HostMonitor finds every host reachable.
type HostMonitor struct {
	sockets *SocketBudget
	dial    func(ctx context.Context, addr string) (net.Conn, error)

	mu     sync.Mutex
	probes map[string]*hostProbe // by address
}

// NewHostMonitor returns a monitor whose connections count against a budget. dial opens a connection; nil means TCP.
func NewHostMonitor(sockets *SocketBudget, dial func(ctx context.Context, addr string) (net.Conn, error)) *HostMonitor {
	if dial == nil {
		dial = dialTCP
	}
	return &HostMonitor{sockets: sockets, dial: dial, probes: map[string]*hostProbe{}}
}

// hostProbe probes one host while it has users. A nil hostProbe finds the host reachable.
type hostProbe struct {
	monitor  *HostMonitor
	addr     string
	users    int // guarded by monitor.mu
	stop     context.CancelFunc
	failures atomic.Int64 // probes without an answer since the last one with an answer
}

// watch returns the probe of a host, which must be released, and whether it is a new one.
func (m *HostMonitor) watch(addr string) (p *hostProbe, isNew bool) {
	if m == nil {
		return nil, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p = m.probes[addr]
	if isNew = p == nil; isNew {
		ctx, cancel := context.WithCancel(context.Background())
		p = &hostProbe{monitor: m, addr: addr, stop: cancel}
		m.probes[addr] = p
		go p.run(ctx)
	}
	p.users++
	return p, isNew
}

// release ends the use of the probe.
func (p *hostProbe) release() {
	if p == nil {
		return
	}
	p.monitor.mu.Lock()
	defer p.monitor.mu.Unlock()
	if p.users--; p.users == 0 {
		delete(p.monitor.probes, p.addr)
		p.stop()
	}
}

// isUnreachable reports whether the last probes were all without an answer.
func (p *hostProbe) isUnreachable() bool {
	return p != nil && p.failures.Load() >= unreachableAfterProbes
}

// run probes the host until ctx ends.
func (p *hostProbe) run(ctx context.Context) {
	tick := time.NewTicker(hostProbeInterval)
	defer tick.Stop()
	for {
		p.probeOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// probeOnce opens a connection to the host. A probe that this machine can't make says nothing about the host.
func (p *hostProbe) probeOnce(ctx context.Context) {
	if !p.monitor.sockets.tryAcquire() {
		return
	}
	defer p.monitor.sockets.release()
	dialCtx, cancel := context.WithTimeout(ctx, hostProbeTimeout)
	defer cancel()
	nc, err := p.monitor.dial(dialCtx, p.addr)
	if err == nil {
		nc.Close()
	}
	switch {
	case ctx.Err() != nil || isTransient(err):
	case err == nil || isRefusal(err):
		p.failures.Store(0)
	default:
		p.failures.Add(1)
	}
}
