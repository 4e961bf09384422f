package audit

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/s2"

	"damsonscale/internal/auditevent"
	"damsonscale/internal/takeover"
)

const (
	formatVersion     = 1
	maxBodyBytes      = 4 << 20 // bytes of a segment's decompressed events
	maxSegmentBytes   = 1 << 20 // bytes of an encoded segment
	maxSegmentEntries = 1 << 14 // elements of an array in an encoded segment
)

// numberedVersion is a version with the id that the events of a segment refer to it by.
type numberedVersion struct {
	_       struct{} `cbor:",toarray"`
	ID      auditevent.ConfigVersionID
	Version auditevent.ConfigVersion
}

// Segment is a contiguous part of the trail of one incarnation. It is stored and sent as a CBOR array: the order and types of its fields
// must not change.
type Segment struct {
	_             struct{} `cbor:",toarray"`
	Format        uint8    // formatVersion of the build that wrote the segment
	Fleet         uint64   // id of the fleet
	Member        takeover.Member
	Index         uint64            // position in the chain, from 1
	FirstEvent    uint64            // number of the first event
	LastEvent     uint64            // number of the last event; FirstEvent-1 if the segment has no events
	StartMicros   int64             // time since the process started; base of the times in Body
	CutUnixMillis int64             // time of the cut by the member's wall clock, used only to sort trails and select segments; 0 if unknown
	Final         bool              // the incarnation ended cleanly: no segment follows
	PreviousHash  Hash              // hash of the preceding segment; zero in the first segment
	Counts        []VersionCounts   // numbers of the incarnation's events up to LastEvent, by version and kind
	Versions      []numberedVersion // versions that the events in Body refer to
	Body          []byte            // encoded events, compressed with S2
}

// Events decodes the events of a segment.
func (s *Segment) Events() ([]auditevent.Event, error) {
	body, err := s.unpack()
	if err != nil {
		return nil, err
	}
	return s.decode(body)
}

// unpack decompresses the encoded events of a segment.
func (s *Segment) unpack() ([]byte, error) {
	n, err := s2.DecodedLen(s.Body)
	if err != nil || n > maxBodyBytes {
		return nil, fmt.Errorf("events of segment %d: decompressed length %d: %w", s.Index, n, errors.Join(err, ErrCorrupt))
	}
	body, err := s2.Decode(nil, s.Body)
	if err != nil {
		return nil, fmt.Errorf("events of segment %d: decompress: %w", s.Index, err)
	}
	return body, nil
}

// decode decodes the events that SegmentWriter.appendEvent encoded.
func (s *Segment) decode(body []byte) ([]auditevent.Event, error) {
	versions := map[auditevent.ConfigVersionID]auditevent.ConfigVersion{}
	for _, v := range s.Versions {
		versions[v.ID] = v.Version
	}
	r := &eventReader{rest: body}
	var events []auditevent.Event
	atMicros := s.StartMicros
	for n := s.FirstEvent; len(r.rest) > 0; n++ {
		kind := auditevent.Kind(r.byte())
		version := auditevent.ConfigVersionID(r.uvarint())
		atMicros += int64(r.uvarint())
		e := auditevent.Event{Number: n, Kind: kind, Version: versions[version], AtMicros: atMicros, ID: r.field(), Note: r.field()}
		if r.malformed || n > s.LastEvent {
			break
		}
		events = append(events, e)
	}
	if r.malformed || uint64(len(events)) != s.LastEvent+1-s.FirstEvent || len(r.rest) > 0 {
		return nil, fmt.Errorf("events of segment %d: decoded %d events, want events %d to %d", s.Index, len(events), s.FirstEvent, s.LastEvent)
	}
	return events, nil
}
