// The bytes of a gossip message. Balancers of different versions read each other's, so this format doesn't
// change without its version.
//
//	byte 0      version (2 bits), sequence number (6 bits)
//	byte 1      safe idle time, on a logarithmic scale
//	3 per entry two bytes of the endpoint's hash; attempts in flight (4 bits), checksum (4 bits)
//
// A message with one entry is of that endpoint; one with more, or none, lists the sender's whole subset.

package decide

import (
	"iter"
	"math"
)

const (
	gossipVersion = 1 << 6 // in the two high bits

	gossipSeqMask = 1<<6 - 1
	gossipSeqHalf = 1 << 5 // a message is newer than another by less than this

	gossipHeaderBytes = 2
	gossipEntryBytes  = 3
	maxGossipBytes    = 64

	maxGossipInFlight = 15

	// The safe idle time is gossipIdleUnitMicros * exp(gossipIdleLogStep * byte), steps of a tenth.
	gossipIdleUnitMicros = 50_000
	gossipIdleLogStep    = 0.09531017980432493 // log(1.1)
	gossipIdleUnknown    = 255                 // or longer than can be told
)

// encodeGossip writes a message of own attempts at endpoints. It is valid until the next one is written.
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

// validGossip reports whether a message is of this version and undamaged.
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

// gossipChecksum is four bits of FNV-1a.
func gossipChecksum(bytes ...byte) byte {
	sum := uint32(2166136261)
	for _, c := range bytes {
		sum = (sum ^ uint32(c)) * 16777619
	}
	return byte(sum >> 28)
}

// gossipSeq is the sequence number of a valid message.
func gossipSeq(m []byte) byte { return m[0] & gossipSeqMask }

// newerGossip reports whether a sequence number is newer than another; they wrap around.
func newerGossip(seq, than byte) bool { return (seq-than-1)&gossipSeqMask < gossipSeqHalf }

// gossipIdleTime is the safe idle time of a valid message, in µs, if its sender knows one.
func gossipIdleTime(m []byte) (idle float64, known bool) {
	if m[1] == gossipIdleUnknown {
		return 0, false
	}
	return gossipIdleUnitMicros * math.Exp(gossipIdleLogStep*float64(m[1])), true
}

// describesSubset reports whether a valid message lists the sender's whole subset.
func describesSubset(m []byte) bool { return len(m) != gossipHeaderBytes+gossipEntryBytes }

// gossipEntries yields the tags and the attempts in flight of a valid message, in its order.
func gossipEntries(m []byte) iter.Seq2[[2]byte, int] {
	return func(yield func([2]byte, int) bool) {
		for e := gossipHeaderBytes; e < len(m); e += gossipEntryBytes {
			if !yield([2]byte{m[e], m[e+1]}, int(m[e+2]>>4)) {
				return
			}
		}
	}
}

// hasGossipEntry reports whether a valid message has an entry of s.
func hasGossipEntry(m []byte, s *endpointState) bool {
	for tag := range gossipEntries(m) {
		if tag == s.gossipTag() {
			return true
		}
	}
	return false
}

// gossipTag stands for s in a message: two bytes of its hash. Of endpoints with the same tag one counts for
// all.
func (s *endpointState) gossipTag() [2]byte {
	return [2]byte{byte(s.idHash >> 40), byte(s.idHash >> 32)}
}

// indexGossipTags finds the listed endpoints by their tags.
func (b *Balancer) indexGossipTags() {
	clear(b.gossip.endpointsByTag)
	for _, s := range b.endpoints {
		b.gossip.endpointsByTag[s.gossipTag()] = s
	}
}
