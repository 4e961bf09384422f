package modelcheck

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
)

// clone returns a copy that shares no mutable state.
func (w *takeoverWorld) clone() *takeoverWorld {
	c := *w
	c.log, c.net, c.responses = slices.Clone(w.log), slices.Clone(w.net), slices.Clone(w.responses)
	c.incarnations = maps.Clone(w.incarnations)
	c.processes, c.requests = nil, nil
	for _, p := range w.processes {
		c.processes = append(c.processes, p.clone())
	}
	for _, r := range w.requests {
		copied := *r
		copied.answers = slices.Clone(r.answers)
		c.requests = append(c.requests, &copied)
	}
	return &c
}

// clone returns a copy that shares no mutable state.
func (p *process) clone() *process {
	c := *p
	if p.node != nil {
		c.node = p.node.Clone()
	}
	c.waitingClients, c.sentAt = maps.Clone(p.waitingClients), maps.Clone(p.sentAt)
	c.attempts = map[int]*attempt{}
	for i, a := range p.attempts {
		copied := *a
		c.attempts[i] = &copied
	}
	return &c
}

// fingerprint returns a hash that identifies a state: states with equal fingerprints have equal successors, except for hash collisions.
func (w *takeoverWorld) fingerprint() (sum [16]byte) {
	h := fnv.New128a()
	fmt.Fprint(h, w.budget, w.log)
	for _, p := range w.processes {
		fmt.Fprint(h, p.up, p.lease, p.epoch, p.now, p.waitingClients)
		for i := range w.requests {
			if a := p.attempts[i]; a != nil {
				fmt.Fprint(h, i, *a)
			}
		}
		if p.node != nil {
			p.node.WriteState(h)
		}
	}
	fmt.Fprint(h, w.netTexts())
	for _, r := range w.requests {
		fmt.Fprint(h, *r)
	}
	h.Sum(sum[:0])
	return sum
}

// netTexts returns the messages in flight as sorted texts, because the network may deliver them in any order.
func (w *takeoverWorld) netTexts() (texts []string) {
	for _, m := range w.net {
		body := m.body
		body.Record = nil
		text := fmt.Sprint(m.from, m.to, body)
		if m.body.Record != nil {
			text += fmt.Sprint(*m.body.Record)
		}
		texts = append(texts, text)
	}
	slices.Sort(texts)
	return texts
}
