package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"damsonscale/internal/lab/standin"
)

func runClient(t *testing.T, c *Client) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
}

// onActor is a message that runs a function on the client's goroutine.
type onActor func()

func (f onActor) handle(*Client) { f() }

func nextNotification(t *testing.T, to notifications) string {
	t.Helper()
	select {
	case word := <-to:
		return word
	case <-time.After(standin.Patience):
		t.Fatal("told nothing")
		return ""
	}
}

const (
	update9Ready    = `{"seq":9,"whole":true,"hosts":[{"host":"a","dial":"1","health":"Ready"}]}` + "\n"
	update2Draining = `{"seq":2,"whole":true,"hosts":[{"host":"a","dial":"1","health":"Terminating"}]}` + "\n"
)

// With an agent a watch is opened at the start, and the agent's list takes precedence over the one known before: a server
// that drains there is never ready here.
func TestAPushedListIsWatched(t *testing.T) {
	addr := standin.NewDiscovery(t, func(w *standin.Watch) {
		w.Begin()
		w.Tell(update2Draining)
		w.Left()
	})
	to := make(notifications, 16)
	c := New(addr, &Update{Seq: 9, Endpoints: []Endpoint{endpoint("a", "1", Ready)}}, Source{FromAgent: true}, to)
	if _, ready := c.Endpoints.Address("a"); ready {
		t.Fatal("what was known goes before the agent")
	}
	runClient(t, c)
	if word := nextNotification(t, to); word != "listed" {
		t.Fatal(word)
	}
	if _, ready := c.Endpoints.Address("a"); ready || !c.Endpoints.HasEndpoints() {
		t.Fatal("not what the agent has")
	}
}

// While the agent is down the list known before is used, and the agent is polled until it is back: its list counts from
// then on.
func TestAnAgentThatIsAway(t *testing.T) {
	for _, how := range []string{"hangs up", "hangs"} {
		t.Run(how, func(t *testing.T) {
			back := make(chan bool)
			addr := standin.NewDiscovery(t, func(w *standin.Watch) {
				select {
				case <-back:
				default:
					if how == "hangs" {
						w.Left()
					}
					return
				}
				w.Begin()
				w.Tell(update2Draining)
				w.Left()
			})
			to := make(notifications, 16)
			c := New(addr, &Update{Seq: 9, Endpoints: []Endpoint{endpoint("a", "1", Ready)}}, Source{FromAgent: true}, to)
			runClient(t, c)
			nextNotification(t, to)
			if _, ready := c.Endpoints.Address("a"); !ready {
				t.Fatal("what was known does not serve")
			}
			close(back)
			if word := nextNotification(t, to); word != "listed" {
				t.Fatal(word)
			}
			if _, ready := c.Endpoints.Address("a"); ready {
				t.Fatal("not what the agent has")
			}
		})
	}
}

// A reload that changes whether lists come from an agent keeps the watch; one that ends is opened again either way.
func TestPushedByAReload(t *testing.T) {
	end := make(chan bool)
	addr := standin.NewDiscovery(t, func(w *standin.Watch) {
		w.Begin()
		w.Tell(update9Ready)
		<-end
	})
	to := make(notifications, 16)
	c := New(addr, nil, Source{BalancerCount: 1}, to)
	runClient(t, c)
	for _, pushed := range []bool{true, false, true} {
		if word := nextNotification(t, to); word != "listed" {
			t.Fatal(word)
		}
		held := make(chan *subscription, 2)
		look := onActor(func() { held <- c.activeWatch })
		c.mailbox <- look
		c.SetSource(Source{FromAgent: pushed, BalancerCount: 1})
		c.mailbox <- look
		if before, after := <-held, <-held; before != after {
			t.Fatal("the watch was left")
		}
		end <- true
	}
	if word := nextNotification(t, to); word != "listed" {
		t.Fatal(word)
	}
	close(end)
}

// An update that stops in its middle is broken, whether nothing follows, empty lines, or single bytes.
func TestAListThatStops(t *testing.T) {
	for _, after := range []string{"", "\n", "\n \n", "x"} {
		client, server := net.Pipe()
		go func() {
			io.WriteString(server, update9Ready[:30])
			for after != "" {
				if _, err := io.WriteString(server, after); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
		ended := make(chan error, 1)
		go func() { ended <- readUpdates(&heartbeatReader{conn: fastDeadlines{client}, body: client}, nil) }()
		select {
		case err := <-ended:
			if err == nil {
				t.Errorf("after %q: no error", after)
			}
		case <-time.After(standin.Patience):
			t.Errorf("after %q: it is waited for", after)
		}
		client.Close()
		server.Close()
	}
}

// A service that never completes the head of its response costs no more than the time limit for it.
func TestNoHeadEverComes(t *testing.T) {
	for _, text := range []string{"", "HTTP/1.1 200 OK\r\nX: "} {
		addr := standin.NewDiscovery(t, func(w *standin.Watch) {
			io.WriteString(w, text)
			w.Left()
		})
		call := newWatchCall(addr, -1, nil)
		call.headTimeout = 20 * time.Millisecond
		err := call.run(context.Background())
		if err == nil || !strings.Contains(err.Error(), "timeout") {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Changes of the address that cross: there, back, and a third before the second has answered. The last one counts, the others
// are ignored once it has sent a message, and sequence numbers of one are not sent to another.
func TestMovesThatCross(t *testing.T) {
	speak := make(chan bool)
	var addr [3]string
	asked := make(chan string, 16)
	for i := range addr {
		addr[i] = standin.NewDiscovery(t, func(w *standin.Watch) {
			asked <- w.Query
			w.Begin()
			if i == 0 {
				w.Tell(update9Ready)
			} else {
				<-speak
				w.Tell(update2Draining)
			}
			w.Left()
		})
	}
	to := make(notifications, 16)
	c := New(addr[0], nil, Source{BalancerCount: 1}, to)
	runClient(t, c)
	query := func() {
		t.Helper()
		if q := <-asked; strings.Contains(q, "from") {
			t.Fatalf("asked %q", q)
		}
	}
	query()
	nextNotification(t, to)
	c.SetAddress(addr[1])
	query()
	c.SetAddress(addr[0])
	query()
	nextNotification(t, to) // the first service, asked again, speaks
	c.SetAddress(addr[2])
	query()
	close(speak)
	standin.Eventually(t, "the last service's list", func() bool {
		_, ready := c.Endpoints.Address("a")
		return !ready
	})
}

// However a watch ends, it is opened again and resumes from the last sequence number; after malformed data the full list is
// requested.
func TestAWatchThatEndsIsOpenedAnew(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want string
	}{
		{"silent", fmt.Errorf("%w: late", errSilent), "watch=1&from=3"},
		{"ended", io.EOF, "watch=1&from=3"},
		{"noise", errMalformed, "watch=1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			to := make(notifications, 16)
			addr := standin.NewDiscovery(t, func(w *standin.Watch) {
				to <- w.Query
				w.Left()
			})
			d := New(addr, nil, Source{BalancerCount: 1}, to)
			d.resumeSeq = 3
			s := withActiveWatch(d)
			runClient(t, d)
			d.mailbox <- watchEnded{s, c.err}
			if word := nextNotification(t, to); word != c.want {
				t.Fatal(word)
			}
		})
	}
}

// errSilent is returned for silence only.
func TestSilenceIsCalledSo(t *testing.T) {
	for _, c := range []struct {
		hangUp, silent bool
	}{{true, false}, {false, true}} {
		client, server := net.Pipe()
		go func() {
			io.WriteString(server, update9Ready)
			if c.hangUp {
				server.Close()
			}
		}()
		err := readUpdates(&heartbeatReader{conn: fastDeadlines{client}, body: client}, func(*Update) {})
		if errors.Is(err, errSilent) != c.silent {
			t.Errorf("hung up %v: %v", c.hangUp, err)
		}
		server.Close()
	}
}

// Two failures that cross: the poll that replaces a silent watch fails too, and so does the first one after a change of the
// address. The next goes to the address in force; messages of the old watch still count.
func TestAFailureAfterSilenceOrAMove(t *testing.T) {
	for _, move := range []bool{false, true} {
		to := make(notifications, 16)
		hangsUp := standin.NewDiscovery(t, func(*standin.Watch) { to <- "asked" })
		d := New(hangsUp, nil, Source{BalancerCount: 1}, to)
		if move {
			d.addr = "127.0.0.1:1"
		}
		old := withActiveWatch(d)
		runClient(t, d)
		if move {
			d.SetAddress(hangsUp)
		} else {
			d.mailbox <- watchEnded{old, errSilent}
		}
		for range 2 {
			if word := nextNotification(t, to); word != "asked" {
				t.Fatalf("after a move %v: %s", move, word)
			}
		}
		if move {
			d.mailbox <- updateReceived{old, &Update{Endpoints: []Endpoint{endpoint("a", "1", Ready)}}}
			for word := nextNotification(t, to); word != "listed"; word = nextNotification(t, to) {
				if word != "asked" {
					t.Fatalf("the old watch: %s", word)
				}
			}
		}
	}
}

// queueingService is a discovery service whose polls wait until respondTo.
type queueingService struct {
	addr          string
	polled, ended chan int
	respond       [maxPendingPolls + 1]chan bool
}

func newQueueingService(t *testing.T) *queueingService {
	q := &queueingService{polled: make(chan int, maxPendingPolls+1), ended: make(chan int, maxPendingPolls+1)}
	for i := range q.respond {
		q.respond[i] = make(chan bool)
	}
	q.addr = standin.NewDiscovery(t, func(w *standin.Watch) {
		left := make(chan bool)
		go func() {
			w.Left()
			close(left)
		}()
		q.polled <- w.N
		select {
		case <-q.respond[w.N]:
			w.Begin()
			w.Tell(update2Draining)
			<-left
		case <-left:
		}
		q.ended <- w.N
	})
	return q
}

// nextNumber waits for a poll to arrive or to end, and returns its number.
func nextNumber(t *testing.T, calls chan int) int {
	t.Helper()
	select {
	case n := <-calls:
		return n
	case <-time.After(standin.Patience):
		t.Fatal("no call")
		return -1
	}
}

// poll has the next poll begin.
func (q *queueingService) poll(t *testing.T, c *Client, n int) {
	t.Helper()
	c.mailbox <- onActor(func() { c.startPoll(time.Now()) })
	if nextNumber(t, q.polled) != n {
		t.Fatal("asked out of order")
	}
}

// respondTo answers a pending poll.
func (q *queueingService) respondTo(t *testing.T, n int) {
	t.Helper()
	select {
	case q.respond[n] <- true:
	case <-time.After(standin.Patience):
		t.Fatalf("call %d waits no more", n)
	}
}

// Pending polls stay open beside the next, and whichever is answered first becomes the watch and ends the others; at the limit
// the oldest is cancelled only after its time: it is the next to be answered by a service that works through them in turn.
func TestACallKeepsItsPlace(t *testing.T) {
	for answered := range 3 {
		q, to := newQueueingService(t), make(notifications, 16)
		c := New(q.addr, nil, Source{BalancerCount: 1}, to)
		go serveMailbox(t, c)
		for n := range 3 {
			q.poll(t, c, n)
		}
		q.respondTo(t, answered)
		if word := nextNotification(t, to); word != "listed" {
			t.Fatal(word)
		}
		for range 2 {
			if n := nextNumber(t, q.ended); n == answered {
				t.Errorf("call %d was answered, and ended", n)
			}
		}
		done := make(chan bool)
		c.mailbox <- onActor(func() {
			c.startPoll(time.Now()) // one is held
			close(done)
		})
		<-done
		if len(q.polled) > 0 {
			t.Error("asked again")
		}
	}
	q, to := newQueueingService(t), make(notifications, 16)
	c := New(q.addr, nil, Source{BalancerCount: 1}, to)
	go serveMailbox(t, c)
	for n := range maxPendingPolls {
		q.poll(t, c, n)
	}
	waiting := make(chan int)
	another := func(now time.Time) int {
		c.mailbox <- onActor(func() {
			c.startPoll(now)
			waiting <- c.pollCount
		})
		return <-waiting
	}
	if n := another(time.Now()); n != maxPendingPolls {
		t.Errorf("call %d beside %d that wait", n, maxPendingPolls)
	}
	if n := another(time.Now().Add(maxHeadWait)); n != maxPendingPolls+1 || nextNumber(t, q.ended) != 0 {
		t.Errorf("%d calls, and the oldest is not given up in its time", n)
	}
}

// serveMailbox serves a client's mailbox only: no poll begins by itself.
func serveMailbox(t *testing.T, c *Client) {
	for {
		select {
		case <-t.Context().Done():
			return
		case m := <-c.mailbox:
			m.handle(c)
			c.pollTimer.Stop()
		}
	}
}

// Beside a watch that has missed a heartbeat a poll begins, and the watch counts until the poll is answered; one that has sent
// a message since is healthy again.
func TestASuspectWatchIsHeardOn(t *testing.T) {
	for _, speaks := range []bool{false, true} {
		q, to := newQueueingService(t), make(notifications, 16)
		c := New(q.addr, nil, Source{BalancerCount: 1}, to)
		go serveMailbox(t, c)
		var old *subscription
		c.mailbox <- onActor(func() {
			old = withActiveWatch(c)
			c.onQuiet(old)
			if speaks {
				c.onMessage(old)
			}
			c.startPoll(time.Now())
			if speaks {
				to <- fmt.Sprint(c.activeWatch == old, len(c.pendingPolls))
			}
		})
		if speaks {
			if word := nextNotification(t, to); word != "true 0" {
				t.Errorf("opened anew although it spoke: %s", word)
			}
			continue
		}
		if n := nextNumber(t, q.polled); n != 0 {
			t.Fatal(n)
		}
		c.mailbox <- watchQuiet{old} // again: nothing more is planned for it
		q.respondTo(t, 0)
		if word := nextNotification(t, to); word != "listed" || old.ctx.Err() == nil {
			t.Fatalf("the new watch: %s; the old one ended: %v", word, old.ctx.Err())
		}
	}
}

// A message of a suspect watch counts, and cancels the poll beside it: the list is as discovery has it.
func TestASuspectWatchThatSpeaksIsInForce(t *testing.T) {
	q, to := newQueueingService(t), make(notifications, 16)
	c := New(q.addr, nil, Source{BalancerCount: 1}, to)
	go serveMailbox(t, c)
	var old *subscription
	c.mailbox <- onActor(func() {
		old = withActiveWatch(c)
		c.onQuiet(old)
		c.startPoll(time.Now())
	})
	if n := nextNumber(t, q.polled); n != 0 {
		t.Fatal(n)
	}
	c.mailbox <- updateReceived{old, &Update{Endpoints: []Endpoint{endpoint("a", "1", Ready)}}}
	if word := nextNotification(t, to); word != "listed" {
		t.Fatalf("the suspect watch: %s", word)
	}
	if n := nextNumber(t, q.ended); n != 0 || old.ctx.Err() != nil {
		t.Fatalf("call %d ended; the watch: %v", n, old.ctx.Err())
	}
}

// An older update of the same service is not applied, whichever watch it comes from, and the full list is requested. Where the
// next update is older too, and full, the service has restarted its sequence, and it is applied. Sequence numbers of another
// service are not compared.
func TestAnOlderListIsNotTaken(t *testing.T) {
	ready, gone := endpoint("a", "1", Ready), endpoint("a", "1", Terminating)
	for _, waits := range []bool{false, true} {
		c := New("here", nil, Source{BalancerCount: 1}, make(notifications, 16))
		s := withActiveWatch(c)
		c.onUpdate(s, &Update{Seq: 9, Full: true, Endpoints: []Endpoint{gone}})
		if waits {
			c.activeWatch, c.pendingPolls = nil, []*subscription{s}
		}
		c.onUpdate(s, &Update{Seq: 8, Full: true, Endpoints: []Endpoint{ready}})
		if _, is := c.Endpoints.Address("a"); is || s.ctx.Err() == nil || c.resumeSeq != -1 {
			t.Fatalf("waits %v: an older list was taken, or its call goes on, or its version is asked from: %d", waits, c.resumeSeq)
		}
		s = withActiveWatch(c)
		c.onUpdate(s, &Update{Seq: 7, Endpoints: []Endpoint{ready}})
		if _, is := c.Endpoints.Address("a"); is {
			t.Fatal("a part of an older list was taken")
		}
		s = withActiveWatch(c)
		c.onUpdate(s, &Update{Seq: 8, Full: true, Endpoints: []Endpoint{ready}})
		if _, is := c.Endpoints.Address("a"); !is || c.resumeSeq != 8 {
			t.Fatal("a service that counts anew is not believed")
		}
		c.activeWatch.addr = "before"
		c.onUpdate(c.activeWatch, &Update{Seq: 1, Endpoints: []Endpoint{gone}})
		if _, is := c.Endpoints.Address("a"); is {
			t.Fatal("another service's versions were compared")
		}
		c.activeWatch.cancel()
	}
}
