package audit

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"damsonscale/internal/auditevent"
	"damsonscale/internal/takeover"
)

// EventRange is an inclusive range of event numbers.
type EventRange struct {
	First uint64 `json:"First"`
	Last  uint64 `json:"Last"`
}

// Trail holds the known events of one incarnation of a member.
type Trail struct {
	Member        takeover.Member    `json:"Member"` // without a name if the trail holds only the faults of segments that could not be opened
	KnownEvents   []EventRange       `json:"Known"`  // events whose segments were read, in ascending order
	LastEvent     uint64             `json:"Last"`   // number of the incarnation's last known event
	Ended         bool               `json:"Ended"`  // the incarnation ended cleanly: there are no events after LastEvent
	Counts        []VersionCounts    `json:"Counts"` // numbers of the events up to LastEvent, by version and kind
	Faults        []string           `json:"Faults"` // descriptions of corrupt or inconsistent segments
	Events        []auditevent.Event `json:"Acts"`   // events that the query selects
	CutUnixMillis int64              `json:"Wall"`   // time at which the last segment with a known time was cut, by the member's wall clock; 0 if unknown
}

// Gaps returns the ranges of events up to LastEvent whose segments are missing. Events before the first known event were evicted to save
// space, or lost.
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

// Query selects events. The zero value selects all events.
type Query struct {
	_               struct{} `cbor:",toarray"`
	ID              string   // id of the request; empty for any
	Member          string   // name of the member that recorded the event; empty for any
	Version         *uint64  // number of the settings; nil for any
	SinceUnixMillis int64    // excludes segments known to have been cut earlier, by the wall clock of the member that recorded them; 0 for none
}

// matches reports whether a query selects an event by request id and version.
func (q *Query) matches(e *auditevent.Event) bool {
	return (q.ID == "" || q.ID == e.ID) && (q.Version == nil || *q.Version == e.Version.Settings)
}

// AssembleTrails builds one trail for each incarnation. The segments may be in any order, and may be duplicated or corrupt. Segments that
// can't be opened are listed as faults of a trail without a member.
func (c *Codec) AssembleTrails(fleet uint64, segments []SealedSegment, q *Query) []Trail {
	chains := map[takeover.Member][]*chainSegment{}
	var unreadable []string
	for i := range segments {
		seg, err := c.Open(fleet, &segments[i])
		if err != nil {
			unreadable = append(unreadable, fmt.Sprintf("segment %v: %v", segments[i].Hash, err))
			continue
		}
		chains[seg.Member] = append(chains[seg.Member], &chainSegment{seg, segments[i].Hash})
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

// chainSegment is a decoded segment with its hash.
type chainSegment struct {
	*Segment
	hash Hash
}

// assemble builds the trail of one incarnation from its segments.
func assemble(m takeover.Member, chain []*chainSegment, q *Query) Trail {
	t := Trail{Member: m}
	slices.SortStableFunc(chain, func(x, y *chainSegment) int { return cmp.Compare(x.Index, y.Index) })
	var previous *chainSegment
	for _, l := range chain {
		usable, fault := checkSuccessor(previous, l)
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

// checkSuccessor reports whether a trail can use segment l after the previous segment, which is nil for the first one, and returns a
// description of the fault if there is one. A duplicate is skipped without a fault. A segment whose PreviousHash does not match, or that
// follows a final segment, is a fault, but its events are used.
func checkSuccessor(previous, l *chainSegment) (usable bool, fault string) {
	switch {
	case previous == nil && l.Index == 1 && (l.FirstEvent != 1 || l.PreviousHash != Hash{}):
		return false, fmt.Sprintf("segment 1 begins with event %d: want event 1 and no previous hash", l.FirstEvent)
	case previous == nil:
		return true, ""
	case l.Index == previous.Index && l.hash == previous.hash:
		return false, ""
	case l.Index == previous.Index:
		return false, fmt.Sprintf("two segments with index %d: hashes %v and %v", l.Index, previous.hash, l.hash)
	case l.Index == previous.Index+1 && l.PreviousHash != previous.hash:
		return true, fmt.Sprintf("segment %d has previous hash %v, but the preceding segment has hash %v", l.Index, l.PreviousHash, previous.hash)
	case l.FirstEvent <= previous.LastEvent || l.Index == previous.Index+1 && l.FirstEvent != previous.LastEvent+1:
		return false, fmt.Sprintf("segment %d begins with event %d, but the preceding segment ends with event %d", l.Index, l.FirstEvent, previous.LastEvent)
	case previous.Final:
		return true, fmt.Sprintf("segment %d follows a final segment", l.Index)
	}
	return true, ""
}

// add appends the next segment of the chain to the trail.
func (t *Trail) add(l *chainSegment, q *Query) {
	t.LastEvent, t.Ended, t.Counts, t.CutUnixMillis = l.LastEvent, l.Final, l.Counts, cmp.Or(l.CutUnixMillis, t.CutUnixMillis)
	if l.LastEvent < l.FirstEvent {
		return
	}
	body, err := l.unpack()
	var events []auditevent.Event
	if err == nil && (q.ID == "" || bytes.Contains(body, []byte(q.ID))) { // decoding takes most of a query's time: skip bodies without the id
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

// checkCounts adds a fault if the counts of the last segment do not add up to the number of its last event.
func (t *Trail) checkCounts() {
	total := uint64(0)
	for _, c := range t.Counts {
		for _, n := range c.ByKind {
			total += n
		}
	}
	if t.LastEvent > 0 && total != t.LastEvent {
		t.Faults = append(t.Faults, fmt.Sprintf("counts add up to %d events, but the last event has number %d", total, t.LastEvent))
	}
}
