package fleet

import (
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
	"damsonscale/internal/frame"
	"damsonscale/internal/takeover"
)

// disk keeps segments in a directory, a file for each incarnation. It is no more than a copy, but owed: where a write fails what
// it had to keep waits, and is written once the directory takes it again.
type disk struct {
	dir   string
	most  int
	coder *coder
	file  segmentFile // nil: to be opened
	path  string
	used  int                                    // bytes taken for the file, written or waiting
	full  bool                                   // it has all that is granted
	said  bool                                   // that it fails
	good  int64                                  // bytes of whole segments in the file
	torn  bool                                   // there may be more in it, which is to be cut off
	wait  [][]byte                               // segments not written yet, in order
	write func(path string) (segmentFile, error) // opens a file to append to; nil: the system's
}

// segmentFile is what a disk writes to.
type segmentFile interface {
	io.WriteCloser
	Truncate(size int64) error
}

// open reads what is there, mends the ends of files that were cut off, and begins a file.
func (d *disk) open(me takeover.Member) (out []audit.SealedSegment) {
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
func ReadSegments(path string) (out []audit.SealedSegment, good int64, err error) {
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
		var z audit.SealedSegment
		if err == nil && kind != kindSegments {
			err = errKind
		}
		if err == nil {
			err = coder.in.Unmarshal(payload, &z)
		}
		if err != nil {
			return out, good, err
		}
		out, good = append(out, z), good+int64(frame.HeaderSize+len(payload))
	}
}

// begin begins a file, and drops the oldest ones where there is too much. What could not be written to the one before goes to it: each
// segment names its member.
func (d *disk) begin(me takeover.Member) {
	if d.path != "" {
		d.flush()
		d.close()
	}
	d.path = filepath.Join(d.dir, fmt.Sprintf("%s-%x%s", me.Name, me.Incarnation, segmentsEnd))
	d.used, d.good, d.full, d.torn = 0, 0, false, false
	for _, text := range d.wait {
		d.used += len(text)
	}
	if err := os.MkdirAll(d.dir, 0o750); err != nil {
		d.wrong(err)
		return
	}
	d.shed()
	d.openFile()
}

// openFile opens the file of this incarnation behind its good bytes; false: it can't be now.
func (d *disk) openFile() bool {
	open := d.write
	if open == nil {
		open = d.lockedFile
	}
	file, err := open(d.path)
	if err == nil && d.torn {
		if err = file.Truncate(d.good); err != nil {
			file.Close()
		}
	}
	if err != nil {
		d.wrong(err)
		return false
	}
	d.file, d.torn = file, false
	return true
}

// lockedFile opens a file to append to, which tells other processes that it is under way.
func (d *disk) lockedFile(path string) (segmentFile, error) {
	if err := os.MkdirAll(d.dir, 0o750); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o640)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		d.wrong(err)
	}
	return file, nil
}

func (d *disk) close() {
	if d.file != nil {
		d.file.Close()
		d.file = nil
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

// append takes a segment, and writes all that waits.
func (d *disk) append(z *audit.SealedSegment) {
	if d.full {
		return
	}
	text, err := d.coder.out.Marshal(z)
	if err == nil {
		text, err = frame.Append(nil, kindSegments, text)
	}
	if err == nil && d.used+len(text) > d.most/2 {
		err = errors.New("it has all that disk_bytes grants")
		d.full = true
	}
	if err != nil {
		d.wrong(err)
		return
	}
	d.used += len(text)
	d.wait = append(d.wait, text)
	d.flush()
}

// flush writes what waits. Where a write fails the file is cut back to its whole segments, and the rest waits on: a torn one would hide
// all that comes behind it.
func (d *disk) flush() {
	for len(d.wait) > 0 {
		if d.file == nil && !d.openFile() {
			return
		}
		if _, err := d.file.Write(d.wait[0]); err != nil {
			d.wrong(err)
			if err := d.file.Truncate(d.good); err != nil {
				d.torn = true
				d.close()
			}
			return
		}
		d.good += int64(len(d.wait[0]))
		d.wait = d.wait[1:]
		if len(d.wait) == 0 && d.said && !d.full {
			d.said = false
			log.Printf("event=audit_disk_back dir=%s", d.dir)
		}
	}
}

// wrong tells of a fault once, until it is over: the account goes on in memory.
func (d *disk) wrong(err error) {
	if !d.said {
		d.said = true
		log.Printf("event=audit_disk_failed dir=%s err=%q", d.dir, err)
	}
}
