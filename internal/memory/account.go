// Package memory counts the memory that a process holds for its clients, before it is allocated. An Account has one limit for
// the process; a Reservation is the part of it that one request or connection holds.
//
// The counted sizes are estimates of what the Go runtime needs, so the limit has to leave room for the garbage collector.
package memory

import "sync/atomic"

// Shares of the limit up to which memory is granted.
const (
	bulkShare  = 0.75 // by GrowBulk
	spareShare = 0.15 // by GrowSpare
)

// UncountedFields is the number of header fields of a message that the share of a connection or an attempt covers.
const UncountedFields = 64

// fieldBytes is the memory of a parsed header field, with its name and what its list grows by.
const fieldBytes = 128

// HeaderFields returns the bytes to reserve for parsed header fields beyond UncountedFields.
func HeaderFields(fields int) int64 { return MoreHeaderFields(max(0, fields-UncountedFields)) }

// MoreHeaderFields returns the bytes to reserve for parsed header fields, all of which count.
func MoreHeaderFields(fields int) int64 { return int64(fields) * fieldBytes }

// Account is the memory that all requests of a process may hold together. It is safe for concurrent use. A nil Account grants
// everything.
type Account struct {
	limit   atomic.Int64 // bytes, those of GrowInherited included
	used    atomic.Int64 // bytes
	refused atomic.Int64 // number of reservations that were refused
}

// NewAccount returns an account with a limit in bytes.
func NewAccount(limit int64) *Account {
	a := &Account{}
	a.SetLimit(limit)
	return a
}

// SetLimit changes the limit, which covers inherited bytes, too. Reservations above a lower limit stay, and none is
// granted until enough have been released.
func (a *Account) SetLimit(limit int64) { a.limit.Store(limit) }

// Usage returns the bytes in use, the limit, and the number of reservations that were refused since the start.
func (a *Account) Usage() (used, limit, refused int64) {
	return a.used.Load(), a.limit.Load(), a.refused.Load()
}

// BulkLimit returns the bytes up to which GrowBulk grants memory.
func (a *Account) BulkLimit() int64 { return int64(bulkShare * float64(a.limit.Load())) }

// reserve takes n bytes, or returns false if the account would hold more than limit.
func (a *Account) reserve(n, limit int64) bool {
	if a.used.Add(n) <= limit {
		return true
	}
	a.used.Add(-n)
	a.refused.Add(1)
	return false
}

// Reservation is a number of bytes of an account. One goroutine at a time may use it. A nil or zero Reservation belongs to no
// account and grants everything.
type Reservation struct {
	account *Account
	bytes   int64
}

// NewReservation returns an empty reservation.
func (a *Account) NewReservation() *Reservation { return &Reservation{account: a} }

// Grow adds n bytes. If the account has fewer left, it changes nothing and returns false.
func (r *Reservation) Grow(n int64) bool {
	return r == nil || r.account == nil || r.growUpTo(r.account.limit.Load(), n)
}

// GrowBulk adds n bytes that are held for as long as the other side takes, such as a body that is read slowly. It leaves a part of
// the account to short requests.
func (r *Reservation) GrowBulk(n int64) bool {
	return r == nil || r.account == nil || r.growUpTo(r.account.BulkLimit(), n)
}

// GrowSpare adds n bytes that the request can do without: it leaves most of the account to others.
func (r *Reservation) GrowSpare(n int64) bool {
	return r == nil || r.account == nil || r.growUpTo(int64(spareShare*float64(r.account.limit.Load())), n)
}

func (r *Reservation) growUpTo(limit, n int64) bool {
	if n <= 0 {
		return true
	}
	if !r.account.reserve(n, limit) {
		return false
	}
	r.bytes += n
	return true
}

// GrowAlways adds n bytes even if that exceeds the limit: for memory that is bounded elsewhere, or that can't be refused.
func (r *Reservation) GrowAlways(n int64) {
	if r == nil || r.account == nil {
		return
	}
	r.account.used.Add(n)
	r.bytes += n
}

// GrowInherited adds n bytes that another process of this sidecar has released to this one, and raises the limit by as much until
// SetLimit is called, when that process has ended.
func (r *Reservation) GrowInherited(n int64) {
	if r == nil || r.account == nil {
		return
	}
	r.account.limit.Add(n)
	r.GrowAlways(n)
}

// Shrink returns n bytes to the account, at most all.
func (r *Reservation) Shrink(n int64) {
	if r != nil && r.account != nil {
		n = min(n, r.bytes)
		r.account.used.Add(-n)
		r.bytes -= n
	}
}

// Release returns all bytes to the account. The reservation is empty then and can be used again.
func (r *Reservation) Release() {
	if r != nil && r.account != nil {
		r.account.used.Add(-r.bytes)
		r.bytes = 0
	}
}
