package app

import (
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"damsonscale/internal/admin"
	"damsonscale/internal/config"
	"damsonscale/internal/discovery"
	"damsonscale/internal/eventlog"
	"damsonscale/internal/frontend"
	"damsonscale/internal/handover"
	"damsonscale/internal/memory"
	"damsonscale/internal/sidecar"
)

const (
	// programBytes is the resident memory of a process beyond its heap limit: its code, less the runtime's tables, which the limit
	// includes but which are mostly not resident.
	programBytes = 9 << 19

	// startBytes is the resident memory of a process that has just started.
	startBytes = 19 << 19

	// runtimeBytes is the part of the heap limit that the runtime's tables and the program's own state take.
	runtimeBytes = 13 << 19

	maxHeapShare = 0.6  // of the memory limit, also where programBytes are a small part of it
	minHeapShare = 0.25 // of the memory limit, where programBytes are most of it

	// clientMemoryShare is the share of the heap, without runtimeBytes, that is held for clients. The rest is for what the garbage
	// collector has not freed yet: with too little of it, collections take the processor.
	clientMemoryShare = 0.6

	minClientShare = 0.15 // of the heap that is held for clients, where runtimeBytes are most of it

	evictionTime   = 100 * time.Millisecond // from the lower limits of an upgrade until most connections over them have closed
	returnInterval = 50 * time.Millisecond  // least time between two returns of memory to the system during an upgrade

	// returnPauseFactor is how many times as long as a return the pause after it is: each collects garbage in the whole heap.
	returnPauseFactor = 20

	connectionShare = 0.6 // share of the clients' memory for connections; the rest is for what requests hold beyond that

	clientShare = 0.5 // share of the sockets for clients: a request in flight takes a client socket and a server socket

	// programSockets is the number of descriptors of the Go runtime, the log, the listeners and discovery.
	programSockets = 8 + discovery.MaxSockets
)

// resources are the limits on a process's use of its machine.
type resources struct {
	clientSockets, serverSockets int
	memoryBytes                  int64
}

// heapBytes returns the heap limit of each of the processes that a sidecar has at present. A single process leaves room for a
// successor, which starts beside it.
func (r resources) heapBytes(processes int) int64 {
	share := float64(r.memoryBytes) / float64(processes)
	others := float64(programBytes)
	if processes == 1 {
		others += startBytes
	}
	return int64(min(maxHeapShare*share, max(minHeapShare*share, share-others)))
}

// clientLimits are the limits on what a process holds for its clients.
type clientLimits struct {
	connections  int
	requestBytes int64 // memory of all requests, beyond what each connection is counted for
}

// clientLimits returns the limits of each of the processes.
func (r resources) clientLimits(processes int) clientLimits {
	heap := float64(r.heapBytes(processes))
	bytes := max(minClientShare*heap, clientMemoryShare*(heap-runtimeBytes))
	connections := int(connectionShare * bytes / frontend.ConnectionBytes)
	return clientLimits{
		connections:  max(1, min(r.clientSockets/processes, connections)),
		requestBytes: int64((1 - connectionShare) * bytes),
	}
}

// planResources divides the configured limits between the uses.
func planResources(conf *config.Config) resources {
	own := programSockets
	if conf.Admin != "" {
		own += 1 + admin.MaxConnections
	}
	clients, servers := divideSockets(descriptorLimit(conf.Limits.Sockets), own)
	return resources{clientSockets: clients, serverSockets: servers, memoryBytes: int64(conf.Limits.MemoryMB) << 20}
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
	account  *memory.Account // of the requests
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
	had := s.hasSuccessor
	s.hasSuccessor = state != handover.NoSuccessor
	s.apply()
	if s.hasSuccessor && !had {
		go s.returnMemory()
	}
}

// apply sets the limits of this process to its share. The caller must hold mu or have the only reference.
func (s *resourceShares) apply() {
	processes := s.processes()
	limits := s.total.clientLimits(processes)
	s.account.SetLimit(limits.requestBytes)
	s.frontend.SetConnectionLimit(limits.connections)
	s.sidecar.SetSocketLimit(max(1, s.total.serverSockets/processes))
	if !s.hasSuccessor {
		debug.SetMemoryLimit(s.total.heapBytes(processes))
	}
}

// processes returns the number of processes that the sidecar has. The caller must hold mu or have the only reference.
func (s *resourceShares) processes() int {
	processes := 1
	if s.hasPredecessor {
		processes++
	}
	if s.hasSuccessor {
		processes++
	}
	return processes
}

// returnMemory lowers the heap limit once the connections over the lower limits have had time to close: until then the garbage
// collector would take the processor from them in vain. Then it returns memory that this process no longer uses to the system,
// for as long as there is a successor, which needs it; the runtime itself returns it too late.
func (s *resourceShares) returnMemory() {
	time.Sleep(evictionTime)
	for s.lowerHeapLimit() {
		begin := time.Now()
		debug.FreeOSMemory()
		time.Sleep(max(returnInterval, returnPauseFactor*time.Since(begin)))
	}
}

// lowerHeapLimit sets the heap limit to this process's share, or does nothing and returns false if there is no successor any more.
func (s *resourceShares) lowerHeapLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasSuccessor {
		debug.SetMemoryLimit(s.total.heapBytes(s.processes()))
	}
	return s.hasSuccessor
}
