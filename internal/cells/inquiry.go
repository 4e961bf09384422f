package cells

// Inquiry is an ask for a request on its way through the cells that may have its record, from the oldest onwards. Each of them
// either has it, or gives it away to the next one for good, so that of all who ask one cell alone decides.
type Inquiry struct {
	Former  string // whom the client asked first
	At      ID
	path    []ID // cells after At, by who has set out
	started bool // At is the oldest, or comes after it
	given   bool // a cell before has given the request to At
}

// NewInquiry begins one at a cell that knows its former member, or may.
func NewInquiry(former string, at ID) *Inquiry { return &Inquiry{Former: former, At: at} }

// Here begins one at a cell that has the record, or that a cell before has given the request to.
func Here(former string, at ID) *Inquiry {
	return &Inquiry{Former: former, At: at, started: true, given: true}
}

// Seek is what an inquiry does next.
type Seek uint8

const (
	Look    Seek = iota // at the records of this cell
	Onward              // to At, which has changed
	Unknown             // nobody can say: unsafe work fails
)

// Seek tells whether this cell is the one to look at.
func (q *Inquiry) Seek(l *Log) Seek {
	if q.started {
		return Look
	}
	at, ok := l.Start(q.Former)
	switch {
	case !ok:
		return Unknown
	case at == l.ID:
		q.started = true
		return Look
	}
	if came := l.Came[q.Former]; len(came) > 0 {
		q.path = nil
		for _, d := range came[1:] {
			q.path = append(q.path, d.Cell)
		}
		q.path, q.started = append(q.path, l.ID), true
	}
	q.At = at
	return Onward
}

// Nothing tells what to do where the cell's holders know nothing of the request: Look: a member of this cell may begin it;
// Onward: with give the holders are told first that it is At's, for good.
func (q *Inquiry) Nothing(l *Log) (s Seek, give bool) {
	_, left := l.Left[q.Former]
	here := left || q.given || l.Heard.Part.Seat(q.Former) != nil
	if to := l.Heir(q.Former); here && to != l.ID {
		q.At, q.given = to, true
		if len(q.path) > 0 && q.path[0] == to {
			q.path = q.path[1:]
		}
		return Onward, true
	}
	if here {
		return Look, false
	}
	if len(q.path) > 0 { // it left this cell longer ago than any request lives
		q.At, q.path = q.path[0], q.path[1:]
		return Onward, false
	}
	return Unknown, false
}

// Forgotten tells what to do where the directory has forgotten the cell At: it was sealed, and its last name arrived elsewhere, longer
// ago than any request lives.
func (q *Inquiry) Forgotten() Seek {
	if len(q.path) == 0 {
		return Unknown
	}
	q.At, q.path = q.path[0], q.path[1:]
	return Onward
}
