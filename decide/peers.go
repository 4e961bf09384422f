// What balancers tell one another of their own attempts, and what one remembers of it. Decides nothing.

package decide

import "slices"

const (
	wordVersion = 1 << 6 // in the two high bits of the first byte; the others are a number that grows with each word
	seqMask     = 1<<6 - 1
	seqNewer    = 1 << 5 // newer than the last by less than this, in steps of one
	wordEntry   = 3      // bytes: two of the server's hash; the count and four bits that check the entry
	wordMost    = 64     // bytes of a message
	heldMost    = 15     // attempts that an entry can tell of
)

// sharer is another balancer that draws from a server, as it last told.
type sharer struct {
	from, held int
	at         int64
}

// voice is the last word heard of a balancer.
type voice struct {
	seq byte
	at  int64
}

// word writes a message of this balancer's attempts at some servers. More than one entry, or none, are all
// servers that it draws from.
func (b *Balancer) word(servers ...*server) []byte {
	b.said++
	head := wordVersion | b.said&seqMask
	b.buf = append(b.buf[:0], head)
	for _, s := range servers[:min(len(servers), (wordMost-1)/wordEntry)] {
		hi, lo, held := byte(s.hash>>40), byte(s.hash>>32), byte(min(s.inFlight, heldMost))
		b.buf = append(b.buf, hi, lo, held<<4|check(head, hi, lo, held))
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
	if len(w) == 0 || len(w) > wordMost || (len(w)-1)%wordEntry != 0 || w[0]&^seqMask != wordVersion ||
		from == b.set.Me || from < 0 || from >= b.set.Balancers {
		return false, false
	}
	for e := 1; e < len(w); e += wordEntry {
		if w[e+2]&15 != check(w[0], w[e], w[e+1], w[e+2]>>4) {
			return false, false
		}
	}
	seq := w[0] & seqMask
	if last, known := b.voices[from]; known && now-last.at < second && (seq-last.seq-1)&seqMask >= seqNewer {
		return false, false
	}
	b.voices[from] = voice{seq, now}
	for _, s := range b.servers {
		at := slices.IndexFunc(s.sharers, func(p sharer) bool { return p.from == from })
		named := false
		for e := 1; e < len(w) && !named; e += wordEntry {
			if w[e] == byte(s.hash>>40) && w[e+1] == byte(s.hash>>32) {
				if named = true; at < 0 {
					at = b.meetSharer(s, from)
					met = met || s.arm
				}
				s.sharers[at].held, s.sharers[at].at = int(w[e+2]>>4), now
			}
		}
		if !named && at >= 0 && len(w) != 1+wordEntry {
			s.sharers = slices.Delete(s.sharers, at, at+1)
		}
	}
	return true, met
}

// meetSharer adds a sharer to a server's: those that come next after this balancer's number are first.
func (b *Balancer) meetSharer(s *server, from int) int {
	far := func(n int) int { return (n - b.set.Me + b.set.Balancers) % b.set.Balancers }
	at := 0
	for at < len(s.sharers) && far(s.sharers[at].from) < far(from) {
		at++
	}
	s.sharers = slices.Insert(s.sharers, at, sharer{from: from})
	return at
}

// forgetSharers drops those not heard for long.
func (b *Balancer) forgetSharers(now int64) {
	for _, s := range b.servers {
		s.sharers = slices.DeleteFunc(s.sharers, func(p sharer) bool { return now-p.at > keepSharer })
	}
}
