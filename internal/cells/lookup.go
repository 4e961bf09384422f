package cells

// Lookup is the search for the record of a retried request through the cells that may have it, oldest first. Each cell either has the record or
// permanently assigns the request to the next cell, so that a single cell decides about the request, whichever member the client asks.
type Lookup struct {
	FirstAsked string // the member that the client asked first
	Cell       ID     // the cell to search next
	path       []ID   // cells to search after Cell, as listed by the cell where the lookup started
	started    bool   // the lookup has reached the oldest cell
	assigned   bool   // an earlier cell has assigned the request to Cell
}

// NewLookup starts a lookup at a cell that may know the member that the client asked first.
func NewLookup(firstAsked string, at ID) *Lookup { return &Lookup{FirstAsked: firstAsked, Cell: at} }

// NewLocalLookup starts a lookup at a cell that has the record or that the request was assigned to.
func NewLocalLookup(firstAsked string, at ID) *Lookup {
	return &Lookup{FirstAsked: firstAsked, Cell: at, started: true, assigned: true}
}

// LookupStep is the next step of a lookup.
type LookupStep uint8

// Lookup steps.
const (
	SearchHere LookupStep = iota // search the records of this cell, or execute the request here if there is no record
	Forward                      // continue at Lookup.Cell, which has changed
	Unknown                      // no cell can be found: a request that is not idempotent fails
)

// Next returns the step at q.Cell. l is the log of that cell.
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

// NotFound returns the step after no replica of q.Cell has a record. With SearchHere a member of this cell may execute the request. With Forward
// and assign the replicas must first record that the request is permanently assigned to the new q.Cell.
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
	return q.followPath(), false // the member left this cell longer ago than the longest deadline
}

// CellForgotten returns the step if the directory has deleted q.Cell: that cell was sealed, and its last member arrived in another cell, longer
// ago than the longest deadline.
func (q *Lookup) CellForgotten() LookupStep { return q.followPath() }

// followPath continues at the next cell of the path.
func (q *Lookup) followPath() LookupStep {
	if len(q.path) == 0 {
		return Unknown
	}
	q.Cell, q.path = q.path[0], q.path[1:]
	return Forward
}
