package app

import (
	"runtime/debug"
	"sync"
	"syscall"

	"damsonscale/internal/admin"
	"damsonscale/internal/config"
	"damsonscale/internal/discovery"
	"damsonscale/internal/eventlog"
	"damsonscale/internal/frontend"
	"damsonscale/internal/handover"
	"damsonscale/internal/sidecar"
)

const (
	heapShare   = 0.6 // share of the memory limit for the heap; the rest is for stacks, the runtime and the program itself
	bodyShare   = 0.2 // share of the heap for buffered bodies
	clientShare = 0.5 // share of the sockets for clients: a request in flight takes a client socket and a server socket

	// programSockets is the number of descriptors of the Go runtime, the log, the listeners and discovery.
	programSockets = 8 + discovery.MaxSockets
)

// resources are the limits on a process's use of its machine.
type resources struct {
	clientSockets, serverSockets int
	heapBytes                    float64
}

// bodyBytes returns the maximum size of all buffered bodies together.
func (r resources) bodyBytes() int64 { return int64(bodyShare * r.heapBytes) }

// planResources divides the configured limits between the uses.
func planResources(conf *config.Config) resources {
	own := programSockets
	if conf.Admin != "" {
		own += 1 + admin.MaxConnections
	}
	clients, servers := divideSockets(descriptorLimit(conf.Limits.Sockets), own)
	return resources{clientSockets: clients, serverSockets: servers, heapBytes: heapShare * float64(conf.Limits.MemoryMB) * (1 << 20)}
}

// descriptorLimit returns the configured number of descriptors, or the system's limit if that is lower. Otherwise clients
// could use up the system's limit and leave no descriptor for discovery and servers.
func descriptorLimit(configured int) int {
	var limit syscall.Rlimit // the Go runtime has raised the soft limit to the hard limit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur >= uint64(configured) {
		return configured
	}
	eventlog.Warn(eventDescriptorLimit, nil, "allowed", limit.Cur, "configured", configured)
	return int(limit.Cur)
}

// divideSockets divides the descriptors that the program itself does not use between clients and servers. Each side gets
// at least one.
func divideSockets(all, own int) (clients, servers int) {
	clients = max(1, int(clientShare*float64(all-own)))
	return clients, max(1, all-own-clients)
}

// resourceShares divides the resources equally between the processes that a sidecar has during an upgrade. Its methods may
// be called from any goroutine.
type resourceShares struct {
	frontend *frontend.Frontend
	sidecar  *sidecar.Sidecar
	total    resources

	mu             sync.Mutex
	hasPredecessor bool
	hasSuccessor   bool
}

// setPredecessor records whether a predecessor is running.
func (s *resourceShares) setPredecessor(running bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasPredecessor = running
	s.apply()
}

// setSuccessor records the state of the successor.
func (s *resourceShares) setSuccessor(state handover.SuccessorState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasSuccessor = state != handover.NoSuccessor
	s.apply()
}

// apply sets the limits of this process to its share. The caller must hold mu or have the only reference.
func (s *resourceShares) apply() {
	processes := 1
	if s.hasPredecessor {
		processes++
	}
	if s.hasSuccessor {
		processes++
	}
	s.frontend.SetConnectionLimit(max(1, s.total.clientSockets/processes))
	s.sidecar.SetSocketLimit(max(1, s.total.serverSockets/processes))
	debug.SetMemoryLimit(int64(s.total.heapBytes / float64(processes)))
}
