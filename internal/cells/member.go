package cells

import "damsonscale/internal/takeover"

// LeaseRequest is a member's ask for a lease. It tells how far it has heard, so that the answer brings what it lacks.
type LeaseRequest struct {
	_              struct{} `cbor:",toarray"`
	Cell           ID
	Member         takeover.Member
	SentMicros     int64 // µs by its own clock
	ActiveSettings uint64
	Epoch          uint64
}

// LeaseGrant answers it.
type LeaseGrant struct {
	_                 struct{} `cbor:",toarray"`
	Cell              ID
	Member            takeover.Member
	RequestSentMicros int64
	Epoch             uint64
}

// Node is a member: it belongs to one cell, and acts by that one's leases alone.
type Node struct {
	Me             takeover.Member
	Cell           ID
	ActiveSettings uint64       // number of the settings that it acts on; it only grows
	Certificate    *Certificate // of its departure, until it has joined
	until          int64
	ended          bool
}

// NewNode makes a process that has just started; it knows its cell by the options or the directory.
func NewNode(me takeover.Member, cell ID) *Node { return &Node{Me: me, Cell: cell} }

// LeaseRequest is what to send now.
func (n *Node) LeaseRequest(now int64, epoch uint64) LeaseRequest {
	return LeaseRequest{Cell: n.Cell, Member: n.Me, SentMicros: now, ActiveSettings: n.ActiveSettings, Epoch: epoch}
}

// HandleGrant takes a grant in: of its own cell, for this incarnation, counted from when it was asked for.
func (n *Node) HandleGrant(g LeaseGrant, lease int64) {
	if g.Cell != n.Cell || g.Member != n.Me || n.ended {
		return // Guards against leases of two cells
	}
	n.until = max(n.until, g.RequestSentMicros+lease)
}

// LeaseValid tells whether it may act now. Asked as late as can be before a byte goes out.
func (n *Node) LeaseValid(now int64) bool { return !n.ended && now < n.until }

// Relinquish ends this incarnation's leases: it acts no more as this one, so that its cell need not wait.
func (n *Node) Relinquish() { n.ended = true }

// Adopt acts on a version of the settings from now on.
func (n *Node) Adopt(number uint64) { n.ActiveSettings = max(n.ActiveSettings, number) }

// Depart makes it another incarnation, of the cell that it goes to. All leave to act ends before.
func (n *Node) Depart(c *Certificate, incarnation uint64) bool {
	if c == nil || c.Cell != n.Cell || c.Member.Name != n.Me.Name || incarnation == n.Me.Incarnation {
		return false
	}
	n.Rejoin(incarnation)
	n.Cell, n.Certificate = c.To, c
	return true
}

// Reassign makes it another incarnation, of a cell that the directory names: its own knows it no more, or is no more.
func (n *Node) Reassign(cell ID, incarnation uint64) {
	n.Rejoin(incarnation)
	n.Cell, n.Certificate = cell, nil
}

// Rejoin makes it another incarnation, of the same cell: the one it was is out.
func (n *Node) Rejoin(incarnation uint64) {
	n.until, n.ended = 0, false
	n.Me.Incarnation = incarnation
}
