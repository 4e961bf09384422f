// Package segmentfile keeps sealed audit segments in a directory, in one file for each incarnation that wrote there.
//
// A file is a sequence of frames, each with one segment. The directory is a copy of what members replicate to each other, so a
// fault of the disk loses nothing at once: segments that can't be written wait in memory, and are written in order once the
// directory accepts them. A file that a process is writing is locked, so that another process does not repair it.
package segmentfile
