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

// Directory keeps segments in a directory, a file for each incarnation. It is no more than a copy, but owed: where a write fails what
// it had to keep waits, and is written once the directory takes it again.
type Directory struct {
	path          string
	maxBytes      int
	codec         *Codec
	file          segmentFile // nil: to be opened
	filePath      string
	usedBytes     int                                    // bytes taken for the file, written or waiting
	full          bool                                   // it has all that is granted
	faultLogged   bool                                   // that it fails
	completeBytes int64                                  // bytes of whole segments in the file
	needsTruncate bool                                   // there may be more in it, which is to be cut off
	pending       [][]byte                               // segments not written yet, in order
	openAppend    func(path string) (segmentFile, error) // opens a file to append to; nil: the system's
}

// segmentFile is what a disk writes to.
type segmentFile interface {
	io.WriteCloser
	Truncate(size int64) error
}

// Open reads what is there, mends the ends of files that were cut off, and begins a file.
func (d *Directory) Open(me takeover.Member) (out []audit.SealedSegment) {
	files, err := listFiles(d.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		d.logFault(err)
	}
	for _, path := range files {
		all, good, err := ReadFile(path)
		if err != nil && !isBeingWritten(path) {
			log.Printf("event=audit_file_cut file=%s kept_bytes=%d err=%q", path, good, err)
			if err := os.Truncate(path, good); err != nil {
				d.logFault(err)
			}
		}
		out = append(out, all...)
	}
	d.StartFile(me)
	return out
}

// isBeingWritten tells whether another process writes a file: its end is not cut off, it comes.
func isBeingWritten(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	defer f.Close()
	return syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil
}

func listFiles(dir string) ([]string, error) {
	all, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, e := range all {
		if strings.HasSuffix(e.Name(), Suffix) {
			out = append(out, filepath.Join(dir, e.Name()))
		}
	}
	return out, nil
}

// ReadFile reads a file of segments up to its end or its first fault, and tells how many bytes are good.
func ReadFile(path string) (out []audit.SealedSegment, good int64, err error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer in.Close()
	coder, err := newCodec()
	if err != nil {
		return nil, 0, err
	}
	for {
		kind, payload, err := frame.Read(in)
		if err == io.EOF {
			return out, good, nil
		}
		var z audit.SealedSegment
		if err == nil && kind != KindSegments {
			err = ErrUnknownKind
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

// StartFile begins a file, and drops the oldest ones where there is too much. What could not be written to the one before goes to it: each
// segment names its member.
func (d *Directory) StartFile(me takeover.Member) {
	if d.filePath != "" {
		d.Flush()
		d.close()
	}
	d.filePath = filepath.Join(d.path, fmt.Sprintf("%s-%x%s", me.Name, me.Incarnation, Suffix))
	d.usedBytes, d.completeBytes, d.full, d.needsTruncate = 0, 0, false, false
	for _, text := range d.pending {
		d.usedBytes += len(text)
	}
	if err := os.MkdirAll(d.path, 0o750); err != nil {
		d.logFault(err)
		return
	}
	d.removeOldFiles()
	d.reopen()
}

// reopen opens the file of this incarnation behind its good bytes; false: it can't be now.
func (d *Directory) reopen() bool {
	open := d.openAppend
	if open == nil {
		open = d.openLocked
	}
	file, err := open(d.filePath)
	if err == nil && d.needsTruncate {
		if err = file.Truncate(d.completeBytes); err != nil {
			file.Close()
		}
	}
	if err != nil {
		d.logFault(err)
		return false
	}
	d.file, d.needsTruncate = file, false
	return true
}

// openLocked opens a file to append to, which tells other processes that it is under way.
func (d *Directory) openLocked(path string) (segmentFile, error) {
	if err := os.MkdirAll(d.path, 0o750); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o640)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		d.logFault(err)
	}
	return file, nil
}

func (d *Directory) close() {
	if d.file != nil {
		d.file.Close()
		d.file = nil
	}
}

// removeOldFiles deletes the files longest unwritten while all are over half of what is granted: the other half is for the one that begins.
func (d *Directory) removeOldFiles() {
	files, err := listFiles(d.path)
	if err != nil {
		d.logFault(err)
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
		if sum <= int64(d.maxBytes)/2 {
			return
		}
		if err := os.Remove(o.path); err != nil {
			d.logFault(err)
			return
		}
		sum -= o.size
	}
}

// Append takes a segment, and writes all that waits.
func (d *Directory) Append(z *audit.SealedSegment) {
	if d.full {
		return
	}
	text, err := d.codec.out.Marshal(z)
	if err == nil {
		text, err = frame.Append(nil, KindSegments, text)
	}
	if err == nil && d.usedBytes+len(text) > d.maxBytes/2 {
		err = errors.New("it has all that disk_bytes grants")
		d.full = true
	}
	if err != nil {
		d.logFault(err)
		return
	}
	d.usedBytes += len(text)
	d.pending = append(d.pending, text)
	d.Flush()
}

// Flush writes what waits. Where a write fails the file is cut back to its whole segments, and the rest waits on: a torn one would hide
// all that comes behind it.
func (d *Directory) Flush() {
	for len(d.pending) > 0 {
		if d.file == nil && !d.reopen() {
			return
		}
		if _, err := d.file.Write(d.pending[0]); err != nil {
			d.logFault(err)
			if err := d.file.Truncate(d.completeBytes); err != nil {
				d.needsTruncate = true
				d.close()
			}
			return
		}
		d.completeBytes += int64(len(d.pending[0]))
		d.pending = d.pending[1:]
		if len(d.pending) == 0 && d.faultLogged && !d.full {
			d.faultLogged = false
			log.Printf("event=audit_disk_back dir=%s", d.path)
		}
	}
}

// logFault tells of a fault once, until it is over: the account goes on in memory.
func (d *Directory) logFault(err error) {
	if !d.faultLogged {
		d.faultLogged = true
		log.Printf("event=audit_disk_failed dir=%s err=%q", d.path, err)
	}
}
