package modelcheck

import (
	"fmt"
	"math/rand/v2"

	"damsonscale/internal/cells"
	"damsonscale/internal/takeover"
)

// cellsWorld is the state of a world of cells: the agreed logs, the processes, the requests, and what is in flight. All random choices are drawn
// from one generator, so that a seed repeats a run.
type cellsWorld struct {
	conf            *CellsConfig
	budget          CellsBudget // what is left
	random          *rand.Rand
	now             int64 // µs
	commands        []agreedCommand
	term            uint64
	leader          int // of the directory: an index of directories
	leaderChanged   bool
	directories     [2]*cells.Directory // nodes of the directory
	applied         [2]int              // commands, by node
	relays          [2]*cells.Relay
	cells           []*cellState
	lastOpened      cells.ID
	processes       []*cellProcess
	leaseRequests   []cellLeaseRequest
	formerFences    map[string]agreedFence // highest fence of the cells that a member has left
	removedAt       map[string]int64       // when the directory noted that a member was removed
	reassignedAt    map[string]int64       // when a removed member was assigned again
	requests        []*cellRequest
	lastIncarnation uint64
	settling        bool // faults have ended
	trace           []string
	violation       string // the first one; empty: none
	coverage        Coverage
}

// agreedCommand is an entry of the directory's log.
type agreedCommand struct {
	version cells.Version
	command cells.Command
}

// cellState is a cell: its agreed log, and two leaders that take turns, each with what it has applied.
type cellState struct {
	id          cells.ID
	log         []*cells.Log // the state after each entry
	leader      int
	applied     [2]int // index of log, by leader
	leaseTables [2]*cells.LeaseTable
	records     map[int]*requestRecord // by request
	fences      []agreedFence
	movedAt     map[string]int64 // when a member arrived or departed
	partitioned bool             // from all others
}

// state returns the state after the last entry of the log.
func (c *cellState) state() *cells.Log { return c.log[len(c.log)-1] }

// lastMove returns when a member arrived or departed last.
func (c *cellState) lastMove() (at int64) {
	for _, t := range c.movedAt {
		at = max(at, t)
	}
	return at
}

// agreedFence is a fence and when its cell agreed on it.
type agreedFence struct {
	number uint64
	at     int64
}

// cellProcess is a process of a member.
type cellProcess struct {
	name         string
	up           bool
	node         *cells.Node
	appliedIndex int   // of its cell's log
	unread       []int // requests that clients have sent first, in a socket
	attempts     []*cellAttempt
	lookups      []*cellLookup
}

// cellRequest is a request and what has become of it.
type cellRequest struct {
	idempotency takeover.Idempotency
	firstMember string // the member that its client asked first
	firstSentAt int64  // -1: not yet
	runs        int    // at a server, with an effect
	started     bool
	servedRun   int  // whose answer its client was given; 0: none
	answered    bool // its client was given an answer
}

// requestRecord is what the replicas of a cell have agreed on for one request. They act as one: the model of takeover shows that.
type requestRecord struct {
	owner       takeover.Member
	answer      int // the run that is the answer; 0: none yet
	failed      bool
	assignedTo  cells.ID       // the cell that decides about it from now on; 0: this one
	transferred *requestRecord // what that cell is sent
}

// cellAttempt is a request that a process may send to a server.
type cellAttempt struct {
	request      int
	cell         cells.ID // whose records have it; 0: none
	owner        takeover.Member
	leaseChecked bool
	sent         bool
	run          int
}

// cellLookup is a lookup of a request that a process carries out.
type cellLookup struct {
	request     int
	route       *cells.Lookup // nil: it has not begun
	transferred *requestRecord
	hops        int
}

// cellLeaseRequest is a lease request in flight.
type cellLeaseRequest struct {
	process        int
	request        cells.LeaseRequest
	leader         int
	confirmedIndex int // of the log when a quorum confirmed the leader; -1: not yet
	granted        bool
}

// newCellsWorld returns a world in which all members have joined and hold leases.
func newCellsWorld(c *CellsConfig, seed uint64) *cellsWorld {
	w := &cellsWorld{
		conf: c, budget: c.Budget, random: rand.New(rand.NewPCG(seed, 9)), term: 1, formerFences: map[string]agreedFence{},
		removedAt: map[string]int64{}, reassignedAt: map[string]int64{},
	}
	for i := range w.directories {
		w.directories[i], w.relays[i] = cells.NewDirectory(c.Fault), cells.NewRelay(cellRegion, c.Fault)
	}
	for _, idempotency := range c.Idempotency {
		w.requests = append(w.requests, &cellRequest{idempotency: idempotency, firstSentAt: -1})
	}
	for first := 0; first < len(cellMemberNames); first += 2 {
		open := cells.Command{Kind: cells.Open, Region: cellRegion}
		for _, name := range cellMemberNames[first : first+2] {
			open.Slots = append(open.Slots, cells.MemberSlot{Name: name, Zone: name})
		}
		w.propose(open)
	}
	for i := range w.relays {
		w.applyCommands(i)
		w.pullDelta(i, i, false)
	}
	for i, name := range cellMemberNames {
		w.processes = append(w.processes, w.newProcess(name, cells.ID(1+i/2)))
	}
	for _, id := range []cells.ID{1, 2} {
		w.updateCell(w.cell(id), 0)
	}
	for i := range w.processes {
		w.join(i)
		w.renewLease(i)
	}
	w.trace = nil
	return w
}

// newProcess returns a process that has just started, of a cell that it knows by its options.
func (w *cellsWorld) newProcess(name string, cell cells.ID) *cellProcess {
	w.lastIncarnation++
	node := cells.NewNode(takeover.Member{Name: name, Incarnation: w.lastIncarnation}, cell)
	return &cellProcess{name: name, up: true, node: node}
}

// newIncarnation returns another process of a member, of the cell that a relay names.
func (w *cellsWorld) newIncarnation(p *cellProcess) *cellProcess {
	next := w.newProcess(p.name, p.node.Cell)
	if id := w.relays[w.random.IntN(2)].AssignedCell(p.name); id != 0 && w.cell(id) != nil {
		next.node.Cell = id
	}
	return next
}

// kill ends a process.
func (w *cellsWorld) kill(n int) {
	p := w.processes[n]
	p.up, p.unread, p.attempts, p.lookups = false, nil, nil, nil
}

// restart starts a killed process again.
func (w *cellsWorld) restart(n int) { w.processes[n] = w.newIncarnation(w.processes[n]) }

// cell returns a cell; nil: it was never opened, or is forgotten.
func (w *cellsWorld) cell(id cells.ID) *cellState {
	for _, c := range w.cells {
		if c.id == id {
			return c
		}
	}
	return nil
}

// recordViolation notes that an invariant is violated, unless another one was before.
func (w *cellsWorld) recordViolation(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// log adds a line to the trace.
func (w *cellsWorld) log(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}
