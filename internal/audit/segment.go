package audit

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"

	"damsonscale/internal/auditevent"
	"damsonscale/internal/takeover"
)

const (
	format      = 1
	mostBody    = 4 << 20 // bytes of a segment's acts, unpacked
	mostSegment = 1 << 20 // bytes of a segment as it travels
)

// Count is how often each kind of act was done under a version.
type Count struct {
	_       struct{}                     `cbor:",toarray"`
	Version auditevent.ConfigVersion     `json:"Version"`
	ByKind  [auditevent.KindCount]uint64 `json:"Of"`     // by kind less 1
	Merged  bool                         `json:"Merged"` // several lists' and builds', under one version of the settings
}

// stamped is a version with its place.
type stamped struct {
	_       struct{} `cbor:",toarray"`
	Stamp   auditevent.ConfigVersionID
	Version auditevent.ConfigVersion
}

// Segment is a part of the account of one incarnation.
type Segment struct {
	_             struct{} `cbor:",toarray"`
	Format        uint8
	Fleet         uint64
	Member        takeover.Member
	Index         uint64 // from 1
	First         uint64 // number of its first act
	Last          uint64 // of its last; First-1: it has none
	StartMicros   int64  // µs since the process's start, from which its acts count
	CutUnixMillis int64  // Unix ms by the member's own clock at the cut: it informs, nothing goes by it
	Final         bool   // the incarnation ended in good order: no act comes after
	PreviousHash  Hash   // of the segment before
	Counts        []Count
	Versions      []stamped
	Body          []byte // acts, packed
}

// SealedSegment is a segment as it is held and sent.
type SealedSegment struct {
	_       struct{} `cbor:",toarray"`
	Encoded []byte
	Hash    Hash
}

// Codec reads and writes segments.
type Codec struct {
	in  cbor.DecMode
	out cbor.EncMode
}

// NewCodec makes one. What it reads is bounded.
func NewCodec() (*Codec, error) {
	in, err := cbor.DecOptions{
		MaxArrayElements: 1 << 14, MaxMapPairs: 16, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		return nil, err
	}
	out, err := cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode()
	return &Codec{in, out}, err
}

func (c *Codec) seal(s *Segment) (SealedSegment, error) {
	text, err := c.out.Marshal(s)
	return SealedSegment{Encoded: text, Hash: sha256.Sum256(text)}, err
}

var (
	errSpoilt  = errors.New("its bytes do not fit its hash")
	errForeign = errors.New("of another fleet")
	errNewer   = errors.New("of a newer build: not readable here")
)

// Open checks a segment and reads it.
func (c *Codec) Open(fleet uint64, z *SealedSegment) (*Segment, error) {
	if len(z.Encoded) > mostSegment {
		return nil, fmt.Errorf("%d bytes, at most %d", len(z.Encoded), mostSegment)
	}
	if sha256.Sum256(z.Encoded) != z.Hash {
		return nil, errSpoilt
	}
	s := new(Segment)
	if err := c.in.Unmarshal(z.Encoded, s); err != nil {
		var head []cbor.RawMessage // a newer form may have more parts
		if c.in.Unmarshal(z.Encoded, &head) == nil && len(head) > 0 {
			var f uint8
			if c.in.Unmarshal(head[0], &f) == nil && f > format {
				return nil, errNewer
			}
		}
		return nil, err
	}
	switch {
	case s.Format > format:
		return nil, errNewer
	case s.Fleet != fleet:
		return nil, errForeign
	case s.Index == 0 || s.First == 0 || s.Last+1 < s.First || s.Member.Name == "":
		return nil, errors.New("a segment that makes no sense")
	}
	return s, nil
}

// unpack gives the acts of a segment as the book wrote them.
func (s *Segment) unpack() ([]byte, error) {
	n, err := s2.DecodedLen(s.Body)
	if err != nil || n > mostBody {
		return nil, fmt.Errorf("acts of segment %d: %d bytes: %w", s.Index, n, errors.Join(err, errSpoilt))
	}
	b, err := s2.Decode(nil, s.Body)
	if err != nil {
		return nil, fmt.Errorf("acts of segment %d: %w", s.Index, err)
	}
	return b, nil
}

// Events reads the acts of a segment.
func (s *Segment) Events() ([]auditevent.Event, error) {
	b, err := s.unpack()
	if err != nil {
		return nil, err
	}
	return s.read(b)
}

func (s *Segment) read(b []byte) ([]auditevent.Event, error) {
	versions := map[auditevent.ConfigVersionID]auditevent.ConfigVersion{}
	for _, v := range s.Versions {
		versions[v.Stamp] = v.Version
	}
	r := &reader{b: b}
	var out []auditevent.Event
	at := s.StartMicros
	for n := s.First; len(r.b) > 0; n++ {
		kind := auditevent.Kind(r.byte())
		stamp := auditevent.ConfigVersionID(r.number())
		at += int64(r.number())
		a := auditevent.Event{Number: n, Kind: kind, Version: versions[stamp], AtMicros: at, ID: r.text(), Note: r.text()}
		if r.bad || n > s.Last {
			break
		}
		out = append(out, a)
	}
	if r.bad || uint64(len(out)) != s.Last+1-s.First || len(r.b) > 0 {
		return nil, fmt.Errorf("acts of segment %d: %d read, %d to %d stated", s.Index, len(out), s.First, s.Last)
	}
	return out, nil
}

// reader reads what the book appends.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) byte() byte {
	if len(r.b) == 0 {
		r.bad = true
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.bad, r.b = true, nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) text() string {
	n := r.number()
	if n > uint64(len(r.b)) {
		r.bad, r.b = true, nil
		return ""
	}
	v := string(r.b[:n])
	r.b = r.b[n:]
	return v
}
