package decide

import (
	"math"
)

const (
	gossipVersion     = 1 << 6 // in the two high bits of the first byte; the others are a number that grows with each word
	gossipSeqMask     = 1<<6 - 1
	gossipSeqHalf     = 1 << 5              // newer than the last by less than this, in steps of one
	gossipHeaderBytes = 2                   // bytes: the one above, and how long connections may be idle, in steps of a tenth
	gossipIdleUnit    = 50_000              // µs, of which the steps count
	gossipIdleLogStep = 0.09531017980432493 // of their logarithm: a tenth
	gossipEntryBytes  = 3                   // bytes: two of the server's hash; the count and four bits that check the entry
	maxGossipBytes    = 64                  // bytes of a message
	maxGossipInFlight = 15                  // attempts that an entry can tell of
)

// encodeGossip writes a message of this balancer's attempts at some servers. More than one entry, or none, are all
// servers that it draws from.
func (b *Balancer) encodeGossip(servers ...*endpointState) []byte {
	b.gossipSeq++
	head := gossipVersion | b.gossipSeq&gossipSeqMask
	idle := byte(min(math.Log(max(1, b.safeIdleTime/gossipIdleUnit))/gossipIdleLogStep, 255))
	b.gossipBuffer = append(b.gossipBuffer[:0], head, idle)
	for _, s := range servers[:min(len(servers), (maxGossipBytes-gossipHeaderBytes)/gossipEntryBytes)] {
		hi, lo, held := s.gossipTag()[0], s.gossipTag()[1], byte(min(s.inFlight, maxGossipInFlight))
		b.gossipBuffer = append(b.gossipBuffer, hi, lo, held<<4|gossipChecksum(head, idle, hi, lo, held))
	}
	return b.gossipBuffer
}

func gossipChecksum(bytes ...byte) byte {
	sum := uint32(2166136261)
	for _, c := range bytes {
		sum = (sum ^ uint32(c)) * 16777619
	}
	return byte(sum >> 28)
}

// gossipTag stands for s in a word: two bytes of its hash. Servers with the same tag are few, and count for one of them.
func (s *endpointState) gossipTag() [2]byte {
	return [2]byte{byte(s.idHash >> 40), byte(s.idHash >> 32)}
}

// mentions tells whether a word has an entry of s.
func mentions(w []byte, s *endpointState) bool {
	for e := gossipHeaderBytes; e < len(w); e += gossipEntryBytes {
		if [2]byte{w[e], w[e+1]} == s.gossipTag() {
			return true
		}
	}
	return false
}
