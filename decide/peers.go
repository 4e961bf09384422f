// What balancers tell one another of their own attempts, and what one remembers of it. Decides nothing.

package decide

import (
	"math"
	"slices"
)

const (
	wordVersion = 1 << 6 // in the two high bits of the first byte; the others are a number that grows with each word
	seqMask     = 1<<6 - 1
	seqNewer    = 1 << 5              // newer than the last by less than this, in steps of one
	wordHead    = 2                   // bytes: the one above, and how long connections may be idle, in steps of a tenth
	idleLeast   = 50_000              // µs, of which the steps count
	idleStep    = 0.09531017980432493 // of their logarithm: a tenth
	wordEntry   = 3                   // bytes: two of the server's hash; the count and four bits that check the entry
	wordMost    = 64                  // bytes of a message
	keepSharer  = 3                   // words to all may fail to come before a sharer is forgotten
	toldFor     = second              // that a count told holds: its end may be lost
	unheard     = second / 4          // without a word from anybody, past which words are taken to be lost
	tellMost    = 24.0                // balancers that a word goes to
	tellCPU     = 400.0               // µs of CPU a second for each of them
	tellFleet   = 16_000.0            // of all balancers together: words of a large fleet fill the links
	tellLeast   = 20 * second         // µs between two words to all, up to twice that
	tellSlot    = 100_000             // µs of that time for each balancer: a word to all costs each of them
	tellAgain   = 4 * second          // µs, sooner than that where what it draws from has changed
	tellPair    = 100                 // µs of this for each pair of balancers
	heldMost    = 15                  // attempts that an entry can tell of
)

// sharer is another balancer that draws from a server, as it last told.
type sharer struct {
	from, held int
	at         int64
}

// voice is the last word heard of a balancer.
type voice struct {
	seq     byte
	at      int64     // 0: never
	servers []*server // where it is a sharer
}

// word writes a message of this balancer's attempts at some servers. More than one entry, or none, are all
// servers that it draws from.
func (b *Balancer) word(servers ...*server) []byte {
	b.said++
	head := wordVersion | b.said&seqMask
	idle := byte(min(math.Log(max(1, b.idleSafe/idleLeast))/idleStep, 255))
	b.buf = append(b.buf[:0], head, idle)
	for _, s := range servers[:min(len(servers), (wordMost-wordHead)/wordEntry)] {
		hi, lo, held := s.tag()[0], s.tag()[1], byte(min(s.inFlight, heldMost))
		b.buf = append(b.buf, hi, lo, held<<4|check(head, idle, hi, lo, held))
	}
	return b.buf
}

func check(bytes ...byte) byte {
	sum := uint32(2166136261)
	for _, c := range bytes {
		sum = (sum ^ uint32(c)) * 16777619
	}
	return byte(sum >> 28)
}

// hear takes in a message, unless it is none, damaged, of another version, old, or from itself. Of servers not
// listed here it keeps nothing. met: the sender is new as a sharer of an arm.
func (b *Balancer) hear(now int64, from int, w []byte) (ok, met bool) {
	if len(w) < wordHead || len(w) > wordMost || (len(w)-wordHead)%wordEntry != 0 || w[0]&^seqMask != wordVersion ||
		from == b.set.BalancerIndex || from < 0 || from >= b.set.BalancerCount {
		return false, false
	}
	for e := wordHead; e < len(w); e += wordEntry {
		if w[e+2]&15 != check(w[0], w[1], w[e], w[e+1], w[e+2]>>4) {
			return false, false
		}
	}
	for len(b.voices) <= from {
		b.voices = append(b.voices, voice{})
	}
	v, seq := &b.voices[from], w[0]&seqMask
	if v.at > 0 && now-v.at < second && (seq-v.seq-1)&seqMask >= seqNewer {
		return false, false
	}
	v.seq, v.at = seq, now
	if w[1] < 255 && from+1 != b.idleFrom { // it has evidence, and did not tell the last
		if idle := idleLeast * math.Exp(idleStep*float64(w[1])); idle < b.idleSafe {
			b.idleSafe = min(b.idleSafe, max(idle, b.idleTold)) // the higher of what two have told
			b.idleTold, b.idleFrom = idle, from+1
		}
	}
	if len(w) != wordHead+wordEntry { // all its servers: it has left the others
		v.servers = slices.DeleteFunc(v.servers, func(s *server) bool {
			left := !named(w, s)
			if left {
				s.sharers = slices.DeleteFunc(s.sharers, func(p sharer) bool { return p.from == from })
			}
			return left
		})
	}
	for e := wordHead; e < len(w); e += wordEntry {
		if s := b.byTag[[2]byte{w[e], w[e+1]}]; s != nil {
			met = b.count(now, s, from, int(w[e+2]>>4)) || met
		}
	}
	return true, met
}

// tag stands for s in a word: two bytes of its hash. Servers with the same tag are few, and count for one of them.
func (s *server) tag() [2]byte { return [2]byte{byte(s.hash >> 40), byte(s.hash >> 32)} }

// named tells whether a word has an entry of s.
func named(w []byte, s *server) bool {
	for e := wordHead; e < len(w); e += wordEntry {
		if [2]byte{w[e], w[e+1]} == s.tag() {
			return true
		}
	}
	return false
}

// count writes down what a sharer holds at s and tells whether it is new as a sharer of an arm.
func (b *Balancer) count(now int64, s *server, from, held int) bool {
	at := slices.IndexFunc(s.sharers, func(p sharer) bool { return p.from == from })
	fresh := at < 0
	if fresh {
		at = b.meetSharer(s, from)
		if v := &b.voices[from]; !slices.Contains(v.servers, s) {
			v.servers = append(v.servers, s)
		}
	}
	s.sharers[at].held, s.sharers[at].at = held, now
	return fresh && s.arm
}

// meetSharer adds a sharer to a server's: those that come next after this balancer's number are first.
func (b *Balancer) meetSharer(s *server, from int) int {
	far := func(n int) int { return (n - b.set.BalancerIndex + b.set.BalancerCount) % b.set.BalancerCount }
	at := 0
	for at < len(s.sharers) && far(s.sharers[at].from) < far(from) {
		at++
	}
	s.sharers = slices.Insert(s.sharers, at, sharer{from: from})
	return at
}

// tellEvery is the time between two words to all, at the most: longer where there are many to tell.
func (b *Balancer) tellEvery() int64 { return max(tellLeast, int64(b.set.BalancerCount)*tellSlot) }

// tellSoon is the time between them where what this balancer draws from has changed.
func (b *Balancer) tellSoon() int64 {
	return max(tellAgain, tellPair*int64(b.set.BalancerCount)*int64(b.set.BalancerCount))
}

// forgetSharers drops those not heard for long.
func (b *Balancer) forgetSharers(now int64) {
	for _, s := range b.servers {
		s.sharers = slices.DeleteFunc(s.sharers, func(p sharer) bool { return now-p.at > keepSharer*b.tellEvery() })
	}
}

// talks tells whether balancers may tell one another what they have out.
func (b *Balancer) talks() bool { return b.set.Limits.Gossip }

// deaf tells whether the words of the others are lost.
func (b *Balancer) deaf(now int64) bool { return b.talks() && now-b.heardOf > unheard }

// held is what all balancers that draw from s have out there, as far as this one was told.
func (b *Balancer) held(now int64, s *server) float64 {
	if len(s.sharers) == 0 && !b.talks() {
		return float64(s.inFlight)
	}
	n := 0
	if b.deaf(now) { // words are lost: the others are taken to do as this one does
		return float64(s.inFlight) * b.sharersOf()
	}
	for i := range s.sharers {
		if p := &s.sharers[i]; now-p.at < toldFor {
			n += p.held
		}
	}
	return float64(s.inFlight) + float64(n)*max(1, float64(len(s.sharers))/float64(b.tellMost()))
}

// tellMost is how many a word goes to: each that comes costs its receiver some of the CPU that it has.
func (b *Balancer) tellMost() int {
	most := min(tellMost, tellFleet/float64(max(1, b.set.BalancerCount)))
	if b.set.Limits.CPU > 0 {
		most = min(most, float64(b.set.Limits.CPU)/tellCPU)
	}
	return int(max(1, most))
}

// sharersOf is how many balancers draw from a server, on average.
func (b *Balancer) sharersOf() float64 {
	return max(1, float64(b.set.BalancerCount*b.armsWanted())/float64(max(1, len(b.servers))))
}
