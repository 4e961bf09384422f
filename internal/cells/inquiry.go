package cells

// Lookup is an ask for a request on its way through the cells that may have its record, from the oldest onwards. Each of them
// either has it, or gives it away to the next one for good, so that of all who ask one cell alone decides.
type Lookup struct {
	FirstAsked string // whom the client asked first
	At         ID
	path       []ID // cells after At, by who has set out
	started    bool // At is the oldest, or comes after it
	given      bool // a cell before has given the request to At
}

// NewLookup begins one at a cell that knows its former member, or may.
func NewLookup(former string, at ID) *Lookup { return &Lookup{FirstAsked: former, At: at} }

// NewLocalLookup begins one at a cell that has the record, or that a cell before has given the request to.
func NewLocalLookup(former string, at ID) *Lookup {
	return &Lookup{FirstAsked: former, At: at, started: true, given: true}
}

// LookupStep is what an inquiry does next.
type LookupStep uint8

const (
	SearchHere LookupStep = iota // at the records of this cell
	Forward                      // to At, which has changed
	Unknown                      // nobody can say: unsafe work fails
)

// Next tells whether this cell is the one to look at.
func (q *Lookup) Next(l *Log) LookupStep {
	if q.started {
		return SearchHere
	}
	at, ok := l.LookupStart(q.FirstAsked)
	switch {
	case !ok:
		return Unknown
	case at == l.ID:
		q.started = true
		return SearchHere
	}
	if came := l.FormerCells[q.FirstAsked]; len(came) > 0 {
		q.path = nil
		for _, d := range came[1:] {
			q.path = append(q.path, d.Cell)
		}
		q.path, q.started = append(q.path, l.ID), true
	}
	q.At = at
	return Forward
}

// NotFound tells what to do where the cell's holders know nothing of the request: Look: a member of this cell may begin it;
// Onward: with give the holders are told first that it is At's, for good.
func (q *Lookup) NotFound(l *Log) (s LookupStep, give bool) {
	_, left := l.Departures[q.FirstAsked]
	here := left || q.given || l.LastUpdate.Record.Slot(q.FirstAsked) != nil
	if to := l.Successor(q.FirstAsked); here && to != l.ID {
		q.At, q.given = to, true
		if len(q.path) > 0 && q.path[0] == to {
			q.path = q.path[1:]
		}
		return Forward, true
	}
	if here {
		return SearchHere, false
	}
	if len(q.path) > 0 { // it left this cell longer ago than any request lives
		q.At, q.path = q.path[0], q.path[1:]
		return Forward, false
	}
	return Unknown, false
}

// CellForgotten tells what to do where the directory has forgotten the cell At: it was sealed, and its last name arrived elsewhere, longer
// ago than any request lives.
func (q *Lookup) CellForgotten() LookupStep {
	if len(q.path) == 0 {
		return Unknown
	}
	q.At, q.path = q.path[0], q.path[1:]
	return Forward
}
