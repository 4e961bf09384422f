package audit

import "encoding/binary"

// eventReader reads what SegmentWriter appends.
type eventReader struct {
	rest      []byte
	malformed bool // sticky
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

// uvarint reads a number.
func (r *eventReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.malformed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

// field reads a text with its length.
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
