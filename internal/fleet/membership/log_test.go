package membership

import (
	"fmt"
	"testing"
	"time"

	"damsonscale/internal/fleet/protocol"
)

// testConfig returns the configuration of a fleet's only voter. Its messages are discarded.
func testConfig(directory string) Config {
	return Config{
		Directory: directory, Name: "n00", Voters: []string{"n00"}, LeaseDuration: time.Second,
		Send: func(string, protocol.Kind, []byte) {}, OnChange: func(*Membership, map[string][]byte) {},
	}
}

// All lease requests of a tick share one confirmation of leadership, and are granted once it succeeds.
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
	processAfter := func(f func()) {
		t.Helper()
		f()
		if err := l.processReady(); err != nil {
			t.Fatal(err)
		}
	}
	processAfter(func() { l.raftNode.Campaign() })
	const members = 30
	for i := range members {
		l.config.MemberNames = append(l.config.MemberNames, fmt.Sprintf("n%02d", i))
	}
	for range 3 {
		requestLeases := func() {
			for i, name := range l.config.MemberNames {
				processAfter(func() { l.handleLeaseRequest(LeaseRequest{Member: member(name, uint64(i+1)), RequestedAt: 1}) })
			}
		}
		requestLeases()
		if len(l.membership.Names()) < members {
			requestLeases() // the first requests make the members join
		}
		before := l.readID
		clear(granted)
		requestLeases()
		processAfter(func() { l.tick(time.Now()) })
		if confirmations := l.readID - before; confirmations != 1 || len(granted) != members {
			t.Errorf("got %d confirmations for the requests of %d members, of which %d got a grant; want 1 confirmation and a grant for each", confirmations, members, len(granted))
		}
	}
}
