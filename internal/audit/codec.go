package audit

import (
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Errors of segments that can't be opened.
var (
	ErrCorrupt     = errors.New("content does not match its hash")
	ErrOtherFleet  = errors.New("of another fleet")
	ErrNewerFormat = errors.New("written by a newer build: not readable here")
	ErrInvalid     = errors.New("fields contradict each other")
)

// SealedSegment is an encoded segment with its hash, as it is stored and sent.
type SealedSegment struct {
	_       struct{} `cbor:",toarray"`
	Encoded []byte
	Hash    Hash
}

// Codec encodes and decodes segments. It may be used from any goroutine.
type Codec struct {
	decoder cbor.DecMode
	encoder cbor.EncMode
}

// NewCodec returns a codec that decodes no more than a bounded number of elements.
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

// seal encodes a segment.
func (c *Codec) seal(s *Segment) (SealedSegment, error) {
	encoded, err := c.encoder.Marshal(s)
	return SealedSegment{Encoded: encoded, Hash: sha256.Sum256(encoded)}, err
}

// Open checks a segment of a fleet and decodes it, but for its events. Its errors wrap ErrCorrupt, ErrOtherFleet, ErrNewerFormat or
// ErrInvalid, or say that the encoding is too long or malformed.
func (c *Codec) Open(fleet uint64, sealed *SealedSegment) (*Segment, error) {
	if len(sealed.Encoded) > maxSegmentBytes {
		return nil, fmt.Errorf("%d bytes, at most %d", len(sealed.Encoded), maxSegmentBytes)
	}
	if sha256.Sum256(sealed.Encoded) != sealed.Hash {
		return nil, ErrCorrupt
	}
	s := new(Segment)
	if err := c.decoder.Unmarshal(sealed.Encoded, s); err != nil {
		if c.formatOf(sealed.Encoded) > format {
			return nil, ErrNewerFormat
		}
		return nil, err
	}
	switch {
	case s.Format > format:
		return nil, ErrNewerFormat
	case s.Fleet != fleet:
		return nil, ErrOtherFleet
	case s.Index == 0 || s.FirstEvent == 0 || s.LastEvent+1 < s.FirstEvent || s.Member.Name == "":
		return nil, ErrInvalid
	}
	return s, nil
}

// formatOf returns the format of a segment that may have more fields than this build knows; 0: it can't be read.
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
