package audit

import "encoding/binary"

// eventReader decodes the fields of events that SegmentWriter.appendEvent encodes. After malformed input it returns zero values.
type eventReader struct {
	rest      []byte
	malformed bool // set by the first read that fails; never cleared
}

// byte reads one byte.
func (r *eventReader) byte() byte {
	if len(r.rest) == 0 {
		r.malformed = true
		return 0
	}
	v := r.rest[0]
	r.rest = r.rest[1:]
	return v
}

// uvarint reads an unsigned varint.
func (r *eventReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.malformed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

// field reads a length-prefixed string.
func (r *eventReader) field() string {
	n := r.uvarint()
	if n > uint64(len(r.rest)) {
		r.malformed, r.rest = true, nil
		return ""
	}
	v := string(r.rest[:n])
	r.rest = r.rest[n:]
	return v
}
