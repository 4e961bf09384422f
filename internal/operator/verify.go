package operator

import (
	"fmt"
	"os"
	"path/filepath"

	"damsonscale/internal/audit"
	"damsonscale/internal/fleet"
	"damsonscale/internal/fleet/segmentfile"
)

// impossibleID is never the id of a request: a query for it selects no events, but checks all segments.
const impossibleID = "\x00"

// verifyCommand verifies the audit segments in a directory.
type verifyCommand struct {
	Dir string `arg:"" type:"existingdir" help:"Directory with the segment files."`
}

// Run runs the command.
func (c *verifyCommand) Run(s *session) error {
	if err := s.loadMembers(); err != nil {
		return err
	}
	files, err := filepath.Glob(filepath.Join(c.Dir, "*.segments"))
	if err != nil {
		return exitError{ExitUsage, err}
	}
	if len(files) == 0 {
		return usageError("%s: no segments: expected files named *.segments", c.Dir)
	}
	codec, err := audit.NewCodec()
	if err != nil {
		return err
	}
	var segments []audit.SealedSegment
	truncated := 0
	for _, path := range files {
		read, validBytes, err := segmentfile.ReadFile(path)
		if err != nil {
			fmt.Fprintf(s.out, "fault: %s: %d of %d bytes are good: %v\n", path, validBytes, sizeOf(path), err)
			truncated++
		}
		segments = append(segments, read...)
	}
	trails := codec.AssembleTrails(fleet.ID(s.names()), segments, &audit.Query{ID: impossibleID})
	if err := s.printTrails(trails, nil); err != nil {
		return err
	}
	if truncated > 0 {
		return exitError{ExitAuditFault, fmt.Errorf("%d files have invalid content", truncated)}
	}
	return nil
}

// sizeOf returns the size of a file in bytes, or 0 if it can't be read.
func sizeOf(path string) int64 {
	info, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return info.Size()
}
