package audit

import (
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Errors of Codec.Open.
var (
	ErrCorrupt     = errors.New("segment content does not match its hash")
	ErrOtherFleet  = errors.New("segment belongs to another fleet")
	ErrNewerFormat = errors.New("segment was written by a newer build and cannot be read by this one")
	ErrInvalid     = errors.New("segment has inconsistent fields")
)

// SealedSegment is an encoded segment with its hash. Segments are stored and sent in this form.
type SealedSegment struct {
	_       struct{} `cbor:",toarray"`
	Encoded []byte
	Hash    Hash
}

// Codec encodes and decodes segments. It is safe for concurrent use.
type Codec struct {
	decoder cbor.DecMode
	encoder cbor.EncMode
}

// NewCodec returns a codec whose decoder bounds the number of array elements and the depth of nesting.
func NewCodec() (*Codec, error) {
	decoder, err := cbor.DecOptions{
		MaxArrayElements: maxSegmentEntries, MaxMapPairs: 16, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		return nil, err
	}
	encoder, err := cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode()
	return &Codec{decoder, encoder}, err
}

// seal encodes a segment and hashes the encoding.
func (c *Codec) seal(s *Segment) (SealedSegment, error) {
	encoded, err := c.encoder.Marshal(s)
	return SealedSegment{Encoded: encoded, Hash: sha256.Sum256(encoded)}, err
}

// Open verifies a segment of a fleet and decodes all fields except the events, which Segment.Events decodes. The error is ErrCorrupt,
// ErrOtherFleet, ErrNewerFormat or ErrInvalid, or says that the encoding is too long or malformed.
func (c *Codec) Open(fleet uint64, sealed *SealedSegment) (*Segment, error) {
	if len(sealed.Encoded) > maxSegmentBytes {
		return nil, fmt.Errorf("encoded segment has %d bytes, want at most %d", len(sealed.Encoded), maxSegmentBytes)
	}
	if sha256.Sum256(sealed.Encoded) != sealed.Hash {
		return nil, ErrCorrupt
	}
	s := new(Segment)
	if err := c.decoder.Unmarshal(sealed.Encoded, s); err != nil {
		if c.formatOf(sealed.Encoded) > formatVersion {
			return nil, ErrNewerFormat
		}
		return nil, err
	}
	switch {
	case s.Format > formatVersion:
		return nil, ErrNewerFormat
	case s.Fleet != fleet:
		return nil, ErrOtherFleet
	case s.Index == 0 || s.FirstEvent == 0 || s.LastEvent+1 < s.FirstEvent || s.Member.Name == "":
		return nil, ErrInvalid
	}
	return s, nil
}

// formatOf returns the format version of a segment that may have more fields than this build knows, or 0 if it is malformed.
func (c *Codec) formatOf(encoded []byte) uint8 {
	var fields []cbor.RawMessage
	if c.decoder.Unmarshal(encoded, &fields) != nil || len(fields) == 0 {
		return 0
	}
	var f uint8
	if c.decoder.Unmarshal(fields[0], &f) != nil {
		return 0
	}
	return f
}
