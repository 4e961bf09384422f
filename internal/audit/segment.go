package audit

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/s2"

	"damsonscale/internal/auditevent"
	"damsonscale/internal/takeover"
)

const (
	format            = 1
	maxBodyBytes      = 4 << 20 // of a segment's events, decompressed
	maxSegmentBytes   = 1 << 20 // of an encoded segment
	maxSegmentEntries = 1 << 14 // of an array in it
)

// numberedVersion is a version with its id.
type numberedVersion struct {
	_       struct{} `cbor:",toarray"`
	ID      auditevent.ConfigVersionID
	Version auditevent.ConfigVersion
}

// Segment is a part of the trail of one incarnation. It is stored and sent as CBOR: order and types of its fields stay.
type Segment struct {
	_             struct{} `cbor:",toarray"`
	Format        uint8
	Fleet         uint64
	Member        takeover.Member
	Index         uint64 // from 1
	FirstEvent    uint64 // number of its first event
	LastEvent     uint64 // number of its last event; First-1: it has none
	StartMicros   int64  // since the start of the process; its events count from there
	CutUnixMillis int64  // by the member's own clock, for information only; 0: not known
	Final         bool   // the incarnation ended in good order: no event comes after
	PreviousHash  Hash   // of the segment before; zero: it is the first
	Counts        []VersionCounts
	Versions      []numberedVersion
	Body          []byte // events, compressed with S2
}

// Events decodes the events of a segment.
func (s *Segment) Events() ([]auditevent.Event, error) {
	body, err := s.unpack()
	if err != nil {
		return nil, err
	}
	return s.decode(body)
}

// unpack returns the events of a segment as SegmentWriter appended them.
func (s *Segment) unpack() ([]byte, error) {
	n, err := s2.DecodedLen(s.Body)
	if err != nil || n > maxBodyBytes {
		return nil, fmt.Errorf("events of segment %d: %d bytes: %w", s.Index, n, errors.Join(err, ErrCorrupt))
	}
	body, err := s2.Decode(nil, s.Body)
	if err != nil {
		return nil, fmt.Errorf("events of segment %d: %w", s.Index, err)
	}
	return body, nil
}

// decode decodes events as SegmentWriter appended them.
func (s *Segment) decode(body []byte) ([]auditevent.Event, error) {
	versions := map[auditevent.ConfigVersionID]auditevent.ConfigVersion{}
	for _, v := range s.Versions {
		versions[v.ID] = v.Version
	}
	r := &reader{rest: body}
	var events []auditevent.Event
	at := s.StartMicros
	for n := s.FirstEvent; len(r.rest) > 0; n++ {
		kind := auditevent.Kind(r.byte())
		version := auditevent.ConfigVersionID(r.uvarint())
		at += int64(r.uvarint())
		e := auditevent.Event{Number: n, Kind: kind, Version: versions[version], AtMicros: at, ID: r.field(), Note: r.field()}
		if r.malformed || n > s.LastEvent {
			break
		}
		events = append(events, e)
	}
	if r.malformed || uint64(len(events)) != s.LastEvent+1-s.FirstEvent || len(r.rest) > 0 {
		return nil, fmt.Errorf("events of segment %d: %d read, %d to %d stated", s.Index, len(events), s.FirstEvent, s.LastEvent)
	}
	return events, nil
}
