package protocol

import (
	"errors"

	"damsonscale/internal/frame"
)

// Version is the version of the protocol, of frames and payloads together.
const Version = frame.Version

// Kind is the kind of a frame: it says what its payload is.
type Kind byte

// Kinds of frames. The numbers are part of the wire format.
const (
	KindHello             Kind = 0  // transport's hello, the first frame of a connection between members
	KindRaft              Kind = 1  // a raft message, protobuf, between voters
	KindTakeover          Kind = 2  // []takeover.Message
	KindLeaseRequest      Kind = 3  // membership.LeaseRequest, to voters
	KindLeaseGrant        Kind = 4  // membership.LeaseGrant
	KindMembershipRequest Kind = 5  // asks for the sender's membership; empty
	KindMembership        Kind = 6  // membership.Membership
	KindLeave             Kind = 7  // the takeover.Member that has ended its work, to voters
	KindAdmin             Kind = 8  // fleet.AdminRequest, the first frame of its connection, and fleet.AdminResponse
	KindSettingsRequest   Kind = 9  // digest of the settings that are asked for; the payload is the 32 bytes themselves
	KindSettings          Kind = 10 // settings that were asked for
	KindSegments          Kind = 11 // []audit.SealedSegment to a replica; in a segment file a single one
	KindSegmentAck        Kind = 12 // which segments a replica has stored
)

// ErrUnknownKind is a frame of a kind that is not expected where it came.
var ErrUnknownKind = errors.New("a frame of a kind that this build does not know")
