package shadow

import (
	"fmt"
	"strings"
)

// DifferenceKind is the kind of a decision in which the two balancers can differ.
type DifferenceKind uint8

// The kinds of differences.
const (
	DifferentServer    DifferenceKind = iota // an attempt at another server
	OnlyOneSends                             // one sends, the other keeps the request waiting
	OnlyOneRejects                           // one alone rejects
	OnlyOneFails                             // one alone fails the request
	DifferentTimeout                         // an attempt at the same server has another timeout
	DifferentHedging                         // a further attempt while another is in flight
	DifferentIdleClose                       // idle connections closed
	DifferentGossip                          // a message to another balancer
	differenceKinds
)

var differenceNames = [differenceKinds]string{"server", "send", "reject", "fail", "timeout", "hedge", "close", "gossip"}

// String returns the key of the kind in log lines.
func (k DifferenceKind) String() string { return differenceNames[k] }

// Counts are the decisions compared and those that differed, by kind.
type Counts struct {
	Compared    int
	Differences [differenceKinds]int
}

// fields returns the counts as keys and values of a log line.
func (c Counts) fields() []any {
	fields := []any{"compared", c.Compared}
	for kind, n := range c.Differences {
		fields = append(fields, DifferenceKind(kind).String(), n)
	}
	return fields
}

// String returns the counts as in a log line.
func (c Counts) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "compared=%d", c.Compared)
	for kind, n := range c.Differences {
		fmt.Fprintf(&b, " %s=%d", DifferenceKind(kind), n)
	}
	return b.String()
}
