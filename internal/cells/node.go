package cells

import "damsonscale/internal/takeover"

// LeaseRequest is a member's request for a lease. It says how much of the cell's log the member has, so that the answer brings the rest. It is
// sent: order and types of its fields stay.
type LeaseRequest struct {
	_              struct{} `cbor:",toarray"`
	Cell           ID
	Member         takeover.Member
	SentMicros     int64 // by the member's clock
	ActiveSettings uint64
	Epoch          uint64
}

// LeaseGrant answers it. It is sent: order and types of its fields stay.
type LeaseGrant struct {
	_                 struct{} `cbor:",toarray"`
	Cell              ID
	Member            takeover.Member
	RequestSentMicros int64 // by the member's clock
	Epoch             uint64
}

// Node is a process of a member. It belongs to one cell, and acts by that cell's leases alone. Times are µs by its own clock.
type Node struct {
	Self           takeover.Member
	Cell           ID
	ActiveSettings uint64       // number of the settings that it acts on; it only grows
	Certificate    *Certificate // of its departure from another cell, until it has joined this one
	leaseEnd       int64
	relinquished   bool
}

// NewNode returns a process that has just started, of a cell that its options or the directory name.
func NewNode(self takeover.Member, cell ID) *Node { return &Node{Self: self, Cell: cell} }

// LeaseRequest returns the request to send now.
func (n *Node) LeaseRequest(now int64, epoch uint64) LeaseRequest {
	return LeaseRequest{Cell: n.Cell, Member: n.Self, SentMicros: now, ActiveSettings: n.ActiveSettings, Epoch: epoch}
}

// HandleGrant extends the lease, counted from when it was requested. Grants of another cell or for another incarnation are ignored.
func (n *Node) HandleGrant(g LeaseGrant, leaseMicros int64) {
	if g.Cell != n.Cell || g.Member != n.Self || n.relinquished {
		return
	}
	n.leaseEnd = max(n.leaseEnd, g.RequestSentMicros+leaseMicros)
}

// LeaseValid reports whether it may act now. It is checked as late as possible before a byte is sent.
func (n *Node) LeaseValid(now int64) bool { return !n.relinquished && now < n.leaseEnd }

// Relinquish ends this incarnation's leases, so that its cell need not wait for them to expire.
func (n *Node) Relinquish() { n.relinquished = true }

// AdoptSettings acts on a version of the settings from now on.
func (n *Node) AdoptSettings(number uint64) { n.ActiveSettings = max(n.ActiveSettings, number) }

// Depart makes it another incarnation, of the cell that its certificate names. Its leases end before. It reports whether the certificate is its own.
func (n *Node) Depart(c *Certificate, incarnation uint64) bool {
	if c == nil || c.Cell != n.Cell || c.Member.Name != n.Self.Name || incarnation == n.Self.Incarnation {
		return false
	}
	n.Rejoin(incarnation)
	n.Cell, n.Certificate = c.To, c
	return true
}

// Reassign makes it another incarnation, of a cell that the directory names: its own no longer knows it, or no longer exists.
func (n *Node) Reassign(cell ID, incarnation uint64) {
	n.Rejoin(incarnation)
	n.Cell, n.Certificate = cell, nil
}

// Rejoin makes it another incarnation, of the same cell: its present one was evicted.
func (n *Node) Rejoin(incarnation uint64) {
	n.leaseEnd, n.relinquished = 0, false
	n.Self.Incarnation = incarnation
}
