package audit

import "encoding/binary"

// reader reads what SegmentWriter appends.
type reader struct {
	rest      []byte
	malformed bool // sticky
}

// byte reads one byte.
func (r *reader) byte() byte {
	if len(r.rest) == 0 {
		r.malformed = true
		return 0
	}
	v := r.rest[0]
	r.rest = r.rest[1:]
	return v
}

// uvarint reads a number.
func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.malformed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

// field reads a text with its length.
func (r *reader) field() string {
	n := r.uvarint()
	if n > uint64(len(r.rest)) {
		r.malformed, r.rest = true, nil
		return ""
	}
	v := string(r.rest[:n])
	r.rest = r.rest[n:]
	return v
}
