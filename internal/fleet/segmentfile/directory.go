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

// Suffix is the file name extension of segment files.
const Suffix = ".segments"

const (
	directoryMode = 0o750
	fileMode      = 0o640
)

// errFull reports that the file of this incarnation has reached its size limit.
var errFull = errors.New("the segment file has reached half of disk_bytes; further segments are not stored on disk")

// Directory stores the segments of one process. It is not safe for concurrent use.
type Directory struct {
	path          string
	maxBytes      int // bound on all files together
	codec         *protocol.Codec
	file          segmentFile // nil until it is opened for the next write
	filePath      string
	usedBytes     int                                    // written to the file or pending
	full          bool                                   // the file has reached its size limit
	faultLogged   bool                                   // a fault was logged, and no recovery since
	completeBytes int64                                  // length of the complete segments in the file
	needsTruncate bool                                   // the file may end with a partial segment
	pending       [][]byte                               // encoded segments that are not written yet, oldest first
	openForAppend func(path string) (segmentFile, error) // replaces openLocked in tests
}

// segmentFile is the file that segments are written to. Tests replace it.
type segmentFile interface {
	io.WriteCloser
	Truncate(size int64) error
}

// New returns a directory whose files have at most maxBytes together. Nothing is read or written before Open.
func New(path string, maxBytes int, codec *protocol.Codec) *Directory {
	return &Directory{path: path, maxBytes: maxBytes, codec: codec}
}

// Open reads the segments of all files, truncates each file after its last valid segment, and starts the file of an incarnation.
// Faults are logged; Open then returns the segments that it could read.
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

// isBeingWritten reports whether a process has a file open for writing. The last segment of such a file may be incomplete.
func isBeingWritten(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	defer f.Close()
	return syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil
}

// listFiles returns the paths of the segment files in a directory.
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

// ReadFile reads the segments of a file up to its end or the first invalid one. completeBytes is the length of the valid segments.
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

// StartFile starts the file of an incarnation, and removes the oldest files if the directory is too large. Segments that could not
// be written to the previous file are written to the new one, which is possible since each segment names its member.
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

// reopen opens the file of this incarnation, so that the next write follows its last complete segment. It reports success.
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

// openLocked opens a file for appends, with the lock that isBeingWritten tests.
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

// removeOldFiles removes the least recently written files until the others have at most half of maxBytes. The other half is for
// the file of this incarnation.
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

// Append adds a segment and writes all pending segments. A segment that exceeds the file's size limit is dropped.
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

// Flush writes the pending segments. If a write fails, the other segments stay pending and the file is truncated to its complete
// segments, since a partial segment makes all later ones unreadable.
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

// logFault logs a fault, unless an earlier fault is not over yet. Replication continues without the directory.
func (d *Directory) logFault(err error) {
	if !d.faultLogged {
		d.faultLogged = true
		eventlog.Warn(eventDirectoryFailed, err, "directory", d.path)
	}
}
