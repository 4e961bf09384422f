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
	cutsPerLease           = 6         // segments cut while one lease lasts
	segmentBatchBytes      = 512 << 10 // bytes of segments sent to a member at a time
	maxUnacknowledgedBytes = 8 << 20   // bytes of segments that nobody has taken yet
	Suffix                 = ".segments"
)

// segmentAck says that a segment is held.
type segmentAck struct {
	_      struct{} `cbor:",toarray"`
	Member takeover.Member
	Index  uint64
}

// auditReplicator is the actor of the account: it cuts this member's segments, has others hold them, and holds theirs.
type auditReplicator struct {
	fleet            *Fleet
	codec            *audit.Codec
	store            *audit.SegmentStore
	replication      *audit.Replication
	replicas         []string
	seenIncarnations map[string]uint64 // the holders' processes that were sent what there was
	mailbox          chan func()
	directory        *Directory
	droppedLogged    int
}

func newAuditReplicator(f *Fleet) (*auditReplicator, error) {
	codec, err := audit.NewCodec()
	if err != nil {
		return nil, err
	}
	l := &auditReplicator{
		fleet: f, codec: codec, store: audit.NewSegmentStore(codec, f.transport.fleetID, f.options.Audit.MaxMemoryBytes), replication: audit.NewReplication(maxUnacknowledgedBytes), mailbox: make(chan func(), 1024),
	}
	l.chooseReplicas(*f.self.Load())
	if dir := f.options.Audit.SegmentDir; dir != "" {
		l.directory = &Directory{path: dir, maxBytes: f.options.Audit.MaxDiskBytes, codec: f.codec}
		for _, z := range l.directory.Open(*f.self.Load()) {
			l.store.Put(z) // another fleet's stays where it is, and is not told
		}
	}
	return l, nil
}

// chooseReplicas finds who holds the segments of an incarnation: the first names by rendezvous.
func (l *auditReplicator) chooseReplicas(me takeover.Member) {
	others := slices.DeleteFunc(slices.Clone(l.fleet.memberNames), func(n string) bool { return n == me.Name })
	l.replicas, l.seenIncarnations = takeover.Replicas(others, fmt.Sprintf("%s/%x", me.Name, me.Incarnation), l.fleet.options.Audit.SegmentReplicas), map[string]uint64{}
}

// onMembership sends all there is of this incarnation to a holder that has started anew: it has forgotten. Guards against an account that
// only this member holds once its holders were restarted.
func (l *auditReplicator) onMembership(r *Membership) {
	me := *l.fleet.self.Load()
	latest := map[string]uint64{}
	for _, s := range r.Members { // in the order of joining
		latest[s.Member.Name] = s.Member.Incarnation
	}
	for _, name := range l.replicas {
		now, ok := latest[name]
		was, before := l.seenIncarnations[name]
		if !ok || now == was {
			continue
		}
		if l.seenIncarnations[name] = now; !before {
			continue
		}
		for _, z := range l.store.Segments(me.Name) {
			if seg, err := l.codec.Open(l.fleet.transport.fleetID, &z); err == nil && seg.Member == me {
				l.replication.Add(z, seg, []string{name})
			}
		}
	}
}

// run is the actor.
func (l *auditReplicator) run(ctx context.Context) {
	tick := time.NewTicker(l.fleet.options.Fleet.LeaseDuration / cutsPerLease)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-l.mailbox:
			fn()
		case <-tick.C:
			l.addSegments(l.fleet.recorder.Cut(time.Now().UnixMilli()))
			l.sendDue()
		}
	}
}

// post hands the actor something to do, unless it has too much to do: what counts is sent again.
func (l *auditReplicator) post(fn func()) {
	select {
	case l.mailbox <- fn:
	default:
	}
}

// addSegments takes segments that were cut.
func (l *auditReplicator) addSegments(all []audit.SealedSegment, err error) {
	if err != nil {
		log.Printf("event=audit_gap err=%q", err)
	}
	for _, z := range all {
		seg, err := l.store.Put(z)
		if err != nil {
			log.Printf("event=audit_gap err=%q", err)
			continue
		}
		if l.directory != nil {
			l.directory.Append(&z)
		}
		l.replication.Add(z, seg, l.replicas)
	}
	if l.directory != nil {
		l.directory.Flush()
	}
	if l.replication.Dropped > l.droppedLogged {
		log.Printf("event=audit_unheld segments=%d", l.replication.Dropped-l.droppedLogged)
		l.droppedLogged = l.replication.Dropped
	}
}

// sendDue sends what others do not hold yet.
func (l *auditReplicator) sendDue() {
	now := l.fleet.micros()
	for _, name := range l.fleet.memberNames {
		if due := l.replication.Due(now, name, l.fleet.options.Fleet.LeaseDuration.Microseconds(), segmentBatchBytes); len(due) > 0 {
			if text, err := l.fleet.codec.out.Marshal(due); err == nil {
				l.fleet.send(name, KindSegments, text)
			}
		}
	}
}

// storeSegments takes segments of another member, and says so.
func (l *auditReplicator) storeSegments(from takeover.Member, all []audit.SealedSegment) {
	var taken []segmentAck
	for _, z := range all {
		seg, err := l.store.Put(z)
		switch {
		case err == nil && seg.Member.Name == from.Name:
			taken = append(taken, segmentAck{Member: seg.Member, Index: seg.Index})
		case err != nil:
			l.fleet.transport.LogRejected("", from.Name, fmt.Errorf("a segment: %w", err))
		}
	}
	if len(taken) == 0 {
		return
	}
	if text, err := l.fleet.codec.out.Marshal(taken); err == nil {
		l.fleet.send(from.Name, KindSegmentAck, text)
	}
}

// startIncarnation closes the account of an incarnation that is out, in good order, and begins that of the next.
func (l *auditReplicator) startIncarnation(me takeover.Member) {
	l.addSegments(l.fleet.recorder.EndIncarnation(time.Now().UnixMilli(), me))
	l.sendDue()
	l.chooseReplicas(me)
	if l.directory != nil {
		l.directory.StartFile(me)
	}
}
