package cells

// Lookup is the way of a request that a client repeats, through the cells that may have its record, from the oldest onwards. Each of them either
// has the record or assigns the request to the next one for good, so that one cell alone decides, whoever asks.
type Lookup struct {
	FirstAsked string // the member that the client asked first
	Cell       ID     // the cell to ask
	path       []ID   // cells after At, by the cell that began
	started    bool   // At is the oldest cell, or comes after it
	assigned   bool   // a cell before has assigned the request to At
}

// NewLookup begins a lookup at a cell that may know the member that was asked first.
func NewLookup(firstAsked string, at ID) *Lookup { return &Lookup{FirstAsked: firstAsked, Cell: at} }

// NewLocalLookup begins a lookup at a cell that has the record, or that the request was assigned to.
func NewLocalLookup(firstAsked string, at ID) *Lookup {
	return &Lookup{FirstAsked: firstAsked, Cell: at, started: true, assigned: true}
}

// LookupStep is the next step of a lookup.
type LookupStep uint8

// Steps of a lookup.
const (
	SearchHere LookupStep = iota // search the records of this cell, or begin the request here
	Forward                      // ask the cell At, which has changed
	Unknown                      // no cell can tell: work that is not idempotent fails
)

// Next returns the step at the cell At, whose log is given.
func (q *Lookup) Next(l *Log) LookupStep {
	if q.started {
		return SearchHere
	}
	start, ok := l.LookupStart(q.FirstAsked)
	switch {
	case !ok:
		return Unknown
	case start == l.ID:
		q.started = true
		return SearchHere
	}
	if former := l.FormerCells[q.FirstAsked]; len(former) > 0 {
		q.path = nil
		for _, d := range former[1:] {
			q.path = append(q.path, d.Cell)
		}
		q.path, q.started = append(q.path, l.ID), true
	}
	q.Cell = start
	return Forward
}

// NotFound returns the step where no replica of the cell At has a record. SearchHere: a member of this cell may begin the request. Forward with
// assign: the replicas must first note that the request is assigned to the new At, for good.
func (q *Lookup) NotFound(l *Log) (step LookupStep, assign bool) {
	_, departed := l.Departures[q.FirstAsked]
	belongsHere := departed || q.assigned || l.record().Slot(q.FirstAsked) != nil
	if to := l.Successor(q.FirstAsked); belongsHere && to != l.ID {
		q.Cell, q.assigned = to, true
		if len(q.path) > 0 && q.path[0] == to {
			q.path = q.path[1:]
		}
		return Forward, true
	}
	if belongsHere {
		return SearchHere, false
	}
	return q.followPath(), false // the member left this cell before the longest deadline
}

// CellForgotten returns the step where the directory has forgotten the cell At: it was sealed, and its last member arrived elsewhere, before the
// longest deadline.
func (q *Lookup) CellForgotten() LookupStep { return q.followPath() }

// followPath goes on to the next cell of the path.
func (q *Lookup) followPath() LookupStep {
	if len(q.path) == 0 {
		return Unknown
	}
	q.Cell, q.path = q.path[0], q.path[1:]
	return Forward
}
