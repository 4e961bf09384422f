package protocol

import (
	"errors"

	"damsonscale/internal/frame"
)

// Version is the version of the protocol between members. It covers both frames and payloads.
const Version = frame.Version

// Kind is the kind of a frame. It determines the type of the payload.
type Kind byte

// Kinds of frames. The numbers are part of the wire format.
const (
	KindHello             Kind = 0  // the transport's hello, the first frame of a connection between members
	KindRaft              Kind = 1  // a raft message, protobuf, between voters
	KindTakeover          Kind = 2  // []takeover.Message
	KindLeaseRequest      Kind = 3  // membership.LeaseRequest, to voters
	KindLeaseGrant        Kind = 4  // membership.LeaseGrant
	KindMembershipRequest Kind = 5  // requests the receiver's membership; empty payload
	KindMembership        Kind = 6  // membership.Membership
	KindLeave             Kind = 7  // the takeover.Member that shuts down, to voters
	KindAdmin             Kind = 8  // fleet.AdminRequest, the first frame of its connection, and fleet.AdminResponse
	KindSettingsRequest   Kind = 9  // digest of the requested settings; the payload is the raw 32 bytes
	KindSettings          Kind = 10 // the requested settings
	KindSegments          Kind = 11 // []audit.SealedSegment to a replica; in a segment file a single audit.SealedSegment
	KindSegmentAck        Kind = 12 // acknowledges the segments that a replica has stored
)

// ErrUnknownKind means that a frame's kind is unknown or not allowed in its place.
var ErrUnknownKind = errors.New("unexpected kind of frame")
