package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"damsonscale/internal/cells"
	"damsonscale/internal/takeover"
)

// CellsBudget bounds what may go wrong in one way through a world of cells.
type CellsBudget struct{ Commands, Turns, Crashes, Doubles, Cuts, Spoilt, Ticks, Asks int }

// Budgets for ways of some hundred steps: with all that may go wrong, and with many requests under moves, splits and merges alone.
var (
	CellsMuch = CellsBudget{Commands: 8, Turns: 4, Crashes: 3, Doubles: 1, Cuts: 3, Spoilt: 2, Ticks: 30, Asks: 24}
	CellsBusy = CellsBudget{Commands: 6, Turns: 1, Crashes: 1, Doubles: 1, Ticks: 12, Asks: 40}
)

// CellsConfig is a world of two cells of one region, of two members each, which move, split and merge under requests.
type CellsConfig struct {
	Effects []takeover.Idempotency // of the requests
	Plant   cells.InjectedFault
	Budget  CellsBudget
}

// CellsOf is the world that a seed goes through: by turns one with much that goes wrong and one with many requests.
func CellsOf(seed uint64) CellsConfig {
	return CellsConfig{
		Effects: []takeover.Idempotency{takeover.NotIdempotent, takeover.IdempotentByKey, takeover.NotIdempotent, takeover.NotIdempotent},
		Budget:  []CellsBudget{CellsMuch, CellsBusy}[seed%2],
	}
}

const (
	cellTick    = 100_000 // µs
	cellLease   = 2 * cellTick
	cellLongest = 10 * cellTick // deadline of a request
	cellKeep    = cellLongest + 2*cellLease
	cellPage    = 400 // bytes
	cellSettle  = 60  // rounds
	cellRegion  = "r"
)

// cellRecord is what the holders of a cell have agreed on for one request: custody's own explorer shows that they are as one.
type cellRecord struct {
	owner  takeover.Member
	answer int // the run that is the answer; 0: none yet
	failed bool
	to     cells.ID    // it is that cell's from now on
	with   *cellRecord // what that one is told
}

// cellWork is a request that a process may send.
type cellWork struct {
	request int
	cell    cells.ID // in whose records it stands; 0: none
	as      takeover.Member
	checked bool
	sent    bool
	run     int
}

// inquiry is an ask on its way.
type inquiry struct {
	request int
	way     *cells.Lookup // nil: it has not set out
	with    *cellRecord
	hops    int
}

type cellProc struct {
	name  string
	up    bool
	inc   uint64
	node  *cells.Node
	view  int   // of its cell's log
	inbox []int // first asks that it has not read
	work  []*cellWork
	asked []*inquiry
}

type cellAsk struct {
	proc    int
	ask     cells.LeaseRequest
	leader  int
	index   int // of the log at the confirmation; -1: none
	granted bool
}

// fenceAt is a fence and when its cell agreed on it.
type fenceAt struct {
	number uint64
	at     int64
}

// oneCell is a cell: an agreed log, and two that lead it by turns, each as far as it has applied it.
type oneCell struct {
	id      cells.ID
	log     []*cells.Log // after each entry
	lead    int
	applied [2]int
	books   [2]*cells.LeaseTable
	records map[int]*cellRecord
	fences  []fenceAt
	came    map[string]int64 // when a name came or left
	cut     bool             // from all others
}

func (c *oneCell) now() *cells.Log { return c.log[len(c.log)-1] }

type cellRequest struct {
	effect takeover.Idempotency
	former string // whom its client asked first
	asked  int64  // when; -1: not yet
	asks   int
	runs   int
	begun  bool
	served int
	over   bool // its client has an answer
}

type agreedCommand struct {
	at cells.Version
	do cells.Command
}

type cellsWorld struct {
	conf     *CellsConfig
	left     CellsBudget
	random   *rand.Rand
	now      int64
	commands []agreedCommand
	term     uint64
	lead     int // of the directory
	turned   bool
	dirs     [2]*cells.Directory
	have     [2]int
	relays   [2]*cells.Relay
	cells    []*oneCell
	opened   cells.ID // the last one that was
	procs    []*cellProc
	asks     []cellAsk
	brought  map[string]fenceAt // of the cells that a name has left
	gone     map[string]int64   // when it was, by the directory
	placed   map[string]int64   // when a name that had been gone was assigned again
	requests []*cellRequest
	ids      uint64
	settling bool
	trace    []string
	broken   string
	met      Met
}

func startCells(c *CellsConfig, seed uint64) *cellsWorld {
	w := &cellsWorld{conf: c, left: c.Budget, random: rand.New(rand.NewPCG(seed, 9)), term: 1, brought: map[string]fenceAt{}, gone: map[string]int64{}, placed: map[string]int64{}}
	for i := range w.dirs {
		w.dirs[i], w.relays[i] = cells.NewDirectory(c.Plant), cells.NewRelay(cellRegion, c.Plant)
	}
	for _, e := range c.Effects {
		w.requests = append(w.requests, &cellRequest{effect: e, asked: -1})
	}
	for _, two := range [][]string{{"a", "b"}, {"c", "d"}} {
		open := cells.Command{Kind: cells.Open, Region: cellRegion}
		for _, name := range two {
			open.Slots = append(open.Slots, cells.MemberSlot{Name: name, Zone: name})
		}
		w.propose(open)
	}
	for i := range w.relays {
		w.follow(i)
		w.pull(i, i, false)
	}
	for i, name := range []string{"a", "b", "c", "d"} {
		w.procs = append(w.procs, w.process(name, cells.ID(1+i/2)))
	}
	for _, id := range []cells.ID{1, 2} {
		w.hear(w.cell(id), 0)
	}
	for i := range w.procs {
		w.join(i)
		w.lease(i)
	}
	w.trace = nil
	return w
}

func (w *cellsWorld) process(name string, cell cells.ID) *cellProc {
	w.ids++
	return &cellProc{name: name, up: true, inc: w.ids, node: cells.NewNode(takeover.Member{Name: name, Incarnation: w.ids}, cell)}
}

func (w *cellsWorld) breaks(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

func (w *cellsWorld) say(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

// cell finds a cell; one that the directory has opened begins with an empty log.
func (w *cellsWorld) cell(id cells.ID) *oneCell {
	for _, c := range w.cells {
		if c.id == id {
			return c
		}
	}
	return nil
}

// propose has the directory agree on a command.
func (w *cellsWorld) propose(c cells.Command) {
	if w.conf.Plant == cells.TermIgnored && !w.settling && w.turned && w.random.IntN(2) == 0 { // it enters by the one that leads no more
		old := w.dirs[1-w.lead]
		w.say("the deposed directory takes command %d by itself: %v", c.Kind, old.Apply(cells.Version{Term: old.Version().Term, Index: old.Version().Index + 1}, &c))
		return
	}
	at := cells.Version{Term: w.term, Index: uint64(len(w.commands) + 1)}
	w.commands = append(w.commands, agreedCommand{at, c})
	w.follow(w.lead)
}

// follow has a node of the directory apply what is agreed.
func (w *cellsWorld) follow(i int) {
	for ; w.have[i] < len(w.commands); w.have[i]++ {
		c := w.commands[w.have[i]]
		w.dirs[i].Apply(c.at, &c.do)
		for _, id := range w.dirs[i].CellIDs() {
			if id > w.opened { // cells are numbered in the order of their opening
				w.opened = id
				w.cells = append(w.cells, &oneCell{
					id: id, log: []*cells.Log{cells.NewLog(id, w.conf.Plant)}, records: map[int]*cellRecord{}, came: map[string]int64{},
					books: [2]*cells.LeaseTable{cells.NewLeaseTable(cellLease, w.conf.Plant), cells.NewLeaseTable(cellLease, w.conf.Plant)},
				})
			}
		}
	}
}

// pull brings a relay what a node of the directory has. What is spoilt lacks a part.
func (w *cellsWorld) pull(relay, dir int, spoil bool) bool {
	r := w.relays[relay]
	p := r.NextRequest()
	d := w.dirs[dir].Delta(p.Region, p.Since, p.From, p.Complete, cellPage)
	if spoil && len(d.Records) > 0 {
		i := w.random.IntN(len(d.Records))
		d.Records = slices.Delete(slices.Clone(d.Records), i, i+1)
	}
	if d.Complete && r.Version() != (cells.Version{}) {
		w.met.Wholes++
	}
	return r.ApplyDelta(d)
}

// agree appends an entry to a cell's log.
func (w *cellsWorld) agree(c *oneCell, e cells.Entry) bool {
	next := c.now().Clone()
	if !next.Apply(&e) {
		return false
	}
	before := c.now()
	c.log = append(c.log, next)
	c.applied[c.lead] = len(c.log) - 1
	if e.Kind == cells.Depart || e.Kind == cells.Seal { // what counted for whom it lets go counts on
		for name, d := range next.Departures {
			if f := len(c.fences); f > 0 && d != before.Departures[name] && c.fences[f-1].number >= w.brought[name].number {
				w.brought[name] = c.fences[f-1]
			}
		}
	}
	if f := next.LastUpdate.Global.Fence; f > before.LastUpdate.Global.Fence {
		c.fences = append(c.fences, fenceAt{f, w.now})
		w.met.Fences++
	}
	for name := range next.Departures {
		if next.Departures[name] != before.Departures[name] {
			c.came[name] = w.now
		}
	}
	switch e.Kind {
	case cells.Seal:
		w.met.Seals++
	case cells.ForgetDeparture:
		w.met.Drops++
	}
	if (e.Kind == cells.Join || e.Kind == cells.ExpectMember) && e.Certificate != nil {
		w.met.Moves++
		c.came[e.Member.Name] = w.now
	}
	w.say("cell %d agrees on %s", c.id, entryText(&e))
	return true
}

func entryText(e *cells.Entry) string {
	switch e.Kind {
	case cells.UpdateDirectory:
		return fmt.Sprintf("word %v of the directory", e.Update.Version)
	case cells.Join:
		return fmt.Sprintf("join %s#%d", e.Member.Name, e.Member.Incarnation)
	case cells.Evict:
		return fmt.Sprintf("out %s#%d", e.Member.Name, e.Member.Incarnation)
	case cells.Depart:
		return "leave " + e.Member.Name
	case cells.Seal:
		return "seal"
	case cells.ExpectMember:
		return "a place for " + e.Member.Name
	}
	return "drop " + e.Member.Name
}

func (w *cellsWorld) hear(c *oneCell, relay int) bool {
	if c.cut {
		return false
	}
	r := w.relays[relay]
	t := r.UpdateFor(c.id, c.now().LastUpdate.Version, false)
	if t == nil && w.conf.Plant == cells.StaleUpdateAccepted || t != nil && !c.now().Matches(t) {
		t = r.UpdateFor(c.id, c.now().LastUpdate.Version, true)
	}
	return t != nil && w.agree(c, cells.Entry{Kind: cells.UpdateDirectory, Update: t})
}

// report has a cell tell the directory how far it is.
func (w *cellsWorld) report(c *oneCell) {
	if c.cut {
		return
	}
	l, d := c.now(), w.dirs[w.lead]
	p := d.Record(c.id)
	if p == nil {
		return
	}
	if l.Sealed && !p.Sealed && len(p.Successors) > 0 {
		w.propose(cells.Command{Kind: cells.Sealed, Cell: c.id, Epoch: l.Epoch})
		w.say("cell %d reports its seal", c.id)
	}
	for _, s := range p.Slots {
		if s.To == cells.RemovedID && !s.Removed && l.Departures[s.Name].MoveIndex == s.ToMoveIndex {
			w.propose(cells.Command{Kind: cells.Removed, Names: []string{s.Name}, Number: s.ToMoveIndex})
			w.gone[s.Name] = w.now
			w.say("cell %d reports that %s is gone", c.id, s.Name)
			continue
		}
		if s.From == 0 {
			continue
		}
		if l.ArrivedMoves[s.Name] == s.MoveIndex {
			w.propose(cells.Command{Kind: cells.Arrived, Cell: c.id, Names: []string{s.Name}, Number: s.MoveIndex})
			w.say("cell %d reports that %s has arrived", c.id, s.Name)
			continue
		}
		o := d.Record(s.From)
		if o == nil || o.Slot(s.Name) == nil || o.Slot(s.Name).To != 0 || l.LastUpdate.Version.Index < s.MoveIndex {
			continue
		}
		w.propose(cells.Command{Kind: cells.Ready, Cell: c.id, At: l.LastUpdate.Version})
		w.say("cell %d is ready for %s", c.id, s.Name)
	}
}

// join has a process that is no member of its cell become one, or go where the cell says.
func (w *cellsWorld) join(n int) {
	p := w.procs[n]
	c := w.cell(p.node.Cell)
	if c == nil { // forgotten
		w.reassign(p, 0)
		return
	}
	l := c.now()
	if l.IsMember(p.node.Self) {
		p.view = len(c.log) - 1
		return
	}
	if slices.Contains(l.Evicted[p.name], p.node.Self.Incarnation) {
		w.ids++
		if cert := l.Certificate(p.name); cert != nil && p.node.Depart(cert, w.ids) {
			p.view = 0
			w.say("%s goes from %d to %d", p.name, c.id, p.node.Cell)
			return
		}
		p.node.Rejoin(w.ids)
	}
	if l.MayJoin(p.node.Self, p.node.Certificate) {
		if w.agree(c, cells.Entry{Kind: cells.Join, Member: p.node.Self, Certificate: p.node.Certificate}) {
			p.view, p.node.Certificate = len(c.log)-1, nil
		}
		return
	}
	if cert := l.Certificate(p.name); cert != nil { // a process that has started anew, or was never a member here
		w.ids++
		if p.node.Depart(cert, w.ids) {
			p.view = 0
			w.say("%s goes from %d to %d", p.name, c.id, p.node.Cell)
		}
		return
	}
	if s := l.LastUpdate.Record.Slot(p.name); s != nil && s.From != 0 && p.node.Certificate == nil { // it asks there for its certificate
		if o := w.cell(s.From); o != nil && !o.cut && !c.cut {
			if cert := o.now().Certificate(p.name); cert != nil && cert.MoveIndex == s.MoveIndex {
				p.node.Certificate = cert
			}
		}
		return
	}
	if s := l.LastUpdate.Record.Slot(p.name); s == nil && !c.cut {
		w.reassign(p, c.id)
	}
}

// reassign has a process ask a relay for its cell.
func (w *cellsWorld) reassign(p *cellProc, but cells.ID) {
	if id := w.relays[w.random.IntN(2)].AssignedCell(p.name); id != 0 && id != but && w.cell(id) != nil {
		w.ids++
		p.node.Reassign(id, w.ids)
		p.view = 0
		w.say("%s asks at %d", p.name, id)
	}
}

// lease is a whole round of asking for a lease.
func (w *cellsWorld) lease(n int) {
	if w.ask(n, -1) {
		i := len(w.asks) - 1
		w.confirm(i)
		w.answer(i)
		w.come(i)
	}
}

func (w *cellsWorld) ask(n, leader int) bool {
	p := w.procs[n]
	c := w.cell(p.node.Cell)
	if c == nil {
		return false
	}
	if leader < 0 {
		leader = c.lead
	}
	w.asks = append(w.asks, cellAsk{proc: n, ask: p.node.LeaseRequest(w.now, uint64(p.view)), leader: leader, index: -1})
	return true
}

func (w *cellsWorld) confirm(i int) {
	a := &w.asks[i]
	if c := w.cell(a.ask.Cell); c != nil && a.index < 0 && c.lead == a.leader {
		a.index = len(c.log) - 1
	}
}

func (w *cellsWorld) answer(i int) {
	a := &w.asks[i]
	c := w.cell(a.ask.Cell)
	if c == nil || a.index < 0 || a.granted {
		return
	}
	if c.applied[a.leader] < a.index {
		c.applied[a.leader] = a.index
	}
	a.granted = c.books[a.leader].Grant(w.now, c.log[c.applied[a.leader]], a.ask.Member, a.ask.ActiveSettings)
}

// come brings an ask's answer, if there is one: the ask is over.
func (w *cellsWorld) come(i int) {
	a := w.asks[i]
	w.asks = slices.Delete(w.asks, i, i+1)
	p := w.procs[a.proc]
	if a.granted && p.up {
		p.node.HandleGrant(cells.LeaseGrant{Cell: a.ask.Cell, Member: a.ask.Member, RequestSentMicros: a.ask.SentMicros}, cellLease)
	}
}

// due has a leader agree on what is due by its book.
func (w *cellsWorld) due(c *oneCell) (did bool) {
	for _, e := range c.books[c.lead].DueEntries(w.now, c.log[c.applied[c.lead]]) {
		did = w.agree(c, e) || did
	}
	return did
}

// place has a cell give a place to a name whose process does not come, by the certificate of the cell before.
func (w *cellsWorld) place(c *oneCell) {
	for _, s := range c.now().LastUpdate.Record.Slots {
		if o := w.cell(s.From); s.From != 0 && o != nil && !o.cut && !c.cut {
			w.agree(c, cells.Entry{Kind: cells.ExpectMember, Member: takeover.Member{Name: s.Name}, Certificate: o.now().Certificate(s.Name)})
		}
	}
}

// drop has a cell forget what is too old to be asked for.
func (w *cellsWorld) drop(c *oneCell) {
	for _, name := range []string{"a", "b", "c", "d"} {
		if at, ok := c.came[name]; ok && w.now-at >= cellKeep {
			if w.agree(c, cells.Entry{Kind: cells.ForgetDeparture, Member: takeover.Member{Name: name}}) && c.now().Departures[name].MoveIndex == 0 {
				delete(c.came, name)
			}
		}
	}
}

// forget has the directory forget what no request can go by any more.
func (w *cellsWorld) forget() {
	d := w.dirs[w.lead]
	for _, name := range []string{"a", "b", "c", "d"} {
		if at, ok := w.gone[name]; ok && w.now-at >= cellKeep {
			w.propose(cells.Command{Kind: cells.Forget, Names: []string{name}})
			delete(w.gone, name)
		}
	}
	for _, id := range d.CellIDs() {
		p, c := d.Record(id), w.cell(id)
		if c == nil {
			continue
		}
		if p.Sealed && len(p.Slots) == 0 && w.now-c.lastCame() >= cellKeep {
			w.met.Forgotten++
			w.propose(cells.Command{Kind: cells.Forget, Cell: id})
			w.cells = slices.DeleteFunc(w.cells, func(o *oneCell) bool { return o.id == id })
			w.say("cell %d is forgotten", id)
			continue
		}
		for _, s := range p.Slots {
			if at := c.came[s.Name]; len(s.FormerCells) > 0 && s.From == 0 && s.To == 0 && w.now-at >= cellKeep && len(c.now().FormerCells[s.Name]) == 0 {
				w.propose(cells.Command{Kind: cells.Forget, Names: []string{s.Name}})
			}
		}
	}
}

func (c *oneCell) lastCame() (at int64) {
	for _, t := range c.came {
		at = max(at, t)
	}
	return at
}

// learn has a process hear its cell's log, and act on the settings that it names.
func (w *cellsWorld) learn(n int) {
	p := w.procs[n]
	if c := w.cell(p.node.Cell); c != nil && c.now().IsMember(p.node.Self) {
		p.view = len(c.log) - 1
		p.node.Adopt(c.now().LastUpdate.Global.Settings)
	}
}

// read takes a first ask that has waited, in the socket, for any time.
func (w *cellsWorld) read(n int) {
	p := w.procs[n]
	r := p.inbox[0]
	p.inbox = p.inbox[1:]
	c := w.cell(p.node.Cell)
	q := w.requests[r]
	if c == nil || !p.node.LeaseValid(w.now) || !c.now().IsMember(p.node.Self) || q.over || w.late(q) {
		return // no leave, no word: its client asks another
	}
	w.say("%s reads r%d", p.name, r)
	if len(c.now().FormerCells[p.name]) > 0 && w.conf.Plant != cells.FirstAttemptUnchecked {
		// Its client may have asked the cell before: guards against a run here of what was begun there.
		p.asked = append(p.asked, &inquiry{request: r})
		return
	}
	if c.records[r] != nil { // the first write meets a record: it asks, as any other
		p.asked = append(p.asked, &inquiry{request: r, way: cells.NewLocalLookup(p.name, c.id)})
		return
	}
	w.begin(c, p, r)
}

// begin has a member of a cell own a request.
func (w *cellsWorld) begin(c *oneCell, p *cellProc, r int) {
	c.records[r] = &cellRecord{owner: p.node.Self}
	w.requests[r].begun = true
	p.work = append(p.work, &cellWork{request: r, cell: c.id, as: p.node.Self})
	w.say("%s#%d begins r%d in cell %d", p.name, p.node.Self.Incarnation, r, c.id)
}

func (w *cellsWorld) late(q *cellRequest) bool { return w.now-q.asked >= cellLongest }

// taker is a member of a cell that may act: the one that asks, if it is one.
func (w *cellsWorld) taker(c *oneCell, asks *cellProc) *cellProc {
	fit := func(p *cellProc) bool {
		return p.up && p.node.Cell == c.id && c.now().IsMember(p.node.Self) && p.node.LeaseValid(w.now)
	}
	if fit(asks) {
		return asks
	}
	if c.cut || w.cell(asks.node.Cell) != nil && w.cell(asks.node.Cell).cut {
		return nil
	}
	for _, p := range w.procs {
		if fit(p) {
			return p
		}
	}
	return nil
}

// inquire takes an inquiry one step on.
func (w *cellsWorld) inquire(n, k int) {
	p := w.procs[n]
	i := p.asked[k]
	q := w.requests[i.request]
	end := func() { p.asked = slices.DeleteFunc(p.asked, func(o *inquiry) bool { return o == i }) }
	home := w.cell(p.node.Cell)
	if q.over || w.late(q) || home == nil || !home.now().IsMember(p.node.Self) {
		end()
		return
	}
	unknown := func() {
		w.met.Unknown++
		end()
		if !w.apart() && !w.homeless(q) {
			w.breaks("nobody can say what became of r%d, though all can be reached", i.request)
		}
		if q.effect == takeover.IdempotentByKey { // within its key's window it goes again, without custody
			p.work = append(p.work, &cellWork{request: i.request, as: p.node.Self})
			return
		}
		w.tell(i.request, 0)
	}
	if i.way == nil {
		i.way = cells.NewLookup(q.former, home.id)
		if _, ok := home.log[p.view].LookupStart(q.former); !ok {
			p.view = len(home.log) - 1
			if _, ok := home.now().LookupStart(q.former); !ok && !home.cut {
				i.way.At = w.relays[w.random.IntN(2)].CurrentCell(q.former)
			}
		}
	}
	c := w.cell(i.way.At)
	if c == nil && i.way.CellForgotten() == cells.Forward {
		return
	}
	if i.hops++; c == nil || i.hops > 40 || c != home && (c.cut || home.cut) {
		unknown()
		return
	}
	l := c.now()
	switch i.way.Next(l) {
	case cells.Forward:
		return
	case cells.Unknown:
		unknown()
		return
	}
	rec := c.records[i.request]
	switch {
	case rec != nil && rec.to != 0:
		i.way, i.with = cells.NewLocalLookup(q.former, rec.to), rec.with
	case rec != nil && rec.answer != 0:
		end()
		w.tell(i.request, rec.answer)
	case rec != nil && rec.failed:
		end()
		w.tell(i.request, 0)
	case rec != nil && l.Sealed:
		w.met.HandedOn++
		rec.with = &cellRecord{owner: rec.owner}
		rec.to = l.Successor(rec.owner.Name)
		w.say("r%d of %s goes from %d to %d", i.request, rec.owner.Name, c.id, rec.to)
	case rec != nil && l.IsMember(rec.owner):
		i.hops-- // it waits for the living owner
	case rec == nil && l.Sealed && i.with != nil:
		c.records[i.request] = &cellRecord{to: l.Successor(i.with.owner.Name), with: i.with}
	case rec == nil && i.with == nil:
		switch to, give := i.way.NotFound(l); {
		case to == cells.Unknown:
			unknown()
		case to == cells.Forward && give:
			w.met.Given++
			c.records[i.request] = &cellRecord{to: i.way.At}
			w.say("r%d was never begun in %d: it is %d's", i.request, c.id, i.way.At)
		case to == cells.SearchHere:
			w.takes(c, p, i)
		}
	default:
		w.takes(c, p, i)
	}
}

// takes has a member of a cell take a request: begin what nobody has begun, go on with what another may have sent.
func (w *cellsWorld) takes(c *oneCell, p *cellProc, i *inquiry) {
	t := w.taker(c, p)
	if t == nil {
		i.hops--
		return
	}
	if (c.records[i.request] != nil || i.with != nil) && w.requests[i.request].effect == takeover.NotIdempotent {
		c.records[i.request] = &cellRecord{failed: true}
		w.say("%s judges that r%d may have run", t.name, i.request)
		return
	}
	w.begin(c, t, i.request)
}

// apart tells whether anything is cut off or down, so that nobody need be able to say.
func (w *cellsWorld) apart() bool {
	return slices.ContainsFunc(w.cells, func(c *oneCell) bool { return c.cut }) || !w.settling
}

// homeless tells whether the member that a request's client asked first was removed for good meanwhile: then its cell need not be known.
func (w *cellsWorld) homeless(q *cellRequest) bool {
	d := w.dirs[w.lead]
	if at, ok := w.placed[q.former]; ok && at >= q.asked {
		return true
	}
	p := d.Record(d.CellOf(q.former))
	return p == nil || p.Slot(q.former).Removed
}

// tell gives a client its answer: that of a run, or 0: it may have run.
func (w *cellsWorld) tell(r, run int) {
	q := w.requests[r]
	w.say("client of r%d hears %d", r, run)
	if run == 0 && !q.begun && w.settling && !w.homeless(q) {
		w.breaks("r%d fails though nobody ever began it", r)
	}
	if run != 0 && q.served != 0 && q.served != run {
		w.breaks("two answers to r%d", r)
	}
	if run != 0 {
		q.served = run
		w.met.Answers++
	} else {
		w.met.Failed++
	}
	q.over = true
}

// works takes a request that is under way one step on: look at the lease, write, take the answer.
func (w *cellsWorld) works(n, k int) {
	p := w.procs[n]
	o := p.work[k]
	q := w.requests[o.request]
	drop := func() { p.work = slices.Delete(p.work, k, k+1) }
	switch {
	case !o.checked:
		if o.cell != 0 && o.as != p.node.Self || q.over && o.cell == 0 {
			drop()
			return
		}
		if o.cell != 0 && !p.node.LeaseValid(w.now) {
			return // its lease may come again
		}
		o.checked = true
	case !o.sent:
		o.sent = true
		if q.effect != takeover.IdempotentByKey || q.runs == 0 {
			q.runs++
		}
		o.run = q.runs
		w.say("%s sends r%d", p.name, o.request)
		if q.effect == takeover.NotIdempotent && q.runs > 1 {
			w.breaks("r%d runs twice", o.request)
		}
	default:
		c := w.cell(o.cell)
		if o.cell != 0 && o.as == p.node.Self && c != nil && !p.node.LeaseValid(w.now) {
			return
		}
		drop()
		if o.cell != 0 && (o.as != p.node.Self || c == nil) {
			return
		}
		if c != nil {
			rec := c.records[o.request]
			if rec == nil || rec.owner != o.as || rec.to != 0 || rec.failed || !c.now().IsMember(o.as) {
				return
			}
			rec.answer = o.run
		}
		w.tell(o.request, o.run)
	}
}

// acts looks whether a member that may act does so below its cell's fence, later than a lease after that was agreed.
func (w *cellsWorld) acts(p *cellProc) {
	if f := w.brought[p.name]; f.number > p.node.ActiveSettings && w.now >= f.at+cellLease {
		w.breaks("%s may act on %d at %d, a cell that it has left agreed on fence %d at %d", p.name, p.node.ActiveSettings, w.now, f.number, f.at)
	}
	for _, c := range w.cells {
		for _, f := range c.fences {
			if c.id == p.node.Cell && f.number > p.node.ActiveSettings && w.now >= f.at+cellLease {
				w.breaks("%s may act on %d at %d, its cell agreed on fence %d at %d", p.name, p.node.ActiveSettings, w.now, f.number, f.at)
			}
		}
	}
}

// owners looks whether anybody may act that its cell has put out, or a name in two cells.
func (w *cellsWorld) owners() {
	for i, p := range w.procs {
		if !p.up || !p.node.LeaseValid(w.now) {
			continue
		}
		w.acts(p)
		if c := w.cell(p.node.Cell); c == nil || !c.now().IsMember(p.node.Self) {
			w.breaks("%s#%d may act, and its cell %d says that it is out", p.name, p.node.Self.Incarnation, p.node.Cell)
		}
		for _, o := range w.procs[:i] {
			if o.up && o.name == p.name && o.node.Cell != p.node.Cell && o.node.LeaseValid(w.now) {
				w.breaks("%s may act in cells %d and %d", p.name, o.node.Cell, p.node.Cell)
			}
		}
	}
}

// Met counts what came up in a way through cells: a search that met nothing shows nothing.
type Met struct{ Moves, Seals, Fences, Drops, Forgotten, Given, HandedOn, Answers, Failed, Unknown, Wholes int }

// Add sums two.
func (m Met) Add(o Met) Met {
	return Met{
		m.Moves + o.Moves, m.Seals + o.Seals, m.Fences + o.Fences, m.Drops + o.Drops, m.Forgotten + o.Forgotten, m.Given + o.Given,
		m.HandedOn + o.HandedOn, m.Answers + o.Answers, m.Failed + o.Failed, m.Unknown + o.Unknown, m.Wholes + o.Wholes,
	}
}

// event is one thing that may happen next.
type event struct {
	name string
	do   func()
}

// events draws a kind of event and lists those of it that may happen.
func (w *cellsWorld) events() (out []event) {
	add := func(name string, do func()) { out = append(out, event{name, do}) }
	spend := func(left *int, name string, do func()) {
		if *left > 0 {
			add(name, func() { *left--; do() })
		}
	}
	switch k := w.random.IntN(20); {
	case k < 4:
		w.ofClients(add)
	case k < 9:
		w.ofWork(add)
	case k < 10:
		add("a round of leases", func() {
			for n, p := range w.procs {
				if p.up && w.random.IntN(8) > 0 {
					w.lease(n)
				}
			}
		})
	case k < 11:
		w.ofAsks(add)
	case k < 13:
		for n, p := range w.procs {
			if p.up {
				add(p.name+" joins", func() { w.join(n) })
				add(p.name+" learns", func() { w.learn(n) })
			}
		}
	case k < 15:
		for _, c := range w.cells {
			add(fmt.Sprintf("turn of cell %d", c.id), func() { w.due(c); w.drop(c) })
			if w.random.IntN(4) == 0 {
				add(fmt.Sprintf("cell %d asks for certificates", c.id), func() { w.place(c) })
			}
			add(fmt.Sprintf("cell %d hears", c.id), func() { w.hear(c, w.random.IntN(2)) })
			add(fmt.Sprintf("cell %d reports", c.id), func() { w.report(c) })
		}
	case k < 17:
		add("a round of the directory", func() { w.round() })
		for r := range w.relays {
			for d := range w.dirs {
				add(fmt.Sprintf("relay %d pulls from %d", r, d), func() { w.pull(r, d, false) })
				spend(&w.left.Spoilt, fmt.Sprintf("relay %d pulls from %d, spoilt", r, d), func() { w.pull(r, d, true) })
			}
		}
		add("the other directory follows", func() { w.follow(1 - w.lead) })
		add("the directory forgets", func() { w.forget() })
	case k < 18:
		spend(&w.left.Commands, "a command", func() { w.command() })
	case k < 19:
		spend(&w.left.Ticks, "tick", func() { w.now += cellTick })
		if w.random.IntN(3) > 0 {
			break
		}
		spend(&w.left.Ticks, "some quiet time", func() {
			silent := w.random.IntN(2 * len(w.procs))
			for range 4 {
				for n, p := range w.procs {
					if p.up && n != silent {
						w.lease(n)
					}
				}
				w.now += cellTick
				w.owners()
			}
		})
	default:
		w.ofFaults(spend)
	}
	return out
}

func (w *cellsWorld) ofClients(add func(string, func())) {
	for r, q := range w.requests {
		if q.over || q.asked >= 0 && w.late(q) || w.left.Asks == 0 {
			continue
		}
		for n, p := range w.procs {
			switch {
			case !p.up:
			case q.asked < 0 && w.random.IntN(4) > 0: // not all at once
			case q.asked < 0:
				add(fmt.Sprintf("client asks %s for r%d", p.name, r), func() {
					w.left.Asks--
					q.asked, q.former = w.now, p.name
					q.asks++
					p.inbox = append(p.inbox, r)
				})
			default:
				add(fmt.Sprintf("client asks %s again for r%d", p.name, r), func() { w.left.Asks--; w.again(n, r) })
			}
		}
	}
}

// again has a client ask another member, or the same one, with the name of the first.
func (w *cellsWorld) again(n, r int) {
	p, q := w.procs[n], w.requests[r]
	c := w.cell(p.node.Cell)
	if c == nil || !c.now().IsMember(p.node.Self) || slices.ContainsFunc(p.asked, func(i *inquiry) bool { return i.request == r }) {
		return
	}
	q.asks++
	p.asked = append(p.asked, &inquiry{request: r})
}

func (w *cellsWorld) ofWork(add func(string, func())) {
	for n, p := range w.procs {
		if !p.up {
			continue
		}
		if len(p.inbox) > 0 && w.random.IntN(4) == 0 {
			add(p.name+" reads", func() { w.read(n) })
		}
		for k := range p.asked {
			add(fmt.Sprintf("%s inquires for r%d", p.name, p.asked[k].request), func() { w.inquire(n, k) })
		}
		for k := range p.work {
			add(fmt.Sprintf("%s works on r%d", p.name, p.work[k].request), func() { w.works(n, k) })
		}
	}
}

func (w *cellsWorld) ofAsks(add func(string, func())) {
	for n, p := range w.procs {
		if p.up && len(w.asks) < 4 {
			for l := range 2 {
				add(fmt.Sprintf("%s asks leader %d for a lease", p.name, l), func() { w.ask(n, l) })
			}
		}
	}
	for i := range w.asks {
		what := fmt.Sprintf("ask of %s", w.procs[w.asks[i].proc].name)
		add(what+" is confirmed", func() { w.confirm(i) })
		add(what+" is answered", func() { w.answer(i) })
		add(what+" comes back", func() { w.come(i) })
	}
}

func (w *cellsWorld) ofFaults(spend func(*int, string, func())) {
	if w.random.IntN(2) == 0 {
		for _, c := range w.cells {
			if c.cut {
				free := 1
				spend(&free, fmt.Sprintf("cell %d is heard again", c.id), func() { c.cut = false })
				return
			}
		}
	}
	for n, p := range w.procs {
		if p.up {
			spend(&w.left.Crashes, "kill "+p.name, func() { w.kill(n) })
			spend(&w.left.Doubles, "another process of "+p.name, func() { // the one before is stopped, and goes on later
				w.procs = append(w.procs, w.started(p))
			})
		} else {
			free := 1
			spend(&free, "start "+p.name, func() { w.restart(n) })
		}
	}
	for _, c := range w.cells {
		if !c.cut {
			spend(&w.left.Cuts, fmt.Sprintf("cell %d is cut off", c.id), func() { c.cut = true })
		}
		spend(&w.left.Turns, fmt.Sprintf("cell %d has another leader", c.id), func() { w.turn(c) })
	}
	spend(&w.left.Turns, "the directory has another leader", func() {
		w.lead, w.term, w.turned = 1-w.lead, w.term+1, true
		w.follow(w.lead)
	})
}

func (w *cellsWorld) turn(c *oneCell) {
	c.lead = 1 - c.lead
	c.books[c.lead] = cells.NewLeaseTable(cellLease, w.conf.Plant)
}

func (w *cellsWorld) kill(n int) {
	p := w.procs[n]
	p.up, p.inbox, p.work, p.asked = false, nil, nil, nil
}

// restart starts a killed process again.
func (w *cellsWorld) restart(n int) { w.procs[n] = w.started(w.procs[n]) }

// started is another process of a name: it knows what a relay tells.
func (w *cellsWorld) started(p *cellProc) *cellProc {
	next := w.process(p.name, p.node.Cell)
	if id := w.relays[w.random.IntN(2)].AssignedCell(p.name); id != 0 && w.cell(id) != nil {
		next.node.Cell = id
	}
	return next
}

// command has an operator, or the plan, change something.
func (w *cellsWorld) command() {
	d := w.dirs[w.lead]
	var open []cells.ID
	for _, id := range d.CellIDs() {
		if p := d.Record(id); !p.Sealed && len(p.PendingSuccessors)+len(p.Successors) == 0 {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		return
	}
	one := open[w.random.IntN(len(open))]
	seats := d.Record(one).Slots
	c := cells.Command{}
	switch w.random.IntN(10) {
	case 8:
		if len(seats) < 2 { // the last one is what others are told by
			return
		}
		c = cells.Command{Kind: cells.Remove, Names: []string{seats[w.random.IntN(len(seats))].Name}}
	case 9:
		w.assign(one)
		return
	case 0, 1, 2, 3:
		if len(seats) == 0 {
			return
		}
		c = cells.Command{Kind: cells.Move, Names: []string{seats[w.random.IntN(len(seats))].Name}, Cell: open[w.random.IntN(len(open))]}
	case 4:
		if len(seats) < 2 {
			return
		}
		c = cells.Command{Kind: cells.Split, Cell: one, Names: []string{seats[w.random.IntN(len(seats))].Name}}
	case 5:
		c = cells.Command{Kind: cells.Merge, Cells: []cells.ID{one, open[w.random.IntN(len(open))]}}
	case 6:
		c = cells.Command{Kind: cells.SetTarget, Number: d.Global().Settings + 1}
	default:
		c = cells.Command{Kind: cells.SetFence, Number: d.Global().Settings}
	}
	w.say("command %d: cell %d %v %v to %d", c.Kind, c.Cell, c.Cells, c.Names, c.Number)
	w.propose(c)
}

// assign gives a name that has no place one in a cell.
func (w *cellsWorld) assign(id cells.ID) {
	for _, name := range []string{"a", "b", "c", "d"} {
		if w.dirs[w.lead].CellOf(name) == 0 {
			w.say("%s is assigned to cell %d", name, id)
			w.placed[name] = w.now
			w.propose(cells.Command{Kind: cells.Assign, Cell: id, Slots: []cells.MemberSlot{{Name: name, Zone: name}}})
			return
		}
	}
}

// round is a quiet one: all that lags hears what is new.
func (w *cellsWorld) round() {
	w.follow(w.lead)
	for r := range w.relays {
		for n := 0; n < 50 && w.pull(r, w.lead, false); n++ {
		}
	}
	for _, c := range w.cells {
		w.hear(c, 0)
		w.report(c)
	}
}

// settle mends all and lets the world come to rest, and looks whether it does: all on the newest word, nothing lost.
func (w *cellsWorld) settle() {
	w.settling, w.asks = true, nil
	w.say("all is mended")
	for _, c := range w.cells {
		c.cut = false
	}
	w.procs = w.procs[:4]
	var open []int
	for r, q := range w.requests {
		if q.asked >= 0 && !q.over && w.now-q.asked <= cellTick {
			open = append(open, r)
		}
	}
	for range cellSettle {
		for n, p := range w.procs {
			if !p.up {
				w.restart(n)
			}
		}
		w.follow(1 - w.lead)
		w.round()
		w.forget()
		if d := w.dirs[w.lead]; len(w.gone) == 0 { // what was removed comes back
			for _, id := range d.CellIDs() {
				if p := d.Record(id); !p.Sealed && len(p.PendingSuccessors)+len(p.Successors) == 0 {
					w.assign(id)
				}
			}
		}
		for _, c := range w.cells {
			c.applied = [2]int{len(c.log) - 1, len(c.log) - 1}
			w.due(c)
			w.drop(c)
		}
		for n, p := range w.procs {
			w.join(n)
			w.learn(n)
			w.lease(n)
			for len(p.inbox) > 0 {
				w.read(n)
			}
		}
		for range 8 {
			for n, p := range w.procs {
				for k := len(p.asked) - 1; k >= 0; k-- {
					w.inquire(n, k)
				}
				for k := len(p.work) - 1; k >= 0; k-- {
					w.works(n, k)
				}
			}
		}
		for r, q := range w.requests {
			if q.asked >= 0 && !q.over && !w.late(q) {
				w.again(w.random.IntN(len(w.procs)), r)
			}
		}
		w.now += cellTick
		if w.owners(); w.broken != "" || w.restless() == "" && w.answered(open) {
			return
		}
	}
	if why := w.restless(); why != "" {
		w.breaks("%d rounds after all was mended %s", cellSettle, why)
	}
	for _, r := range open {
		if !w.requests[r].over {
			w.breaks("r%d is lost", r)
		}
	}
}

func (w *cellsWorld) answered(open []int) bool {
	return !slices.ContainsFunc(open, func(r int) bool { return !w.requests[r].over })
}

// restless tells what has not come to rest; empty: nothing.
func (w *cellsWorld) restless() string {
	d := w.dirs[w.lead]
	for _, p := range w.procs {
		switch {
		case !p.up || p.node.Cell != d.CellOf(p.name):
			return fmt.Sprintf("%s is in cell %d, the directory has it in %d", p.name, p.node.Cell, d.CellOf(p.name))
		case !p.node.LeaseValid(w.now):
			return fmt.Sprintf("%s has no lease in cell %d", p.name, p.node.Cell)
		case p.node.ActiveSettings != d.Global().Settings:
			return fmt.Sprintf("%s acts on %d, the newest is %d", p.name, p.node.ActiveSettings, d.Global().Settings)
		}
	}
	for _, id := range d.CellIDs() {
		p, c := d.Record(id), w.cell(id)
		switch {
		case p.Sealed || c == nil:
		case len(p.PendingSuccessors)+len(p.Successors) > 0:
			return fmt.Sprintf("cell %d is not sealed", id)
		case c.now().LastUpdate.Record.ChangedAt != p.ChangedAt || c.now().LastUpdate.Global != d.Global():
			return fmt.Sprintf("cell %d has heard %v, its part was changed at %v", id, c.now().LastUpdate.Version, p.ChangedAt)
		}
	}
	return ""
}

// WalkCells goes one way at random from a seed, for at most so many steps, then mends all and sees it come to rest.
func WalkCells(c CellsConfig, seed uint64, steps int) Found {
	w := startCells(&c, seed)
	f := Found{}
	for n := 0; n < steps && w.broken == ""; n++ {
		all := w.events()
		if len(all) == 0 {
			continue
		}
		e := all[w.random.IntN(len(all))]
		w.trace = append(w.trace, e.name)
		e.do()
		w.owners()
		f.States++
	}
	if w.broken == "" {
		w.settle()
	}
	f.Met = w.met
	if f.Broken = w.broken; f.Broken != "" {
		f.Trace = w.trace
	}
	return f
}
