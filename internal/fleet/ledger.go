package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"damsonscale/internal/audit"
	"damsonscale/internal/custody"
	"damsonscale/internal/frame"
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
	Of    custody.Member
	Index uint64
}

// ledger is the actor of the account: it cuts this member's segments, has others hold them, and holds theirs.
type ledger struct {
	f       *Fleet
	codec   *audit.Codec
	shelf   *audit.Shelf
	pushing *audit.Pushing
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
		f: f, codec: codec, shelf: audit.NewShelf(codec, f.wire.id, f.opts.Audit.Bytes), pushing: audit.NewPushing(pushWaiting), box: make(chan func(), 1024),
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
func (l *ledger) choose(me custody.Member) {
	others := slices.DeleteFunc(slices.Clone(l.f.names), func(n string) bool { return n == me.Name })
	l.holders, l.met = custody.Holders(others, fmt.Sprintf("%s/%x", me.Name, me.Incarnation), l.f.opts.Audit.Holders), map[string]uint64{}
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
		for _, z := range l.shelf.Held(me.Name) {
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
func (l *ledger) add(all []audit.Sealed, err error) {
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
	if l.pushing.Lost > l.lost {
		log.Printf("event=audit_unheld segments=%d", l.pushing.Lost-l.lost)
		l.lost = l.pushing.Lost
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
func (l *ledger) hold(from custody.Member, all []audit.Sealed) {
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
func (l *ledger) next(me custody.Member) {
	l.add(l.f.book.End(time.Now().UnixMilli(), me))
	l.push()
	l.choose(me)
	if l.disk != nil {
		l.disk.begin(me)
	}
}

// disk keeps segments in a directory, a file for each incarnation. It is no more than a copy: where it fails it is left.
type disk struct {
	dir   string
	most  int
	coder *coder
	file  *os.File
	used  int
	said  bool
}

// open reads what is there, mends the ends of files that were cut off, and begins a file.
func (d *disk) open(me custody.Member) (out []audit.Sealed) {
	files, err := segmentFiles(d.dir)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		d.wrong(err)
	}
	for _, path := range files {
		all, good, err := ReadSegments(path)
		if err != nil && !written(path) {
			log.Printf("event=audit_file_cut file=%s kept_bytes=%d err=%q", path, good, err)
			if err := os.Truncate(path, good); err != nil {
				d.wrong(err)
			}
		}
		out = append(out, all...)
	}
	d.begin(me)
	return out
}

// written tells whether another process writes a file: its end is not cut off, it comes.
func written(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	defer f.Close()
	return syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil
}

func segmentFiles(dir string) ([]string, error) {
	all, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, e := range all {
		if strings.HasSuffix(e.Name(), segmentsEnd) {
			out = append(out, filepath.Join(dir, e.Name()))
		}
	}
	return out, nil
}

// ReadSegments reads a file of segments up to its end or its first fault, and tells how many bytes are good.
func ReadSegments(path string) (out []audit.Sealed, good int64, err error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer in.Close()
	coder, err := newCoder()
	if err != nil {
		return nil, 0, err
	}
	for {
		kind, payload, err := frame.Read(in)
		if err == io.EOF {
			return out, good, nil
		}
		var z audit.Sealed
		if err == nil && kind != kindSegments {
			err = errKind
		}
		if err == nil {
			err = coder.in.Unmarshal(payload, &z)
		}
		if err != nil {
			return out, good, err
		}
		out, good = append(out, z), good+int64(frame.Head+len(payload))
	}
}

// begin begins a file, and drops the oldest ones where there is too much.
func (d *disk) begin(me custody.Member) {
	if d.file != nil {
		d.file.Close()
		d.file = nil
	}
	if err := os.MkdirAll(d.dir, 0o750); err != nil {
		d.wrong(err)
		return
	}
	d.shed()
	var err error
	if d.file, err = os.OpenFile(filepath.Join(d.dir, fmt.Sprintf("%s-%x%s", me.Name, me.Incarnation, segmentsEnd)), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o640); err != nil {
		d.wrong(err)
		return
	}
	d.used = 0
	if err := syscall.Flock(int(d.file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		d.wrong(err)
	}
}

// shed deletes the files longest unwritten while all are over half of what is granted: the other half is for the one that begins.
func (d *disk) shed() {
	files, err := segmentFiles(d.dir)
	if err != nil {
		d.wrong(err)
		return
	}
	type one struct {
		path string
		size int64
		at   time.Time
	}
	var all []one
	sum := int64(0)
	for _, path := range files {
		if info, err := os.Stat(path); err == nil {
			all, sum = append(all, one{path, info.Size(), info.ModTime()}), sum+info.Size()
		}
	}
	slices.SortFunc(all, func(a, b one) int { return a.at.Compare(b.at) })
	for _, o := range all {
		if sum <= int64(d.most)/2 {
			return
		}
		if err := os.Remove(o.path); err != nil {
			d.wrong(err)
			return
		}
		sum -= o.size
	}
}

func (d *disk) append(z *audit.Sealed) {
	if d.file == nil {
		return
	}
	text, err := d.coder.out.Marshal(z)
	if err == nil {
		text, err = frame.Append(nil, kindSegments, text)
	}
	if err == nil && d.used+len(text) > d.most/2 {
		err = errors.New("it has all that disk_bytes grants")
	}
	if err == nil {
		_, err = d.file.Write(text)
	}
	if d.used += len(text); err != nil {
		d.wrong(err)
		d.file.Close()
		d.file = nil
	}
}

// wrong tells of a fault once: the account goes on in memory.
func (d *disk) wrong(err error) {
	if !d.said {
		d.said = true
		log.Printf("event=audit_disk_failed dir=%s err=%q", d.dir, err)
	}
}
