package fleet

import (
	"context"
	"fmt"
	"log"
	"slices"
	"time"

	"damsonscale/internal/audit"
	"damsonscale/internal/takeover"
)

const (
	cutsALease  = 6         // segments cut while one lease lasts
	pushMost    = 512 << 10 // bytes of segments sent to a member at a time
	pushWaiting = 8 << 20   // bytes of segments that nobody has taken yet
	segmentsEnd = ".segments"
)

// takenOf says that a segment is held.
type takenOf struct {
	_     struct{} `cbor:",toarray"`
	Of    takeover.Member
	Index uint64
}

// ledger is the actor of the account: it cuts this member's segments, has others hold them, and holds theirs.
type ledger struct {
	f       *Fleet
	codec   *audit.Codec
	shelf   *audit.SegmentStore
	pushing *audit.Replication
	holders []string
	met     map[string]uint64 // the holders' processes that were sent what there was
	box     chan func()
	disk    *disk
	lost    int
}

func newLedger(f *Fleet) (*ledger, error) {
	codec, err := audit.NewCodec()
	if err != nil {
		return nil, err
	}
	l := &ledger{
		f: f, codec: codec, shelf: audit.NewSegmentStore(codec, f.wire.id, f.opts.Audit.Bytes), pushing: audit.NewReplication(pushWaiting), box: make(chan func(), 1024),
	}
	l.choose(*f.me.Load())
	if dir := f.opts.Audit.Dir; dir != "" {
		l.disk = &disk{dir: dir, most: f.opts.Audit.DiskBytes, coder: f.coder}
		for _, z := range l.disk.open(*f.me.Load()) {
			l.shelf.Put(z) // another fleet's stays where it is, and is not told
		}
	}
	return l, nil
}

// choose finds who holds the segments of an incarnation: the first names by rendezvous.
func (l *ledger) choose(me takeover.Member) {
	others := slices.DeleteFunc(slices.Clone(l.f.names), func(n string) bool { return n == me.Name })
	l.holders, l.met = takeover.Replicas(others, fmt.Sprintf("%s/%x", me.Name, me.Incarnation), l.f.opts.Audit.Holders), map[string]uint64{}
}

// see sends all there is of this incarnation to a holder that has started anew: it has forgotten. Guards against an account that
// only this member holds once its holders were restarted.
func (l *ledger) see(r *roster) {
	me := *l.f.me.Load()
	latest := map[string]uint64{}
	for _, s := range r.Seats { // in the order of joining
		latest[s.Member.Name] = s.Member.Incarnation
	}
	for _, name := range l.holders {
		now, ok := latest[name]
		was, before := l.met[name]
		if !ok || now == was {
			continue
		}
		if l.met[name] = now; !before {
			continue
		}
		for _, z := range l.shelf.Segments(me.Name) {
			if seg, err := l.codec.Open(l.f.wire.id, &z); err == nil && seg.Member == me {
				l.pushing.Add(z, seg, []string{name})
			}
		}
	}
}

// run is the actor.
func (l *ledger) run(ctx context.Context) {
	tick := time.NewTicker(l.f.opts.Fleet.Lease / cutsALease)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-l.box:
			fn()
		case <-tick.C:
			l.add(l.f.book.Cut(time.Now().UnixMilli()))
			l.push()
		}
	}
}

// post hands the actor something to do, unless it has too much to do: what counts is sent again.
func (l *ledger) post(fn func()) {
	select {
	case l.box <- fn:
	default:
	}
}

// add takes segments that were cut.
func (l *ledger) add(all []audit.SealedSegment, err error) {
	if err != nil {
		log.Printf("event=audit_gap err=%q", err)
	}
	for _, z := range all {
		seg, err := l.shelf.Put(z)
		if err != nil {
			log.Printf("event=audit_gap err=%q", err)
			continue
		}
		if l.disk != nil {
			l.disk.append(&z)
		}
		l.pushing.Add(z, seg, l.holders)
	}
	if l.disk != nil {
		l.disk.flush()
	}
	if l.pushing.Dropped > l.lost {
		log.Printf("event=audit_unheld segments=%d", l.pushing.Dropped-l.lost)
		l.lost = l.pushing.Dropped
	}
}

// push sends what others do not hold yet.
func (l *ledger) push() {
	now := l.f.micros()
	for _, name := range l.f.names {
		if due := l.pushing.Due(now, name, l.f.opts.Fleet.Lease.Microseconds(), pushMost); len(due) > 0 {
			if text, err := l.f.coder.out.Marshal(due); err == nil {
				l.f.send(name, kindSegments, text)
			}
		}
	}
}

// hold takes segments of another member, and says so.
func (l *ledger) hold(from takeover.Member, all []audit.SealedSegment) {
	var taken []takenOf
	for _, z := range all {
		seg, err := l.shelf.Put(z)
		switch {
		case err == nil && seg.Member.Name == from.Name:
			taken = append(taken, takenOf{Of: seg.Member, Index: seg.Index})
		case err != nil:
			l.f.wire.refuse("", from.Name, fmt.Errorf("a segment: %w", err))
		}
	}
	if len(taken) == 0 {
		return
	}
	if text, err := l.f.coder.out.Marshal(taken); err == nil {
		l.f.send(from.Name, kindTaken, text)
	}
}

// next closes the account of an incarnation that is out, in good order, and begins that of the next.
func (l *ledger) next(me takeover.Member) {
	l.add(l.f.book.EndIncarnation(time.Now().UnixMilli(), me))
	l.push()
	l.choose(me)
	if l.disk != nil {
		l.disk.begin(me)
	}
}
