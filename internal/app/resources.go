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
	heapShare   = 0.6 // of the memory limit: the rest is for stacks, the runtime and the program itself
	bodyShare   = 0.2 // of the heap, for buffered bodies
	clientShare = 0.5 // of the sockets: each request in flight takes one on either side

	// programSockets are the runtime's, the log's, the listeners' and those of discovery.
	programSockets = 8 + discovery.MaxSockets
)

// resources are what a process may use of its machine.
type resources struct {
	clientSockets, serverSockets int
	heapBytes                    float64
}

// bodyBytes is how much of the heap buffered bodies may take.
func (r resources) bodyBytes() int64 { return int64(bodyShare * r.heapBytes) }

// planResources divides the configured limits.
func planResources(conf *config.Config) resources {
	own := programSockets
	if conf.Admin != "" {
		own += 1 + admin.MaxConnections
	}
	clients, servers := divideSockets(descriptorLimit(conf.Limits.Sockets), own)
	return resources{clientSockets: clients, serverSockets: servers, heapBytes: heapShare * float64(conf.Limits.MemoryMB) * (1 << 20)}
}

// descriptorLimit returns how many of the configured descriptors the system allows. Without it clients would take all
// of a lower limit, and discovery and servers would find none.
func descriptorLimit(configured int) int {
	var limit syscall.Rlimit // the soft limit, which the runtime has raised to the hard one
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur >= uint64(configured) {
		return configured
	}
	eventlog.Warn(eventDescriptorLimit, nil, "allowed", limit.Cur, "configured", configured)
	return int(limit.Cur)
}

// divideSockets divides all descriptors but the program's own between clients and servers, one at least for each.
func divideSockets(all, own int) (clients, servers int) {
	clients = max(1, int(clientShare*float64(all-own)))
	return clients, max(1, all-own-clients)
}

// resourceShares divides the resources between this process and others of the same sidecar, during an upgrade. Its
// methods may be called from any goroutine.
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

// apply sets the limits of this process to its share. The caller holds mu, or has the only reference.
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
