package cells

import "damsonscale/internal/takeover"

// LeaseRequest is a member's request for a lease. Epoch is the last epoch of the cell's log that the member has, so that the answer can include
// the later entries. It is sent as an array: its fields keep their order and types.
type LeaseRequest struct {
	_              struct{} `cbor:",toarray"`
	Cell           ID
	Member         takeover.Member
	SentMicros     int64  // by the member's clock
	ActiveSettings uint64 // number of the settings that the member acts on
	Epoch          uint64
}

// LeaseGrant is the answer to a granted LeaseRequest. It is sent as an array: its fields keep their order and types.
type LeaseGrant struct {
	_                 struct{} `cbor:",toarray"`
	Cell              ID
	Member            takeover.Member
	RequestSentMicros int64 // SentMicros of the request
	Epoch             uint64
}

// Node is a process of a member. It belongs to one cell and acts only under that cell's leases. Times are µs by its own clock.
type Node struct {
	Self           takeover.Member
	Cell           ID
	ActiveSettings uint64       // number of the settings that the process acts on; never decreases
	Certificate    *Certificate // certificate of the departure from the former cell, until the process joins Cell
	leaseEnd       int64
	relinquished   bool
}

// NewNode returns a process that has just started. Its options or the directory determine the cell.
func NewNode(self takeover.Member, cell ID) *Node { return &Node{Self: self, Cell: cell} }

// LeaseRequest returns the lease request to send now.
func (n *Node) LeaseRequest(now int64, epoch uint64) LeaseRequest {
	return LeaseRequest{Cell: n.Cell, Member: n.Self, SentMicros: now, ActiveSettings: n.ActiveSettings, Epoch: epoch}
}

// HandleGrant extends the lease, which counts from the time of the request. Grants of another cell or for another incarnation are ignored.
func (n *Node) HandleGrant(g LeaseGrant, leaseMicros int64) {
	if g.Cell != n.Cell || g.Member != n.Self || n.relinquished {
		return
	}
	n.leaseEnd = max(n.leaseEnd, g.RequestSentMicros+leaseMicros)
}

// LeaseValid reports whether the process may act now. Callers check it as late as possible before they send a byte.
func (n *Node) LeaseValid(now int64) bool { return !n.relinquished && now < n.leaseEnd }

// Relinquish gives up this incarnation's leases, so that its cell need not wait for them to expire.
func (n *Node) Relinquish() { n.relinquished = true }

// AdoptSettings makes the process act on the settings with the given number, unless it acts on newer ones.
func (n *Node) AdoptSettings(number uint64) { n.ActiveSettings = max(n.ActiveSettings, number) }

// Depart ends the leases of this incarnation and makes the process a new incarnation in the cell that the certificate names. It returns false
// and changes nothing if the certificate belongs to another member or cell, or the incarnation is not new.
func (n *Node) Depart(c *Certificate, incarnation uint64) bool {
	if c == nil || c.Cell != n.Cell || c.Member.Name != n.Self.Name || incarnation == n.Self.Incarnation {
		return false
	}
	n.Rejoin(incarnation)
	n.Cell, n.Certificate = c.To, c
	return true
}

// Reassign makes the process a new incarnation in a cell that the directory names, because its own cell no longer lists it or no longer exists.
func (n *Node) Reassign(cell ID, incarnation uint64) {
	n.Rejoin(incarnation)
	n.Cell, n.Certificate = cell, nil
}

// Rejoin makes the process a new incarnation in the same cell, because the present incarnation was evicted.
func (n *Node) Rejoin(incarnation uint64) {
	n.leaseEnd, n.relinquished = 0, false
	n.Self.Incarnation = incarnation
}
