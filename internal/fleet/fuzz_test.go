package fleet

import (
	"testing"

	"damsonscale/internal/takeover"
)

// Whatever a member says, custody stays bounded and panics at nothing.
func FuzzCustody(f *testing.F) {
	c, err := newCoder()
	if err != nil {
		f.Fatal(err)
	}
	a, b := member("a", 1), member("b", 1)
	rec := takeover.Record{ID: "x", Effect: takeover.Keyed, Owner: b, Epoch: 9, Life: 1 << 62, Age: -5, Request: []byte("r")}
	good, err := c.out.Marshal([]takeover.Message{
		{Kind: takeover.Write, ID: "x", Ballot: takeover.Ballot{By: b}, Epoch: 2, Record: &rec}, {Kind: takeover.Ask, ID: "x", Ballot: takeover.Ballot{Round: 2, By: b}},
		{Kind: takeover.Promised, To: takeover.Ask, ID: "mine", Known: true, Ballot: takeover.Ballot{Round: 1, By: a}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Fuzz(func(t *testing.T, in []byte) {
		var all []takeover.Message
		if c.in.Unmarshal(in, &all) != nil {
			return
		}
		n := takeover.New(takeover.Config{
			Me: a, Names: []string{"a", "b", "c"}, Holders: 3, Records: 8, Bytes: 4096, Keep: 1000, Longest: 1000, Wait: 100, Again: 10, Stagger: 10,
		})
		n.See(0, (&roster{}).apply(&entry{Member: a}, nil).apply(&entry{Member: b}, nil).view())
		n.Resume(0, takeover.Record{ID: "mine", Effect: takeover.Unsafe, Life: 1000})
		for i := range all {
			n.Handle(5, b, &all[i])
		}
		if records, bytes := n.Held(); records > 8 || bytes > 4096 {
			t.Fatalf("%d records of %d bytes", records, bytes)
		}
		for now := int64(10); now < 10_000; now += 100 {
			n.Tick(now)
			n.Sent()
			n.Events()
		}
		if records, bytes := n.Held(); records != 0 || bytes != 0 {
			t.Fatalf("%d records of %d bytes are held for good", records, bytes)
		}
	})
}
