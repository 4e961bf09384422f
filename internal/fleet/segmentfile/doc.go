// Package segmentfile stores sealed audit segments in a directory, with one file for each incarnation that wrote there.
//
// A file is a sequence of frames with one segment each. The directory is a copy of the segments that members replicate to each
// other, so a disk fault does not lose segments at once: segments that cannot be written stay in memory, and are written in
// order once the directory works again. A process locks the file that it writes, so that another process does not truncate it.
package segmentfile
