package cells

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// CommandKind is what a command does.
type CommandKind uint8

const (
	Open      CommandKind = 1  // a cell for names that are in none
	Assign    CommandKind = 2  // a new name to a cell
	Remove    CommandKind = 3  // a name for good: its cell is to let it go
	Removed   CommandKind = 4  // it has
	Move      CommandKind = 5  // a name to another cell
	Split     CommandKind = 6  // a cell into two: Names go to the first
	Merge     CommandKind = 7  // cells into one
	Ready     CommandKind = 8  // a cell's log has what the directory said up to At
	Arrived   CommandKind = 9  // a name has joined its new cell
	Sealed    CommandKind = 10 // a cell's log has ended with Epoch
	SetTarget CommandKind = 11 // the version of the settings to act on
	SetFence  CommandKind = 12 // below it no lease
	Forget    CommandKind = 13 // a name's former cells, a name that is gone, or a sealed cell: the longest deadline has passed
)

// Command is an entry of the directory's log.
type Command struct {
	_      struct{} `cbor:",toarray"`
	Kind   CommandKind
	ID     uint64 // drawn by who asks; one that was applied is not again
	Region string
	Cell   ID
	Cells  []ID
	Slots  []MemberSlot // with Open and Assign: name, address and zone
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
	global  GlobalState
	last    ID
	parts   map[ID]*CellRecord
	sums    map[ID]uint64
	where   map[string]ID // the cell that a name is in or goes to
	drops   []dropped
	lost    Version // deltas since before it are not known any more
	done    []uint64
	plant   InjectedFault
}

// NewDirectory makes an empty one.
func NewDirectory(p InjectedFault) *Directory {
	return &Directory{parts: map[ID]*CellRecord{}, sums: map[ID]uint64{}, where: map[string]ID{}, plant: p}
}

// Clone copies it; parts are shared, since they are never changed.
func (d *Directory) Clone() *Directory {
	c := *d
	c.parts, c.sums, c.where = maps.Clone(d.parts), maps.Clone(d.sums), maps.Clone(d.where)
	c.drops, c.done = slices.Clone(d.drops), slices.Clone(d.done)
	return &c
}

// Version, Global and Part tell what it says; Where finds a name's cell, the new one while it moves.
func (d *Directory) Version() Version         { return d.version }
func (d *Directory) Global() GlobalState      { return d.global }
func (d *Directory) Record(id ID) *CellRecord { return d.parts[id] }
func (d *Directory) CellOf(name string) ID    { return d.where[name] }
func (d *Directory) CellIDs() []ID            { return slices.Sorted(maps.Keys(d.parts)) }

// Apply takes the entry of the log at a version. With an error nothing has changed but the version.
func (d *Directory) Apply(at Version, c *Command) error {
	if at.Index <= d.version.Index || at.Term < d.version.Term {
		if d.plant != TermIgnored {
			return ErrStale // Guards against two directories that both assign
		}
	}
	if slices.Contains(d.done, c.ID) && c.ID != 0 {
		return ErrAlreadyApplied
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
	case Removed:
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
	case SetTarget, SetFence:
		next := d.global
		if c.Kind == SetTarget {
			next.Settings = c.Number
		} else {
			next.Fence = c.Number
		}
		if next.Settings < d.global.Settings || next.Fence < d.global.Fence || next.Fence > next.Settings || next == d.global {
			return ErrNoChange
		}
		next.ChangedAt = d.version
		d.global = next
		return nil
	}
	return ErrNoChange
}

// edit hands out a copy of a part that may be changed until put.
func (d *Directory) edit(id ID) *CellRecord {
	p := *d.parts[id]
	p.Slots, p.Contacts = slices.Clone(p.Slots), slices.Clone(p.Contacts)
	return &p
}

func (d *Directory) put(p *CellRecord) {
	slices.SortFunc(p.Slots, func(a, b MemberSlot) int { return cmp.Compare(a.Name, b.Name) })
	p.Contacts = d.contacts(p)
	p.ChangedAt = d.version
	d.parts[p.ID], d.sums[p.ID] = p, sum(p)
}

// contacts lists where the cells are asked that a part's members come from or go to.
func (d *Directory) contacts(p *CellRecord) (out []Contact) {
	var ids []ID
	for _, s := range p.Slots {
		ids = append(append(ids, s.From, s.To), s.FormerCells...)
	}
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		o := d.parts[id]
		if id == 0 || id == p.ID || o == nil {
			continue
		}
		c := Contact{Cell: id}
		for _, s := range o.Slots[:min(contacts, len(o.Slots))] {
			c.Addresses = append(c.Addresses, s.Address)
		}
		out = append(out, c)
	}
	return out
}

func sum(p *CellRecord) uint64 { return xxhash.Sum64(Encode(p)) }

// still finds a cell that is open and not about to become another one.
func (d *Directory) still(id ID) (*CellRecord, error) {
	p := d.parts[id]
	switch {
	case p == nil || p.Sealed:
		return nil, ErrCellNotFound
	case len(p.PendingSuccessors) > 0 || len(p.Successors) > 0 || slices.ContainsFunc(p.Slots, func(s MemberSlot) bool { return s.From != 0 || s.To != 0 || d.where[s.Name] != id }):
		return nil, ErrChangeInProgress
	}
	return p, nil
}

func (d *Directory) next(region string) *CellRecord {
	d.last++
	return &CellRecord{ID: d.last, Region: region}
}

func (d *Directory) open(c *Command) error {
	if len(c.Slots) == 0 || c.Region == "" {
		return ErrInvalidNames
	}
	met := map[string]bool{}
	for _, s := range c.Slots {
		if d.where[s.Name] != 0 || s.Name == "" || met[s.Name] {
			return ErrAlreadyAssigned
		}
		met[s.Name] = true
	}
	p := d.next(c.Region)
	for _, s := range c.Slots {
		d.where[s.Name] = p.ID
		p.Slots = append(p.Slots, MemberSlot{Name: s.Name, Address: s.Address, Zone: s.Zone, MoveIndex: d.version.Index})
	}
	d.put(p)
	return nil
}

func (d *Directory) assign(c *Command) error {
	if len(c.Slots) != 1 || c.Slots[0].Name == "" {
		return ErrInvalidNames
	}
	s := c.Slots[0]
	if d.where[s.Name] != 0 {
		return ErrAlreadyAssigned
	}
	if p := d.parts[c.Cell]; p == nil || p.Sealed || len(p.PendingSuccessors) > 0 || len(p.Successors) > 0 {
		return ErrCellNotFound
	}
	p := d.edit(c.Cell)
	p.Slots = append(p.Slots, MemberSlot{Name: s.Name, Address: s.Address, Zone: s.Zone, MoveIndex: d.version.Index})
	d.where[s.Name] = p.ID
	d.put(p)
	return nil
}

func (d *Directory) remove(c *Command) error {
	if len(c.Names) != 1 || d.where[c.Names[0]] == 0 {
		return ErrMemberNotFound
	}
	name := c.Names[0]
	p := d.edit(d.where[name])
	s := p.Slot(name)
	if s.From != 0 || s.To != 0 || len(p.PendingSuccessors) > 0 || len(p.Successors) > 0 {
		return ErrChangeInProgress
	}
	if d.alone(p, name) && slices.ContainsFunc(d.CellIDs(), func(id ID) bool {
		o := d.parts[id]
		return o != d.parts[p.ID] && o.Region == p.Region && !o.Sealed
	}) {
		return ErrLastMember
	}
	s.To, s.ToMoveIndex = RemovedID, d.version.Index
	d.put(p)
	return nil
}

// gone ends a name's place once its cell has let it go. Guards against a name that is given a place elsewhere while its cell,
// cut off from the directory, still gives it leases.
func (d *Directory) gone(c *Command) error {
	if len(c.Names) != 1 || d.where[c.Names[0]] == 0 {
		return ErrMemberNotFound
	}
	p := d.edit(d.where[c.Names[0]])
	s := p.Slot(c.Names[0])
	if s.To != RemovedID || s.ToMoveIndex != c.Number || s.Removed {
		return ErrNoChange
	}
	s.Removed = true // Guards against a place elsewhere, where its cell would take itself for the home of requests begun here
	d.put(p)
	return nil
}

func (d *Directory) move(c *Command) error {
	if len(c.Names) != 1 || d.where[c.Names[0]] == 0 {
		return ErrMemberNotFound
	}
	from, to := d.parts[d.where[c.Names[0]]], d.parts[c.Cell]
	if to == nil || to.Sealed || to.Region != from.Region {
		return ErrCellNotFound
	}
	s := from.Slot(c.Names[0])
	switch {
	case to == from:
		return ErrNoChange
	case s.From != 0 || s.To != 0 || len(from.PendingSuccessors)+len(from.Successors)+len(to.PendingSuccessors)+len(to.Successors) > 0:
		return ErrChangeInProgress
	case d.alone(from, s.Name):
		return ErrLastMember // Guards against obligations that nobody is left to take over
	case slices.Contains(s.FormerCells, to.ID) || len(s.FormerCells) >= mostWas:
		return ErrRecentMember // Guards against a way round in which a request's cell can't be told
	}
	p := d.edit(to.ID)
	p.Slots = append(p.Slots, d.coming(s, from.ID))
	d.where[s.Name] = p.ID
	d.put(p)
	return nil
}

// alone tells whether nobody else stays in a cell.
func (d *Directory) alone(p *CellRecord, name string) bool {
	return !slices.ContainsFunc(p.Slots, func(o MemberSlot) bool { return o.Name != name && o.From == 0 && o.To == 0 && d.where[o.Name] == p.ID })
}

// coming is the seat of a name that comes from a cell.
func (d *Directory) coming(s *MemberSlot, from ID) MemberSlot {
	return MemberSlot{Name: s.Name, Address: s.Address, Zone: s.Zone, MoveIndex: d.version.Index, From: from, FormerCells: append(slices.Clone(s.FormerCells), from)}
}

// become makes cells of others.
func (d *Directory) become(old []*CellRecord, into map[string]*CellRecord, all []*CellRecord) error {
	for _, o := range old {
		for i := range o.Slots {
			if len(o.Slots[i].FormerCells) >= mostWas {
				return ErrRecentMember
			}
		}
	}
	var ids []ID
	for _, p := range all {
		ids = append(ids, p.ID)
	}
	for _, o := range old {
		for i := range o.Slots {
			s := &o.Slots[i]
			p := into[s.Name]
			p.Slots = append(p.Slots, d.coming(s, o.ID))
			d.where[s.Name] = p.ID
		}
		next := d.edit(o.ID)
		if next.PendingSuccessors = ids; len(o.Slots) == 0 { // nobody to wait for
			next.Successors, next.PendingSuccessors = ids, nil
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
	into, n := map[string]*CellRecord{}, 0
	for _, s := range p.Slots {
		if into[s.Name] = two; slices.Contains(c.Names, s.Name) {
			into[s.Name] = one
			n++
		}
	}
	if n == 0 || n == len(p.Slots) || n != len(c.Names) {
		return ErrInvalidNames
	}
	return d.become([]*CellRecord{p}, into, []*CellRecord{one, two})
}

func (d *Directory) merge(c *Command) error {
	if len(c.Cells) != 2 || c.Cells[0] == c.Cells[1] {
		return ErrCellNotFound
	}
	var old []*CellRecord
	for _, id := range c.Cells {
		p, err := d.still(id)
		if err != nil {
			return err
		}
		old = append(old, p)
	}
	if old[0].Region != old[1].Region {
		return ErrCellNotFound
	}
	one, into := d.next(old[0].Region), map[string]*CellRecord{}
	for _, o := range old {
		for _, s := range o.Slots {
			into[s.Name] = one
		}
	}
	return d.become(old, into, []*CellRecord{one})
}

// ready has members leave for a cell that expects them. Guards against a member that has left, and is taken nowhere while the
// directory is down.
func (d *Directory) ready(c *Command) error {
	p := d.parts[c.Cell]
	if p == nil || p.Sealed {
		return ErrCellNotFound
	}
	olds := map[ID]*CellRecord{}
	for i := range p.Slots {
		s := &p.Slots[i]
		if s.From == 0 || s.MoveIndex > c.At.Index {
			continue
		}
		o := olds[s.From]
		if o == nil {
			if d.parts[s.From] == nil {
				continue
			}
			o = d.edit(s.From)
		}
		if was := o.Slot(s.Name); was != nil && was.To == 0 {
			was.To, was.ToMoveIndex = p.ID, s.MoveIndex
			olds[s.From] = o
		}
	}
	if len(olds) == 0 {
		return ErrNoChange
	}
	for _, id := range slices.Sorted(maps.Keys(olds)) {
		o := olds[id]
		if len(o.PendingSuccessors) > 0 && !slices.ContainsFunc(o.Slots, func(s MemberSlot) bool { return s.To == 0 }) {
			o.Successors, o.PendingSuccessors = o.PendingSuccessors, nil
		}
		d.put(o)
	}
	return nil
}

func (d *Directory) arrived(c *Command) error {
	if len(c.Names) != 1 || d.parts[c.Cell] == nil {
		return ErrMemberNotFound
	}
	p := d.edit(c.Cell)
	s := p.Slot(c.Names[0])
	if s == nil || s.From == 0 || s.MoveIndex != c.Number {
		return ErrNoChange
	}
	if o := d.parts[s.From]; o != nil {
		o = d.edit(s.From)
		o.Slots = slices.DeleteFunc(o.Slots, func(x MemberSlot) bool { return x.Name == s.Name })
		d.put(o)
	}
	s.From = 0
	d.put(p)
	return nil
}

func (d *Directory) sealed(c *Command) error {
	if p := d.parts[c.Cell]; p == nil || p.Sealed || len(p.Successors) == 0 {
		return ErrNoChange
	}
	p := d.edit(c.Cell)
	p.Sealed, p.FinalEpoch = true, c.Epoch
	d.put(p)
	return nil
}

func (d *Directory) forget(c *Command) error {
	if len(c.Names) == 1 {
		if d.where[c.Names[0]] == 0 {
			return ErrMemberNotFound
		}
		p := d.edit(d.where[c.Names[0]])
		s := p.Slot(c.Names[0])
		if s.Removed {
			p.Slots = slices.DeleteFunc(p.Slots, func(o MemberSlot) bool { return o.Name == c.Names[0] })
			delete(d.where, c.Names[0])
			d.put(p)
			return nil
		}
		if s.From != 0 || s.To != 0 || len(s.FormerCells) == 0 {
			return ErrNoChange
		}
		s.FormerCells = nil
		d.put(p)
		return nil
	}
	p := d.parts[c.Cell]
	if p == nil || !p.Sealed || len(p.Slots) > 0 {
		return ErrNoChange
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
	_          struct{} `cbor:",toarray"`
	Region     string
	Since      Version
	To         Version
	Complete   bool // all there is: what is not in it is no more
	More       bool // further pages follow; Global, Drops and Digest are with the last
	Global     GlobalState
	Records    []*CellRecord
	Tombstones []ID
	Digest     uint64 // of all parts of the region, as of To
}

// Delta makes one of some bytes at most, more where one command changed more. Of a directory that is behind the asker there is nothing
// in it: guards against whole transfers to all relays, which these refuse, after each change of the leader. It says all there is where what changed since
// is not known any more. from is, in a whole one, the version up to which pages were had.
func (d *Directory) Delta(region string, since, from Version, whole bool, most int) Delta {
	out := Delta{Region: region, Since: since, To: d.version, Complete: whole || d.lost.Newer(since)}
	if !out.Complete {
		from = since
	}
	var all []*CellRecord
	for id, p := range d.parts {
		if p.Region != region {
			continue
		}
		if out.Digest ^= d.sums[id]; p.ChangedAt.Newer(from) {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, func(a, b *CellRecord) int { return cmp.Or(a.ChangedAt.Compare(b.ChangedAt), cmp.Compare(a.ID, b.ID)) })
	size := 0
	for i, p := range all {
		size += len(Encode(p))
		if i > 0 && size > most && p.ChangedAt != all[i-1].ChangedAt {
			out.To, out.More, out.Digest = all[i-1].ChangedAt, true, 0
			return out
		}
		out.Records = append(out.Records, p)
	}
	out.Global = d.global
	for _, x := range d.drops {
		if x.region == region && x.at.Newer(since) {
			out.Tombstones = append(out.Tombstones, x.id)
		}
	}
	return out
}

// EncodedBytes is the length of all that a control machine holds of the directory, encoded.
func (d *Directory) EncodedBytes() int {
	n := len(Encode(d.version)) + len(Encode(d.global)) + 8*len(d.done) + 16*len(d.drops)
	for _, p := range d.parts {
		n += len(Encode(p)) + 8
		for _, s := range p.Slots {
			n += len(s.Name) + 4 // where
		}
	}
	return n
}
