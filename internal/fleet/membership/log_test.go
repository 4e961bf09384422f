package membership

import (
	"fmt"
	"testing"
	"time"

	"damsonscale/internal/fleet/protocol"
)

// testConfig is that of the only voter of a fleet, whose messages go nowhere.
func testConfig(directory string) Config {
	return Config{
		Directory: directory, Name: "n00", Voters: []string{"n00"}, LeaseDuration: time.Second,
		Send: func(string, protocol.Kind, []byte) {}, OnChange: func(*Membership, map[string][]byte) {},
	}
}

// The lease requests of a tick share one confirmation of leadership, and all of them are granted by it.
func TestLeaseRequestsOfATickShareOneLeadershipConfirmation(t *testing.T) {
	l, err := OpenLog(testConfig(t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	defer l.store.close()
	granted := map[string]int{}
	l.config.Send = func(name string, kind protocol.Kind, _ []byte) {
		if kind == protocol.KindLeaseGrant {
			granted[name]++
		}
	}
	do := func(f func()) {
		t.Helper()
		f()
		if err := l.processReady(); err != nil {
			t.Fatal(err)
		}
	}
	do(func() { l.raftNode.Campaign() })
	const members = 30
	for i := range members {
		l.config.MemberNames = append(l.config.MemberNames, fmt.Sprintf("n%02d", i))
	}
	for range 3 {
		request := func() {
			for i, name := range l.config.MemberNames {
				do(func() { l.handleLeaseRequest(LeaseRequest{Member: member(name, uint64(i+1)), RequestedAt: 1}) })
			}
		}
		request()
		if len(l.membership.Names()) < members {
			request() // the first requests were to join
		}
		before := l.readID
		clear(granted)
		request()
		do(func() { l.tick(time.Now()) })
		if confirmations := l.readID - before; confirmations != 1 || len(granted) != members {
			t.Errorf("%d confirmations for the requests of %d members, of which %d have a grant", confirmations, members, len(granted))
		}
	}
}
