package modelcheck

import (
	"fmt"
	"math/rand/v2"

	"damsonscale/internal/cells"
	"damsonscale/internal/takeover"
)

// cellsWorld is a state of the model of cells: the committed logs, the processes, the requests, and the lease requests in flight. All random
// choices come from one generator, so that a seed reproduces a walk.
type cellsWorld struct {
	conf            *CellsConfig
	budget          CellsBudget // events that may still happen
	random          *rand.Rand
	now             int64 // µs
	commands        []committedCommand
	term            uint64
	leader          int                 // index of the directory's leader in directories
	leaderChanged   bool                // the directory has had a second leader
	directories     [2]*cells.Directory // by node
	applied         [2]int              // number of applied commands, by node
	relays          [2]*cells.Relay
	cells           []*cellState
	lastOpened      cells.ID
	processes       []*cellProcess
	leaseRequests   []cellLeaseRequest
	formerFences    map[string]committedFence // highest fence of the cells that a member has left, by member name
	removedAt       map[string]int64          // time at which a cell reported that a member is removed, µs
	reassignedAt    map[string]int64          // time at which a removed member was assigned to a cell again, µs
	requests        []*cellRequest
	lastIncarnation uint64
	settling        bool // no more faults are injected
	trace           []string
	violation       string // the first violated invariant; empty: none
	coverage        Coverage
}

// committedCommand is a committed entry of the directory's log.
type committedCommand struct {
	version cells.Version
	command cells.Command
}

// cellState is a cell: its committed log, and two nodes that alternate as leader, each with its own applied index and lease table.
type cellState struct {
	id          cells.ID
	log         []*cells.Log           // the state of the cell after each entry
	leader      int                    // index of the node that is the current leader
	applied     [2]int                 // index of the last applied state in log, by node
	leaseTables [2]*cells.LeaseTable   // by node
	records     map[int]*requestRecord // by request index
	fences      []committedFence
	movedAt     map[string]int64 // time of the last arrival or departure, by member name, µs
	partitioned bool             // cut off from all other cells, the relays and the directory
}

// state returns the state after the last entry of the log.
func (c *cellState) state() *cells.Log { return c.log[len(c.log)-1] }

// lastMove returns the time of the last arrival or departure of any member, in µs.
func (c *cellState) lastMove() (at int64) {
	for _, t := range c.movedAt {
		at = max(at, t)
	}
	return at
}

// committedFence is a fence with the time in µs at which its cell committed it.
type committedFence struct {
	number uint64
	at     int64
}

// cellProcess is a process of a member.
type cellProcess struct {
	name         string
	up           bool
	node         *cells.Node
	appliedIndex int   // index of the last applied state in its cell's log
	unread       []int // indexes of the requests whose first attempt waits in a socket
	attempts     []*cellAttempt
	lookups      []*cellLookup
}

// cellRequest is a request with its history.
type cellRequest struct {
	idempotency takeover.Idempotency
	firstMember string // name of the member to which the client sent the first attempt
	firstSentAt int64  // µs; -1: not sent yet
	runs        int    // number of executions at a server that had an effect
	started     bool   // a cell has created a record of the request with an owner
	servedRun   int    // number of the run whose answer the client received; 0: none
	answered    bool   // the client received an answer or a failure
}

// requestRecord is the state of one request that the replicas of a cell agree on. The replicas are not modelled separately here: the model of
// takeover checks their protocol.
type requestRecord struct {
	owner       takeover.Member
	answer      int            // number of the run that gave the answer; 0: none yet
	failed      bool           // the request may have run and must not run again
	assignedTo  cells.ID       // the cell that now decides the request; 0: the cell of this record
	transferred *requestRecord // the record that the assigned cell receives
}

// cellAttempt is a request that a process may send to a server.
type cellAttempt struct {
	request      int
	cell         cells.ID // cell that has a record of the request; 0: sent without a record
	owner        takeover.Member
	leaseChecked bool
	sent         bool
	run          int // number of the run at the server; 0: not sent yet
}

// cellLookup is a process's search for the record of a request.
type cellLookup struct {
	request     int
	route       *cells.Lookup  // nil: not started
	transferred *requestRecord // record that a sealed cell passed on to the cell now searched; nil: none
	hops        int            // visited cells, at most cellMaxHops
}

// cellLeaseRequest is a lease request in flight.
type cellLeaseRequest struct {
	process        int
	request        cells.LeaseRequest
	leader         int // index of the node that received the request
	confirmedIndex int // index of the log at which a quorum confirmed the leader; -1: not confirmed
	granted        bool
}

// newCellsWorld returns the initial state, in which all members have joined and hold leases.
func newCellsWorld(c *CellsConfig, seed uint64) *cellsWorld {
	w := &cellsWorld{
		conf: c, budget: c.Budget, random: rand.New(rand.NewPCG(seed, 9)), term: 1, formerFences: map[string]committedFence{},
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

// newProcess returns a newly started process of a member, whose options name the given cell.
func (w *cellsWorld) newProcess(name string, cell cells.ID) *cellProcess {
	w.lastIncarnation++
	node := cells.NewNode(takeover.Member{Name: name, Incarnation: w.lastIncarnation}, cell)
	return &cellProcess{name: name, up: true, node: node}
}

// newIncarnation returns a new process of the member of p, in the cell that a relay returns for the member or, if there is none, in the cell
// of p.
func (w *cellsWorld) newIncarnation(p *cellProcess) *cellProcess {
	next := w.newProcess(p.name, p.node.Cell)
	if id := w.relays[w.random.IntN(2)].AssignedCell(p.name); id != 0 && w.cell(id) != nil {
		next.node.Cell = id
	}
	return next
}

// kill ends a process and its attempts and lookups.
func (w *cellsWorld) kill(n int) {
	p := w.processes[n]
	p.up, p.unread, p.attempts, p.lookups = false, nil, nil, nil
}

// restart starts a new incarnation of a killed process.
func (w *cellsWorld) restart(n int) { w.processes[n] = w.newIncarnation(w.processes[n]) }

// cell returns a cell, or nil if the cell was never opened or has been deleted.
func (w *cellsWorld) cell(id cells.ID) *cellState {
	for _, c := range w.cells {
		if c.id == id {
			return c
		}
	}
	return nil
}

// recordViolation records the first violation of an invariant and ignores later ones.
func (w *cellsWorld) recordViolation(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// log adds a line to the trace.
func (w *cellsWorld) log(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}
