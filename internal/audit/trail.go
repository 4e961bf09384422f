package audit

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"damsonscale/internal/auditevent"
	"damsonscale/internal/takeover"
)

// EventRange is a range of event numbers, both ends included.
type EventRange struct {
	First uint64 `json:"First"`
	Last  uint64 `json:"Last"`
}

// Trail is what is known of one incarnation of a member.
type Trail struct {
	Member        takeover.Member    `json:"Member"` // without a name: the trail holds the faults of segments that could not be opened
	KnownEvents   []EventRange       `json:"Known"`  // events whose segments were read, in order
	LastEvent     uint64             `json:"Last"`   // number of the last event that is known of, read or counted
	Ended         bool               `json:"Ended"`  // the incarnation ended in good order: there are no events after Last
	Counts        []VersionCounts    `json:"Counts"`
	Faults        []string           `json:"Faults"` // segments that are corrupt or contradict each other
	Events        []auditevent.Event `json:"Acts"`   // those that the query selects
	CutUnixMillis int64              `json:"Wall"`   // of its last segment, by the member's own clock; 0: not known
}

// Gaps returns the events up to Last that no segment was read for. Those before the first known event were dropped for lack of space, or lost.
func (t *Trail) Gaps() (gaps []EventRange) {
	next := uint64(1)
	for _, k := range t.KnownEvents {
		if k.First > next {
			gaps = append(gaps, EventRange{next, k.First - 1})
		}
		next = k.Last + 1
	}
	if next <= t.LastEvent {
		gaps = append(gaps, EventRange{next, t.LastEvent})
	}
	return gaps
}

// Query selects events. Its zero value selects all.
type Query struct {
	_               struct{} `cbor:",toarray"`
	ID              string   // of the request
	Member          string   // its name
	Version         *uint64  // number of the settings
	SinceUnixMillis int64    // by the clock of the member that acted; 0: no bound
}

// matches reports whether a query selects an event of a segment that was read.
func (q *Query) matches(e *auditevent.Event) bool {
	return (q.ID == "" || q.ID == e.ID) && (q.Version == nil || *q.Version == e.Version.Settings)
}

// AssembleTrails builds one trail for each incarnation from segments in any order, which may be duplicated or corrupt. Segments that can't
// be opened are listed as the faults of a trail without a member.
func (c *Codec) AssembleTrails(fleet uint64, segments []SealedSegment, q *Query) []Trail {
	chains := map[takeover.Member][]*link{}
	var unreadable []string
	for i := range segments {
		seg, err := c.Open(fleet, &segments[i])
		if err != nil {
			unreadable = append(unreadable, fmt.Sprintf("segment %v: %v", segments[i].Hash, err))
			continue
		}
		chains[seg.Member] = append(chains[seg.Member], &link{seg, segments[i].Hash})
	}
	var trails []Trail
	for m, chain := range chains {
		if q.Member != "" && q.Member != m.Name {
			continue
		}
		trails = append(trails, assemble(m, chain, q))
	}
	slices.SortFunc(trails, func(a, b Trail) int {
		return cmp.Or(cmp.Compare(a.Member.Name, b.Member.Name), cmp.Compare(a.CutUnixMillis, b.CutUnixMillis),
			cmp.Compare(a.Member.Incarnation, b.Member.Incarnation))
	})
	if len(unreadable) > 0 {
		trails = append(trails, Trail{Faults: slices.Compact(slices.Sorted(slices.Values(unreadable)))})
	}
	return trails
}

// link is a segment of a chain, with its hash.
type link struct {
	*Segment
	hash Hash
}

// assemble builds the trail of one incarnation.
func assemble(m takeover.Member, chain []*link, q *Query) Trail {
	t := Trail{Member: m}
	slices.SortStableFunc(chain, func(x, y *link) int { return cmp.Compare(x.Index, y.Index) })
	var previous *link
	for _, l := range chain {
		usable, fault := follows(previous, l)
		if fault != "" {
			t.Faults = append(t.Faults, fault)
		}
		if !usable {
			continue
		}
		previous = l
		t.add(l, q)
	}
	t.checkCounts()
	return t
}

// follows reports whether a segment can be used after the previous one (nil: there is none), and what is wrong with it. A duplicate is
// neither used nor a fault; a segment that names another predecessor, or comes after a final one, is used all the same.
func follows(previous, l *link) (usable bool, fault string) {
	switch {
	case previous == nil && l.Index == 1 && (l.FirstEvent != 1 || l.PreviousHash != Hash{}):
		return false, fmt.Sprintf("segment 1 begins with event %d", l.FirstEvent)
	case previous == nil:
		return true, ""
	case l.Index == previous.Index && l.hash == previous.hash:
		return false, ""
	case l.Index == previous.Index:
		return false, fmt.Sprintf("two segments %d: %v and %v", l.Index, previous.hash, l.hash)
	case l.Index == previous.Index+1 && l.PreviousHash != previous.hash:
		return true, fmt.Sprintf("segment %d names %v as the one before, which is %v", l.Index, l.PreviousHash, previous.hash)
	case l.FirstEvent <= previous.LastEvent || l.Index == previous.Index+1 && l.FirstEvent != previous.LastEvent+1:
		return false, fmt.Sprintf("segment %d begins with event %d, the one before ends with %d", l.Index, l.FirstEvent, previous.LastEvent)
	case previous.Final:
		return true, fmt.Sprintf("segment %d comes after the end", l.Index)
	}
	return true, ""
}

// add adds a segment that follows those added before.
func (t *Trail) add(l *link, q *Query) {
	t.LastEvent, t.Ended, t.Counts, t.CutUnixMillis = l.LastEvent, l.Final, l.Counts, cmp.Or(l.CutUnixMillis, t.CutUnixMillis)
	if l.LastEvent < l.FirstEvent {
		return
	}
	body, err := l.unpack()
	var events []auditevent.Event
	if err == nil && (q.ID == "" || bytes.Contains(body, []byte(q.ID))) { // decoding takes most of a query's time
		events, err = l.decode(body)
	}
	if err != nil {
		t.Faults = append(t.Faults, err.Error())
		return
	}
	if n := len(t.KnownEvents); n > 0 && t.KnownEvents[n-1].Last+1 == l.FirstEvent {
		t.KnownEvents[n-1].Last = l.LastEvent
	} else {
		t.KnownEvents = append(t.KnownEvents, EventRange{l.FirstEvent, l.LastEvent})
	}
	if q.SinceUnixMillis > 0 && l.CutUnixMillis > 0 && l.CutUnixMillis < q.SinceUnixMillis {
		return
	}
	for i := range events {
		if q.matches(&events[i]) {
			t.Events = append(t.Events, events[i])
		}
	}
}

// checkCounts compares the counts of the last segment with the number of its last event.
func (t *Trail) checkCounts() {
	total := uint64(0)
	for _, c := range t.Counts {
		for _, n := range c.ByKind {
			total += n
		}
	}
	if t.LastEvent > 0 && total != t.LastEvent {
		t.Faults = append(t.Faults, fmt.Sprintf("%d events counted, %d numbered", total, t.LastEvent))
	}
}
