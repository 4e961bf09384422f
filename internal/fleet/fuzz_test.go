package fleet

import (
	"testing"

	"damsonscale/internal/fleet/membership"
	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/takeover"
)

// Arbitrary messages from a member neither make a replica panic nor exceed its memory bounds, and all records expire.
func FuzzTakeoverMessages(f *testing.F) {
	c, err := protocol.NewCodec()
	if err != nil {
		f.Fatal(err)
	}
	a, b := member("a", 1), member("b", 1)
	rec := takeover.Record{ID: "x", Idempotency: takeover.IdempotentByKey, Owner: b, Epoch: 9, DeadlineAge: 1 << 62, Age: -5, Request: []byte("r")}
	seed, err := c.Marshal([]takeover.Message{
		{Kind: takeover.Write, ID: "x", Ballot: takeover.Ballot{Proposer: b}, Epoch: 2, Record: &rec},
		{Kind: takeover.Prepare, ID: "x", Ballot: takeover.Ballot{Round: 2, Proposer: b}},
		{Kind: takeover.Promised, ReplyTo: takeover.Prepare, ID: "mine", HasRecord: true, Ballot: takeover.Ballot{Round: 1, Proposer: a}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, in []byte) {
		var all []takeover.Message
		if c.Unmarshal(in, &all) != nil {
			return
		}
		n := takeover.New(takeover.Config{
			Self: a, MemberNames: []string{"a", "b", "c"}, ReplicationFactor: 3, MaxRecords: 8, MaxBytes: 4096, Retention: 1000,
			MaxRequestAge: 1000, QuorumTimeout: 100, ResendInterval: 10, TakeoverStagger: 10,
		})
		n.ApplyView(0, (&membership.Membership{}).Apply(&membership.Change{Member: a}, nil).Apply(&membership.Change{Member: b}, nil).View())
		n.Resume(0, takeover.Record{ID: "mine", Idempotency: takeover.NotIdempotent, DeadlineAge: 1000})
		for i := range all {
			n.Handle(5, b, &all[i])
		}
		if records, bytes := n.Usage(); records > 8 || bytes > 4096 {
			t.Fatalf("%d records with %d bytes, want at most 8 records with 4096 bytes", records, bytes)
		}
		for now := int64(10); now < 10_000; now += 100 {
			n.Tick(now)
			n.TakeMessages()
			n.TakeEvents()
		}
		if records, bytes := n.Usage(); records != 0 || bytes != 0 {
			t.Fatalf("%d records with %d bytes have not expired, want none", records, bytes)
		}
	})
}
