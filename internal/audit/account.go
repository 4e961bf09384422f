package audit

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"damsonscale/internal/auditevent"
	"damsonscale/internal/takeover"
)

// EventRange is acts by number, both included.
type EventRange struct {
	First uint64 `json:"First"`
	Last  uint64 `json:"Last"`
}

// Trail is what is known of one incarnation.
type Trail struct {
	Member        takeover.Member    `json:"Member"`
	Known         []EventRange       `json:"Known"` // acts that can be told, in order
	Last          uint64             `json:"Last"`  // the last act known of, told or counted
	Ended         bool               `json:"Ended"` // in good order: there are no acts after Last
	Counts        []Count            `json:"Counts"`
	Faults        []string           `json:"Faults"` // segments that are spoilt, that don't fit each other
	Events        []auditevent.Event `json:"Acts"`   // of those told, the ones asked for
	CutUnixMillis int64              `json:"Wall"`   // Unix ms by its own clock, of its last segment; 0: not told
}

// Gaps lists the acts that are known to have been and can't be told. Those before the first told one are out of the window, or lost.
func (a *Trail) Gaps() (out []EventRange) {
	next := uint64(1)
	for _, k := range a.Known {
		if k.First > next {
			out = append(out, EventRange{next, k.First - 1})
		}
		next = k.Last + 1
	}
	if next <= a.Last {
		out = append(out, EventRange{next, a.Last})
	}
	return out
}

// Query chooses acts. Its zero value chooses all.
type Query struct {
	_               struct{} `cbor:",toarray"`
	ID              string
	Member          string
	Version         *uint64 // number of the settings
	SinceUnixMillis int64   // Unix ms, by the clock of the member that acted; 0: ever
}

func (q *Query) wants(a *auditevent.Event) bool {
	return (q.ID == "" || q.ID == a.ID) && (q.Version == nil || *q.Version == a.Version.Settings)
}

// AssembleTrails makes accounts of segments, which may be doubled, spoilt, or of several members, in any order.
func (c *Codec) AssembleTrails(fleet uint64, all []SealedSegment, q *Query) []Trail {
	chains := map[takeover.Member][]*link{}
	var unread []string
	for i := range all {
		seg, err := c.Open(fleet, &all[i])
		if err != nil {
			unread = append(unread, fmt.Sprintf("segment %v: %v", all[i].Hash, err))
			continue
		}
		chains[seg.Member] = append(chains[seg.Member], &link{seg, all[i].Hash})
	}
	var out []Trail
	for m, chain := range chains {
		if q.Member != "" && q.Member != m.Name {
			continue
		}
		out = append(out, account(m, chain, q))
	}
	slices.SortFunc(out, func(a, b Trail) int {
		return cmp.Or(cmp.Compare(a.Member.Name, b.Member.Name), cmp.Compare(a.CutUnixMillis, b.CutUnixMillis), cmp.Compare(a.Member.Incarnation, b.Member.Incarnation))
	})
	if len(unread) > 0 {
		out = append(out, Trail{Faults: slices.Compact(slices.Sorted(slices.Values(unread)))})
	}
	return out
}

type link struct {
	*Segment
	hash Hash
}

func account(m takeover.Member, chain []*link, q *Query) Trail {
	a := Trail{Member: m}
	slices.SortStableFunc(chain, func(x, y *link) int { return cmp.Compare(x.Index, y.Index) })
	var last *link
	fault := func(format string, args ...any) { a.Faults = append(a.Faults, fmt.Sprintf(format, args...)) }
	for _, l := range chain {
		switch {
		case last == nil && l.Index == 1 && (l.First != 1 || l.PreviousHash != Hash{}):
			fault("segment 1 begins with act %d", l.First)
			continue
		case last == nil:
		case l.Index == last.Index && l.hash == last.hash:
			continue
		case l.Index == last.Index:
			fault("two segments %d: %v and %v", l.Index, last.hash, l.hash)
			continue
		case l.Index == last.Index+1 && l.PreviousHash != last.hash:
			fault("segment %d names %v as the one before, which is %v", l.Index, l.PreviousHash, last.hash)
		case l.First <= last.Last || l.Index == last.Index+1 && l.First != last.Last+1:
			fault("segment %d begins with act %d, the one before ends with %d", l.Index, l.First, last.Last)
			continue
		case last.Final:
			fault("segment %d comes after the end", l.Index)
		}
		last = l
		a.Last, a.Ended, a.Counts, a.CutUnixMillis = l.Last, l.Final, l.Counts, cmp.Or(l.CutUnixMillis, a.CutUnixMillis)
		if l.Last < l.First {
			continue
		}
		raw, err := l.unpack()
		var told []auditevent.Event
		if err == nil && (q.ID == "" || bytes.Contains(raw, []byte(q.ID))) { // reading is most of an inquiry's time
			told, err = l.read(raw)
		}
		if err != nil {
			fault("%v", err)
			continue
		}
		if n := len(a.Known); n > 0 && a.Known[n-1].Last+1 == l.First {
			a.Known[n-1].Last = l.Last
		} else {
			a.Known = append(a.Known, EventRange{l.First, l.Last})
		}
		if q.SinceUnixMillis > 0 && l.CutUnixMillis > 0 && l.CutUnixMillis < q.SinceUnixMillis {
			continue
		}
		for i := range told {
			if q.wants(&told[i]) {
				a.Events = append(a.Events, told[i])
			}
		}
	}
	a.check(fault)
	return a
}

// check compares counts and acts where all acts can be told.
func (a *Trail) check(fault func(string, ...any)) {
	total := uint64(0)
	for _, c := range a.Counts {
		for _, n := range c.ByKind {
			total += n
		}
	}
	if a.Last > 0 && total != a.Last {
		fault("%d acts counted, %d numbered", total, a.Last)
	}
}
