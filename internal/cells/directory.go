package cells

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Kind is what a command does.
type Kind uint8

const (
	Open    Kind = 1  // a cell for names that are in none
	Assign  Kind = 2  // a new name to a cell
	Remove  Kind = 3  // a name for good: its cell is to let it go
	Gone    Kind = 4  // it has
	Move    Kind = 5  // a name to another cell
	Split   Kind = 6  // a cell into two: Names go to the first
	Merge   Kind = 7  // cells into one
	Ready   Kind = 8  // a cell's log has what the directory said up to At
	Arrived Kind = 9  // a name has joined its new cell
	Sealed  Kind = 10 // a cell's log has ended with Epoch
	Target  Kind = 11 // the version of the settings to act on
	Fence   Kind = 12 // below it no lease
	Forget  Kind = 13 // a name's former cells, a name that is gone, or a sealed cell: the longest deadline has passed
)

// Command is an entry of the directory's log.
type Command struct {
	_      struct{} `cbor:",toarray"`
	Kind   Kind
	ID     uint64 // drawn by who asks; one that was applied is not again
	Region string
	Cell   ID
	Cells  []ID
	Seats  []Seat // with Open and Assign: name, address and zone
	Names  []string
	At     Version
	Epoch  uint64
	Number uint64
}

type dropped struct {
	id     ID
	region string
	at     Version
}

const mostDropped = 1024

// Directory is the state of the directory after some entries of its log.
type Directory struct {
	version Version
	global  Global
	last    ID
	parts   map[ID]*Part
	sums    map[ID]uint64
	where   map[string]ID // the cell that a name is in or goes to
	drops   []dropped
	lost    Version // deltas since before it are not known any more
	done    []uint64
	plant   Plant
}

// NewDirectory makes an empty one.
func NewDirectory(p Plant) *Directory {
	return &Directory{parts: map[ID]*Part{}, sums: map[ID]uint64{}, where: map[string]ID{}, plant: p}
}

// Clone copies it; parts are shared, since they are never changed.
func (d *Directory) Clone() *Directory {
	c := *d
	c.parts, c.sums, c.where = maps.Clone(d.parts), maps.Clone(d.sums), maps.Clone(d.where)
	c.drops, c.done = slices.Clone(d.drops), slices.Clone(d.done)
	return &c
}

// Version, Global and Part tell what it says; Where finds a name's cell, the new one while it moves.
func (d *Directory) Version() Version     { return d.version }
func (d *Directory) Global() Global       { return d.global }
func (d *Directory) Part(id ID) *Part     { return d.parts[id] }
func (d *Directory) Where(name string) ID { return d.where[name] }
func (d *Directory) Cells() []ID          { return slices.Sorted(maps.Keys(d.parts)) }

// Apply takes the entry of the log at a version. With an error nothing has changed but the version.
func (d *Directory) Apply(at Version, c *Command) error {
	if at.Index <= d.version.Index || at.Term < d.version.Term {
		if d.plant != TermUnread {
			return ErrOld // Guards against two directories that both assign
		}
	}
	if slices.Contains(d.done, c.ID) && c.ID != 0 {
		return ErrDone
	}
	last := d.last
	d.version = at
	if err := d.apply(c); err != nil {
		d.last = last
		return err
	}
	if c.ID != 0 {
		if d.done = append(d.done, c.ID); len(d.done) > mostDone {
			d.done = slices.Clone(d.done[len(d.done)-mostDone:])
		}
	}
	return nil
}

// apply checks before it changes anything.
func (d *Directory) apply(c *Command) error {
	switch c.Kind {
	case Open:
		return d.open(c)
	case Assign:
		return d.assign(c)
	case Remove:
		return d.remove(c)
	case Gone:
		return d.gone(c)
	case Move:
		return d.move(c)
	case Split:
		return d.split(c)
	case Merge:
		return d.merge(c)
	case Ready:
		return d.ready(c)
	case Arrived:
		return d.arrived(c)
	case Sealed:
		return d.sealed(c)
	case Forget:
		return d.forget(c)
	case Target, Fence:
		next := d.global
		if c.Kind == Target {
			next.Settings = c.Number
		} else {
			next.Fence = c.Number
		}
		if next.Settings < d.global.Settings || next.Fence < d.global.Fence || next.Fence > next.Settings || next == d.global {
			return ErrNothing
		}
		next.Changed = d.version
		d.global = next
		return nil
	}
	return ErrNothing
}

// edit hands out a copy of a part that may be changed until put.
func (d *Directory) edit(id ID) *Part {
	p := *d.parts[id]
	p.Seats, p.Contacts = slices.Clone(p.Seats), slices.Clone(p.Contacts)
	return &p
}

func (d *Directory) put(p *Part) {
	slices.SortFunc(p.Seats, func(a, b Seat) int { return cmp.Compare(a.Name, b.Name) })
	p.Contacts = d.contacts(p)
	p.Changed = d.version
	d.parts[p.ID], d.sums[p.ID] = p, sum(p)
}

// contacts lists where the cells are asked that a part's members come from or go to.
func (d *Directory) contacts(p *Part) (out []Contact) {
	var ids []ID
	for _, s := range p.Seats {
		ids = append(append(ids, s.From, s.To), s.Was...)
	}
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		o := d.parts[id]
		if id == 0 || id == p.ID || o == nil {
			continue
		}
		c := Contact{Cell: id}
		for _, s := range o.Seats[:min(contacts, len(o.Seats))] {
			c.Addresses = append(c.Addresses, s.Address)
		}
		out = append(out, c)
	}
	return out
}

func sum(p *Part) uint64 { return xxhash.Sum64(Encode(p)) }

// still finds a cell that is open and not about to become another one.
func (d *Directory) still(id ID) (*Part, error) {
	p := d.parts[id]
	switch {
	case p == nil || p.Sealed:
		return nil, ErrNoCell
	case len(p.Pending) > 0 || len(p.Into) > 0 || slices.ContainsFunc(p.Seats, func(s Seat) bool { return s.From != 0 || s.To != 0 || d.where[s.Name] != id }):
		return nil, ErrMoving
	}
	return p, nil
}

func (d *Directory) next(region string) *Part {
	d.last++
	return &Part{ID: d.last, Region: region}
}

func (d *Directory) open(c *Command) error {
	if len(c.Seats) == 0 || c.Region == "" {
		return ErrNames
	}
	met := map[string]bool{}
	for _, s := range c.Seats {
		if d.where[s.Name] != 0 || s.Name == "" || met[s.Name] {
			return ErrSeated
		}
		met[s.Name] = true
	}
	p := d.next(c.Region)
	for _, s := range c.Seats {
		d.where[s.Name] = p.ID
		p.Seats = append(p.Seats, Seat{Name: s.Name, Address: s.Address, Zone: s.Zone, Move: d.version.Index})
	}
	d.put(p)
	return nil
}

func (d *Directory) assign(c *Command) error {
	if len(c.Seats) != 1 || c.Seats[0].Name == "" {
		return ErrNames
	}
	s := c.Seats[0]
	if d.where[s.Name] != 0 {
		return ErrSeated
	}
	if p := d.parts[c.Cell]; p == nil || p.Sealed || len(p.Pending) > 0 || len(p.Into) > 0 {
		return ErrNoCell
	}
	p := d.edit(c.Cell)
	p.Seats = append(p.Seats, Seat{Name: s.Name, Address: s.Address, Zone: s.Zone, Move: d.version.Index})
	d.where[s.Name] = p.ID
	d.put(p)
	return nil
}

func (d *Directory) remove(c *Command) error {
	if len(c.Names) != 1 || d.where[c.Names[0]] == 0 {
		return ErrNoSeat
	}
	name := c.Names[0]
	p := d.edit(d.where[name])
	s := p.Seat(name)
	if s.From != 0 || s.To != 0 || len(p.Pending) > 0 || len(p.Into) > 0 {
		return ErrMoving
	}
	if d.alone(p, name) && slices.ContainsFunc(d.Cells(), func(id ID) bool {
		o := d.parts[id]
		return o != d.parts[p.ID] && o.Region == p.Region && !o.Sealed
	}) {
		return ErrLast
	}
	s.To, s.ToMove = Nowhere, d.version.Index
	d.put(p)
	return nil
}

// gone ends a name's place once its cell has let it go. Guards against a name that is given a place elsewhere while its cell,
// cut off from the directory, still gives it leases.
func (d *Directory) gone(c *Command) error {
	if len(c.Names) != 1 || d.where[c.Names[0]] == 0 {
		return ErrNoSeat
	}
	p := d.edit(d.where[c.Names[0]])
	s := p.Seat(c.Names[0])
	if s.To != Nowhere || s.ToMove != c.Number || s.Gone {
		return ErrNothing
	}
	s.Gone = true // Guards against a place elsewhere, where its cell would take itself for the home of requests begun here
	d.put(p)
	return nil
}

func (d *Directory) move(c *Command) error {
	if len(c.Names) != 1 || d.where[c.Names[0]] == 0 {
		return ErrNoSeat
	}
	from, to := d.parts[d.where[c.Names[0]]], d.parts[c.Cell]
	if to == nil || to.Sealed || to.Region != from.Region {
		return ErrNoCell
	}
	s := from.Seat(c.Names[0])
	switch {
	case to == from:
		return ErrNothing
	case s.From != 0 || s.To != 0 || len(from.Pending)+len(from.Into)+len(to.Pending)+len(to.Into) > 0:
		return ErrMoving
	case d.alone(from, s.Name):
		return ErrLast // Guards against obligations that nobody is left to take over
	case slices.Contains(s.Was, to.ID) || len(s.Was) >= mostWas:
		return ErrRecent // Guards against a way round in which a request's cell can't be told
	}
	p := d.edit(to.ID)
	p.Seats = append(p.Seats, d.coming(s, from.ID))
	d.where[s.Name] = p.ID
	d.put(p)
	return nil
}

// alone tells whether nobody else stays in a cell.
func (d *Directory) alone(p *Part, name string) bool {
	return !slices.ContainsFunc(p.Seats, func(o Seat) bool { return o.Name != name && o.From == 0 && o.To == 0 && d.where[o.Name] == p.ID })
}

// coming is the seat of a name that comes from a cell.
func (d *Directory) coming(s *Seat, from ID) Seat {
	return Seat{Name: s.Name, Address: s.Address, Zone: s.Zone, Move: d.version.Index, From: from, Was: append(slices.Clone(s.Was), from)}
}

// become makes cells of others.
func (d *Directory) become(old []*Part, into map[string]*Part, all []*Part) error {
	for _, o := range old {
		for i := range o.Seats {
			if len(o.Seats[i].Was) >= mostWas {
				return ErrRecent
			}
		}
	}
	var ids []ID
	for _, p := range all {
		ids = append(ids, p.ID)
	}
	for _, o := range old {
		for i := range o.Seats {
			s := &o.Seats[i]
			p := into[s.Name]
			p.Seats = append(p.Seats, d.coming(s, o.ID))
			d.where[s.Name] = p.ID
		}
		next := d.edit(o.ID)
		if next.Pending = ids; len(o.Seats) == 0 { // nobody to wait for
			next.Into, next.Pending = ids, nil
		}
		d.put(next)
	}
	for _, p := range all {
		d.put(p)
	}
	return nil
}

func (d *Directory) split(c *Command) error {
	p, err := d.still(c.Cell)
	if err != nil {
		return err
	}
	one, two := d.next(p.Region), d.next(p.Region)
	into, n := map[string]*Part{}, 0
	for _, s := range p.Seats {
		if into[s.Name] = two; slices.Contains(c.Names, s.Name) {
			into[s.Name] = one
			n++
		}
	}
	if n == 0 || n == len(p.Seats) || n != len(c.Names) {
		return ErrNames
	}
	return d.become([]*Part{p}, into, []*Part{one, two})
}

func (d *Directory) merge(c *Command) error {
	if len(c.Cells) != 2 || c.Cells[0] == c.Cells[1] {
		return ErrNoCell
	}
	var old []*Part
	for _, id := range c.Cells {
		p, err := d.still(id)
		if err != nil {
			return err
		}
		old = append(old, p)
	}
	if old[0].Region != old[1].Region {
		return ErrNoCell
	}
	one, into := d.next(old[0].Region), map[string]*Part{}
	for _, o := range old {
		for _, s := range o.Seats {
			into[s.Name] = one
		}
	}
	return d.become(old, into, []*Part{one})
}

// ready has members leave for a cell that expects them. Guards against a member that has left, and is taken nowhere while the
// directory is down.
func (d *Directory) ready(c *Command) error {
	p := d.parts[c.Cell]
	if p == nil || p.Sealed {
		return ErrNoCell
	}
	olds := map[ID]*Part{}
	for i := range p.Seats {
		s := &p.Seats[i]
		if s.From == 0 || s.Move > c.At.Index {
			continue
		}
		o := olds[s.From]
		if o == nil {
			if d.parts[s.From] == nil {
				continue
			}
			o = d.edit(s.From)
		}
		if was := o.Seat(s.Name); was != nil && was.To == 0 {
			was.To, was.ToMove = p.ID, s.Move
			olds[s.From] = o
		}
	}
	if len(olds) == 0 {
		return ErrNothing
	}
	for _, id := range slices.Sorted(maps.Keys(olds)) {
		o := olds[id]
		if len(o.Pending) > 0 && !slices.ContainsFunc(o.Seats, func(s Seat) bool { return s.To == 0 }) {
			o.Into, o.Pending = o.Pending, nil
		}
		d.put(o)
	}
	return nil
}

func (d *Directory) arrived(c *Command) error {
	if len(c.Names) != 1 || d.parts[c.Cell] == nil {
		return ErrNoSeat
	}
	p := d.edit(c.Cell)
	s := p.Seat(c.Names[0])
	if s == nil || s.From == 0 || s.Move != c.Number {
		return ErrNothing
	}
	if o := d.parts[s.From]; o != nil {
		o = d.edit(s.From)
		o.Seats = slices.DeleteFunc(o.Seats, func(x Seat) bool { return x.Name == s.Name })
		d.put(o)
	}
	s.From = 0
	d.put(p)
	return nil
}

func (d *Directory) sealed(c *Command) error {
	if p := d.parts[c.Cell]; p == nil || p.Sealed || len(p.Into) == 0 {
		return ErrNothing
	}
	p := d.edit(c.Cell)
	p.Sealed, p.Epoch = true, c.Epoch
	d.put(p)
	return nil
}

func (d *Directory) forget(c *Command) error {
	if len(c.Names) == 1 {
		if d.where[c.Names[0]] == 0 {
			return ErrNoSeat
		}
		p := d.edit(d.where[c.Names[0]])
		s := p.Seat(c.Names[0])
		if s.Gone {
			p.Seats = slices.DeleteFunc(p.Seats, func(o Seat) bool { return o.Name == c.Names[0] })
			delete(d.where, c.Names[0])
			d.put(p)
			return nil
		}
		if s.From != 0 || s.To != 0 || len(s.Was) == 0 {
			return ErrNothing
		}
		s.Was = nil
		d.put(p)
		return nil
	}
	p := d.parts[c.Cell]
	if p == nil || !p.Sealed || len(p.Seats) > 0 {
		return ErrNothing
	}
	delete(d.parts, p.ID)
	delete(d.sums, p.ID)
	if d.drops = append(d.drops, dropped{p.ID, p.Region, d.version}); len(d.drops) > mostDropped {
		d.lost = d.drops[0].at
		d.drops = slices.Clone(d.drops[1:])
	}
	return nil
}

// Delta is what changed in a region since a version, or a whole region, in pages.
type Delta struct {
	_      struct{} `cbor:",toarray"`
	Region string
	Since  Version
	To     Version
	Whole  bool // all there is: what is not in it is no more
	More   bool // further pages follow; Global, Drops and Digest are with the last
	Global Global
	Parts  []*Part
	Drops  []ID
	Digest uint64 // of all parts of the region, as of To
}

// Delta makes one of some bytes at most, more where one command changed more. Of a directory that is behind the asker there is nothing
// in it: guards against whole transfers to all relays, which these refuse, after each change of the leader. It says all there is where what changed since
// is not known any more. from is, in a whole one, the version up to which pages were had.
func (d *Directory) Delta(region string, since, from Version, whole bool, most int) Delta {
	out := Delta{Region: region, Since: since, To: d.version, Whole: whole || d.lost.Newer(since)}
	if !out.Whole {
		from = since
	}
	var all []*Part
	for id, p := range d.parts {
		if p.Region != region {
			continue
		}
		if out.Digest ^= d.sums[id]; p.Changed.Newer(from) {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b *Part) int { return cmp.Or(a.Changed.Compare(b.Changed), cmp.Compare(a.ID, b.ID)) })
	size := 0
	for i, p := range all {
		size += len(Encode(p))
		if i > 0 && size > most && p.Changed != all[i-1].Changed {
			out.To, out.More, out.Digest = all[i-1].Changed, true, 0
			return out
		}
		out.Parts = append(out.Parts, p)
	}
	out.Global = d.global
	for _, x := range d.drops {
		if x.region == region && x.at.Newer(since) {
			out.Drops = append(out.Drops, x.id)
		}
	}
	return out
}

// Bytes is the length of all that a control machine holds of the directory, encoded.
func (d *Directory) Bytes() int {
	n := len(Encode(d.version)) + len(Encode(d.global)) + 8*len(d.done) + 16*len(d.drops)
	for _, p := range d.parts {
		n += len(Encode(p)) + 8
		for _, s := range p.Seats {
			n += len(s.Name) + 4 // where
		}
	}
	return n
}
