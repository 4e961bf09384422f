// The encoding of a gossip message. Balancers of different versions read each other's messages, so a change
// of the format needs a new version.
//
//	byte 0      version (2 bits), sequence number (6 bits)
//	byte 1      safe idle time, on a logarithmic scale
//	3 per entry two bytes of the endpoint's hash; attempts in flight (4 bits), checksum (4 bits)
//
// A message with one entry describes that endpoint. A message with more entries, or none, describes the
// sender's whole subset.

package decide

import (
	"iter"
	"math"
)

const (
	gossipVersion = 1 << 6 // in the two high bits of byte 0

	gossipSeqMask = 1<<6 - 1
	gossipSeqHalf = 1 << 5 // a message is newer than another if it is ahead by less than this

	gossipHeaderBytes = 2
	gossipEntryBytes  = 3
	maxGossipBytes    = 64

	maxGossipInFlight = 15 // largest count that fits into an entry

	// The safe idle time is gossipIdleUnitMicros * exp(gossipIdleLogStep * byte): each step adds a tenth.
	gossipIdleUnitMicros = 50_000
	gossipIdleLogStep    = 0.09531017980432493 // log(1.1)
	gossipIdleUnknown    = 255                 // unknown, or too long for the scale
)

// encodeGossip encodes a message with this balancer's attempts in flight at the given endpoints. The
// message is valid until the next call.
func (b *Balancer) encodeGossip(endpoints ...*endpointState) []byte {
	g := &b.gossip
	g.seq++
	head := gossipVersion | g.seq&gossipSeqMask
	steps := math.Log(max(1, b.idle.safeTime/gossipIdleUnitMicros)) / gossipIdleLogStep
	idle := byte(min(steps, gossipIdleUnknown))
	g.buffer = append(g.buffer[:0], head, idle)
	for _, s := range endpoints[:min(len(endpoints), (maxGossipBytes-gossipHeaderBytes)/gossipEntryBytes)] {
		tag, inFlight := s.gossipTag(), byte(min(s.inFlight, maxGossipInFlight))
		checksum := gossipChecksum(head, idle, tag[0], tag[1], inFlight)
		g.buffer = append(g.buffer, tag[0], tag[1], inFlight<<4|checksum)
	}
	return g.buffer
}

// validGossip reports whether a message is undamaged and has this version.
func validGossip(m []byte) bool {
	if len(m) < gossipHeaderBytes || len(m) > maxGossipBytes {
		return false
	}
	if (len(m)-gossipHeaderBytes)%gossipEntryBytes != 0 || m[0]&^gossipSeqMask != gossipVersion {
		return false
	}
	for e := gossipHeaderBytes; e < len(m); e += gossipEntryBytes {
		if m[e+2]&15 != gossipChecksum(m[0], m[1], m[e], m[e+1], m[e+2]>>4) {
			return false
		}
	}
	return true
}

// gossipChecksum returns the four high bits of the FNV-1a hash.
func gossipChecksum(bytes ...byte) byte {
	sum := uint32(2166136261)
	for _, c := range bytes {
		sum = (sum ^ uint32(c)) * 16777619
	}
	return byte(sum >> 28)
}

// gossipSeq returns the sequence number of a valid message.
func gossipSeq(m []byte) byte { return m[0] & gossipSeqMask }

// newerGossip reports whether sequence number seq is newer than another. Sequence numbers wrap around.
func newerGossip(seq, than byte) bool { return (seq-than-1)&gossipSeqMask < gossipSeqHalf }

// gossipIdleTime returns the safe idle time of a valid message, in µs, if its sender knows one.
func gossipIdleTime(m []byte) (idle float64, known bool) {
	if m[1] == gossipIdleUnknown {
		return 0, false
	}
	return gossipIdleUnitMicros * math.Exp(gossipIdleLogStep*float64(m[1])), true
}

// describesSubset reports whether a valid message describes the sender's whole subset.
func describesSubset(m []byte) bool { return len(m) != gossipHeaderBytes+gossipEntryBytes }

// gossipEntries yields the tag and the attempts in flight of each entry of a valid message.
func gossipEntries(m []byte) iter.Seq2[[2]byte, int] {
	return func(yield func([2]byte, int) bool) {
		for e := gossipHeaderBytes; e < len(m); e += gossipEntryBytes {
			if !yield([2]byte{m[e], m[e+1]}, int(m[e+2]>>4)) {
				return
			}
		}
	}
}

// hasGossipEntry reports whether a valid message has an entry for s.
func hasGossipEntry(m []byte, s *endpointState) bool {
	for tag := range gossipEntries(m) {
		if tag == s.gossipTag() {
			return true
		}
	}
	return false
}

// gossipTag identifies s in a message by two bytes of its hash. If several endpoints have the same tag, the
// entry applies to one of them.
func (s *endpointState) gossipTag() [2]byte {
	return [2]byte{byte(s.idHash >> 40), byte(s.idHash >> 32)}
}

// indexGossipTags rebuilds the index of the listed endpoints by tag.
func (b *Balancer) indexGossipTags() {
	clear(b.gossip.endpointsByTag)
	for _, s := range b.endpoints {
		b.gossip.endpointsByTag[s.gossipTag()] = s
	}
}
