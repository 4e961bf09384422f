package segmentfile

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"damsonscale/internal/audit"
	"damsonscale/internal/eventlog"
	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/frame"
	"damsonscale/internal/takeover"
)

// Names of log events.
const (
	eventFileTruncated      = "audit_file_truncated"
	eventDirectoryFailed    = "audit_directory_failed"
	eventDirectoryRecovered = "audit_directory_recovered"
)

// Suffix ends the names of segment files.
const Suffix = ".segments"

const (
	directoryMode = 0o750
	fileMode      = 0o640
)

// errFull: the file of this incarnation may grow no further.
var errFull = errors.New("it has all that disk_bytes grants")

// Directory writes the segments of one process. It is not safe for concurrent use.
type Directory struct {
	path          string
	maxBytes      int // of all files together
	codec         *protocol.Codec
	file          segmentFile // nil: to be opened before the next write
	filePath      string
	usedBytes     int                                    // of the file, written or pending
	full          bool                                   // the file may grow no further
	faultLogged   bool                                   // and not over since
	completeBytes int64                                  // of complete segments in the file
	needsTruncate bool                                   // there may be a part of a segment behind them
	pending       [][]byte                               // encoded segments that are not written yet, in order
	openForAppend func(path string) (segmentFile, error) // replaces openLocked in tests
}

// segmentFile is what segments are written to.
type segmentFile interface {
	io.WriteCloser
	Truncate(size int64) error
}

// New makes a directory whose files are bounded by maxBytes together. Nothing is read or written before Open.
func New(path string, maxBytes int, codec *protocol.Codec) *Directory {
	return &Directory{path: path, maxBytes: maxBytes, codec: codec}
}

// Open reads the segments of all files, truncates files that end within a segment, and starts the file of an incarnation.
// Faults are logged; Open then returns what could be read.
func (d *Directory) Open(self takeover.Member) (segments []audit.SealedSegment) {
	files, err := listFiles(d.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		d.logFault(err)
	}
	for _, path := range files {
		fromFile, completeBytes, err := ReadFile(path)
		if err != nil && !isBeingWritten(path) {
			eventlog.Warn(eventFileTruncated, err, "file", path, "kept_bytes", completeBytes)
			if err := os.Truncate(path, completeBytes); err != nil {
				d.logFault(err)
			}
		}
		segments = append(segments, fromFile...)
	}
	d.StartFile(self)
	return segments
}

// isBeingWritten reports whether a process has a file open for writing: its last segment may be incomplete for the moment.
func isBeingWritten(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	defer f.Close()
	return syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil
}

// listFiles lists the segment files of a directory.
func listFiles(dir string) (paths []string, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), Suffix) {
			paths = append(paths, filepath.Join(dir, e.Name()))
		}
	}
	return paths, nil
}

// ReadFile reads the segments of a file up to its end or its first fault. completeBytes is the length of what was read.
func ReadFile(path string) (segments []audit.SealedSegment, completeBytes int64, err error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer in.Close()
	codec, err := protocol.NewCodec()
	if err != nil {
		return nil, 0, err
	}
	for {
		kind, payload, err := frame.Read(in)
		if err == io.EOF {
			return segments, completeBytes, nil
		}
		var segment audit.SealedSegment
		if err == nil && protocol.Kind(kind) != protocol.KindSegments {
			err = protocol.ErrUnknownKind
		}
		if err == nil {
			err = codec.Unmarshal(payload, &segment)
		}
		if err != nil {
			return segments, completeBytes, err
		}
		segments, completeBytes = append(segments, segment), completeBytes+int64(frame.HeaderSize+len(payload))
	}
}

// StartFile starts the file of an incarnation, and removes the oldest files where there are too many bytes. Segments that could
// not be written to the previous file go to this one: each names its member.
func (d *Directory) StartFile(self takeover.Member) {
	if d.filePath != "" {
		d.Flush()
		d.Close()
	}
	d.filePath = filepath.Join(d.path, fmt.Sprintf("%s-%x%s", self.Name, self.Incarnation, Suffix))
	d.usedBytes, d.completeBytes, d.full, d.needsTruncate = 0, 0, false, false
	for _, encoded := range d.pending {
		d.usedBytes += len(encoded)
	}
	if err := os.MkdirAll(d.path, directoryMode); err != nil {
		d.logFault(err)
		return
	}
	d.removeOldFiles()
	d.reopen()
}

// reopen opens the file of this incarnation behind its complete segments. It reports whether it could.
func (d *Directory) reopen() bool {
	open := d.openForAppend
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

// openLocked opens a file for appends, with the lock that isBeingWritten looks for.
func (d *Directory) openLocked(path string) (segmentFile, error) {
	if err := os.MkdirAll(d.path, directoryMode); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		d.logFault(err)
	}
	return file, nil
}

// Close closes the file. A later Flush opens it again.
func (d *Directory) Close() {
	if d.file != nil {
		d.file.Close()
		d.file = nil
	}
}

// removeOldFiles removes the files that were written longest ago until the rest has half of maxBytes: the other half is for the
// file that is started.
func (d *Directory) removeOldFiles() {
	paths, err := listFiles(d.path)
	if err != nil {
		d.logFault(err)
		return
	}
	type oldFile struct {
		path       string
		size       int64
		modifiedAt time.Time
	}
	var files []oldFile
	total := int64(0)
	for _, path := range paths {
		if info, err := os.Stat(path); err == nil {
			files, total = append(files, oldFile{path, info.Size(), info.ModTime()}), total+info.Size()
		}
	}
	slices.SortFunc(files, func(a, b oldFile) int { return a.modifiedAt.Compare(b.modifiedAt) })
	for _, f := range files {
		if total <= int64(d.maxBytes)/2 {
			return
		}
		if err := os.Remove(f.path); err != nil {
			d.logFault(err)
			return
		}
		total -= f.size
	}
}

// Append takes a segment, and writes all that is pending. A segment for which the file has no space is dropped.
func (d *Directory) Append(segment *audit.SealedSegment) {
	if d.full {
		return
	}
	encoded, err := d.codec.Marshal(segment)
	if err == nil {
		encoded, err = frame.Append(nil, byte(protocol.KindSegments), encoded)
	}
	if err == nil && d.usedBytes+len(encoded) > d.maxBytes/2 {
		err = errFull
		d.full = true
	}
	if err != nil {
		d.logFault(err)
		return
	}
	d.usedBytes += len(encoded)
	d.pending = append(d.pending, encoded)
	d.Flush()
}

// Flush writes what is pending. Where a write fails the file is truncated to its complete segments, since a part of one would
// hide all that follow, and the rest stays pending.
func (d *Directory) Flush() {
	for len(d.pending) > 0 {
		if d.file == nil && !d.reopen() {
			return
		}
		if _, err := d.file.Write(d.pending[0]); err != nil {
			d.logFault(err)
			if err := d.file.Truncate(d.completeBytes); err != nil {
				d.needsTruncate = true
				d.Close()
			}
			return
		}
		d.completeBytes += int64(len(d.pending[0]))
		d.pending = d.pending[1:]
		if len(d.pending) == 0 && d.faultLogged && !d.full {
			d.faultLogged = false
			eventlog.Info(eventDirectoryRecovered, "directory", d.path)
		}
	}
}

// logFault logs a fault once until it is over: replication goes on without the directory.
func (d *Directory) logFault(err error) {
	if !d.faultLogged {
		d.faultLogged = true
		eventlog.Warn(eventDirectoryFailed, err, "directory", d.path)
	}
}
