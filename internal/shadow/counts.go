package shadow

import (
	"fmt"
	"strings"
)

// DifferenceKind is a way in which the actions of the two balancers on an event differ.
type DifferenceKind uint8

// Kinds of differences.
const (
	DifferentServer    DifferenceKind = iota // both send an attempt, to different servers
	OnlyOneSends                             // only one balancer sends an attempt; the other keeps the request waiting
	OnlyOneRejects                           // only one balancer rejects the request
	OnlyOneFails                             // only one balancer fails the request
	DifferentTimeout                         // both send an attempt to the same server, with different timeouts
	DifferentHedging                         // the numbers of hedged attempts of a request differ
	DifferentIdleClose                       // the numbers of servers with idle connections to close differ
	DifferentGossip                          // the numbers of messages to other balancers differ
	differenceKinds                          // number of kinds
)

var differenceNames = [differenceKinds]string{"server", "send", "reject", "fail", "timeout", "hedge", "close", "gossip"}

// String returns the key of the kind in log lines.
func (k DifferenceKind) String() string { return differenceNames[k] }

// Counts are the numbers of compared decisions and of differences.
type Counts struct {
	Compared    int                  // number of compared decisions on requests
	Differences [differenceKinds]int // number of differences by kind
}

// fields returns the counts as alternating keys and values of a log line.
func (c Counts) fields() []any {
	fields := []any{"compared", c.Compared}
	for kind, n := range c.Differences {
		fields = append(fields, DifferenceKind(kind).String(), n)
	}
	return fields
}

// String formats the counts as in a log line.
func (c Counts) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "compared=%d", c.Compared)
	for kind, n := range c.Differences {
		fmt.Fprintf(&b, " %s=%d", DifferenceKind(kind), n)
	}
	return b.String()
}
