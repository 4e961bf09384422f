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
	case <-time.After(standin.WaitTimeout):
		t.Fatalf("no notification within %v", standin.WaitTimeout)
		return ""
	}
}

const (
	update9Ready    = `{"seq":9,"whole":true,"hosts":[{"host":"a","dial":"1","health":"Ready"}]}` + "\n"
	update2Draining = `{"seq":2,"whole":true,"hosts":[{"host":"a","dial":"1","health":"Terminating"}]}` + "\n"
)

// With an agent the client opens a watch at its start, and the agent's list takes precedence over the initial list: a server
// that drains in the agent's list is never ready.
func TestAgentListTakesPrecedenceOverInitialList(t *testing.T) {
	addr := standin.ListenDiscovery(t, func(w *standin.Watch) {
		w.WriteHeaders()
		w.WriteChunk(update2Draining)
		w.WaitForClose()
	})
	to := make(notifications, 16)
	c := New(addr, &Update{Seq: 9, Endpoints: []Endpoint{endpoint("a", "1", Ready)}}, Source{FromAgent: true}, to)
	if _, ready := c.Endpoints.Address("a"); ready {
		t.Fatal("the initial list is in force before the agent responds")
	}
	runClient(t, c)
	if word := nextNotification(t, to); word != "listed" {
		t.Fatalf("got notification %q, want listed", word)
	}
	if _, ready := c.Endpoints.Address("a"); ready || !c.Endpoints.HasEndpoints() {
		t.Fatal("the agent's list is not in force")
	}
}

// While the agent does not respond, the initial list is in force and the agent is polled. Once the agent responds, its list
// replaces the initial list.
func TestInitialListIsUsedWhileAgentIsDown(t *testing.T) {
	for _, how := range []string{"hangs up", "hangs"} {
		t.Run(how, func(t *testing.T) {
			back := make(chan bool)
			addr := standin.ListenDiscovery(t, func(w *standin.Watch) {
				select {
				case <-back:
				default:
					if how == "hangs" {
						w.WaitForClose()
					}
					return
				}
				w.WriteHeaders()
				w.WriteChunk(update2Draining)
				w.WaitForClose()
			})
			to := make(notifications, 16)
			c := New(addr, &Update{Seq: 9, Endpoints: []Endpoint{endpoint("a", "1", Ready)}}, Source{FromAgent: true}, to)
			runClient(t, c)
			nextNotification(t, to)
			if _, ready := c.Endpoints.Address("a"); !ready {
				t.Fatal("the initial list is not in force while the agent is down")
			}
			close(back)
			if word := nextNotification(t, to); word != "listed" {
				t.Fatalf("got notification %q, want listed", word)
			}
			if _, ready := c.Endpoints.Address("a"); ready {
				t.Fatal("the agent's list is not in force")
			}
		})
	}
}

// A configuration change between an agent and a shared discovery service keeps the active watch. A watch that ends is opened
// again with either source.
func TestSourceChangeKeepsWatch(t *testing.T) {
	end := make(chan bool)
	addr := standin.ListenDiscovery(t, func(w *standin.Watch) {
		w.WriteHeaders()
		w.WriteChunk(update9Ready)
		<-end
	})
	to := make(notifications, 16)
	c := New(addr, nil, Source{BalancerCount: 1}, to)
	runClient(t, c)
	for _, pushed := range []bool{true, false, true} {
		if word := nextNotification(t, to); word != "listed" {
			t.Fatalf("got notification %q, want listed", word)
		}
		watches := make(chan *subscription, 2)
		sendWatch := onActor(func() { watches <- c.activeWatch })
		c.mailbox <- sendWatch
		c.SetSource(Source{FromAgent: pushed, BalancerCount: 1})
		c.mailbox <- sendWatch
		if before, after := <-watches, <-watches; before != after {
			t.Fatal("the change of the source replaced the active watch")
		}
		end <- true
	}
	if word := nextNotification(t, to); word != "listed" {
		t.Fatalf("got notification %q, want listed", word)
	}
	close(end)
}

// An incomplete update times out, whether nothing, empty lines or single bytes follow it.
func TestIncompleteUpdateTimesOut(t *testing.T) {
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
				t.Errorf("incomplete update followed by %q: no error", after)
			}
		case <-time.After(standin.WaitTimeout):
			t.Errorf("incomplete update followed by %q: no timeout within %v", after, standin.WaitTimeout)
		}
		client.Close()
		server.Close()
	}
}

// A poll times out if the service never completes the header of its response.
func TestIncompleteResponseHeaderTimesOut(t *testing.T) {
	for _, text := range []string{"", "HTTP/1.1 200 OK\r\nX: "} {
		addr := standin.ListenDiscovery(t, func(w *standin.Watch) {
			io.WriteString(w, text)
			w.WaitForClose()
		})
		call := newWatchCall(addr, -1, nil)
		call.headTimeout = 20 * time.Millisecond
		err := call.run(context.Background())
		if err == nil || !strings.Contains(err.Error(), "timeout") {
			t.Errorf("response %q: error %v, want a timeout", text, err)
		}
	}
}

// The address changes to a second service, back, and to a third service before the second has responded. The last service's
// list is in force once that service sends a message, and no sequence number of one service is sent to another.
func TestOverlappingAddressChanges(t *testing.T) {
	respond := make(chan bool)
	var addr [3]string
	queries := make(chan string, 16)
	for i := range addr {
		addr[i] = standin.ListenDiscovery(t, func(w *standin.Watch) {
			queries <- w.Query
			w.WriteHeaders()
			if i == 0 {
				w.WriteChunk(update9Ready)
			} else {
				<-respond
				w.WriteChunk(update2Draining)
			}
			w.WaitForClose()
		})
	}
	to := make(notifications, 16)
	c := New(addr[0], nil, Source{BalancerCount: 1}, to)
	runClient(t, c)
	query := func() {
		t.Helper()
		if q := <-queries; strings.Contains(q, "from") {
			t.Fatalf("query %q resumes from a sequence number of another service", q)
		}
	}
	query()
	nextNotification(t, to)
	c.SetAddress(addr[1])
	query()
	c.SetAddress(addr[0])
	query()
	nextNotification(t, to) // the update of the first service, which was polled again
	c.SetAddress(addr[2])
	query()
	close(respond)
	standin.Eventually(t, "the last service's list", func() bool {
		_, ready := c.Endpoints.Address("a")
		return !ready
	})
}

// A watch that ends is opened again and resumes from the last sequence number. After malformed data the full list is
// requested.
func TestEndedWatchIsReopened(t *testing.T) {
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
			addr := standin.ListenDiscovery(t, func(w *standin.Watch) {
				to <- w.Query
				w.WaitForClose()
			})
			d := New(addr, nil, Source{BalancerCount: 1}, to)
			d.resumeSeq = 3
			s := withActiveWatch(d)
			runClient(t, d)
			d.mailbox <- watchEnded{s, c.err}
			if word := nextNotification(t, to); word != c.want {
				t.Fatalf("poll after the end of the watch has query %q, want %q", word, c.want)
			}
		})
	}
}

// errSilent is returned only for a silent watch.
func TestErrSilentOnlyForSilence(t *testing.T) {
	for _, c := range []struct {
		close, silent bool
	}{{true, false}, {false, true}} {
		client, server := net.Pipe()
		go func() {
			io.WriteString(server, update9Ready)
			if c.close {
				server.Close()
			}
		}()
		err := readUpdates(&heartbeatReader{conn: fastDeadlines{client}, body: client}, func(*Update) {})
		if errors.Is(err, errSilent) != c.silent {
			t.Errorf("connection closed %v: error %v, want errSilent %v", c.close, err, c.silent)
		}
		server.Close()
	}
}

// If the poll after a silent watch or after a change of the address fails, the next poll goes to the current address. After a
// change of the address, messages of the old watch still count.
func TestPollFailureAfterSilenceOrAddressChange(t *testing.T) {
	for _, addressChanges := range []bool{false, true} {
		to := make(notifications, 16)
		closesAtOnce := standin.ListenDiscovery(t, func(*standin.Watch) { to <- "asked" })
		d := New(closesAtOnce, nil, Source{BalancerCount: 1}, to)
		if addressChanges {
			d.addr = "127.0.0.1:1"
		}
		old := withActiveWatch(d)
		runClient(t, d)
		if addressChanges {
			d.SetAddress(closesAtOnce)
		} else {
			d.mailbox <- watchEnded{old, errSilent}
		}
		for range 2 {
			if word := nextNotification(t, to); word != "asked" {
				t.Fatalf("address changed %v: got %q, want a poll", addressChanges, word)
			}
		}
		if addressChanges {
			d.mailbox <- updateReceived{old, &Update{Endpoints: []Endpoint{endpoint("a", "1", Ready)}}}
			for word := nextNotification(t, to); word != "listed"; word = nextNotification(t, to) {
				if word != "asked" {
					t.Fatalf("after an update of the old watch: got %q, want a poll or listed", word)
				}
			}
		}
	}
}

// queueingService is a discovery service that responds to a poll only after respondTo.
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
	q.addr = standin.ListenDiscovery(t, func(w *standin.Watch) {
		left := make(chan bool)
		go func() {
			w.WaitForClose()
			close(left)
		}()
		q.polled <- w.Index
		select {
		case <-q.respond[w.Index]:
			w.WriteHeaders()
			w.WriteChunk(update2Draining)
			<-left
		case <-left:
		}
		q.ended <- w.Index
	})
	return q
}

// nextNumber waits for the next poll on calls, and returns its number.
func nextNumber(t *testing.T, calls chan int) int {
	t.Helper()
	select {
	case n := <-calls:
		return n
	case <-time.After(standin.WaitTimeout):
		t.Fatalf("no poll arrived or ended within %v", standin.WaitTimeout)
		return -1
	}
}

// poll starts a poll and checks that it arrives with number n.
func (q *queueingService) poll(t *testing.T, c *Client, n int) {
	t.Helper()
	c.mailbox <- onActor(func() { c.startPoll(time.Now()) })
	if nextNumber(t, q.polled) != n {
		t.Fatalf("another poll than poll %d arrived", n)
	}
}

// respondTo responds to a pending poll with an update.
func (q *queueingService) respondTo(t *testing.T, n int) {
	t.Helper()
	select {
	case q.respond[n] <- true:
	case <-time.After(standin.WaitTimeout):
		t.Fatalf("poll %d is not pending", n)
	}
}

// Pending polls stay open while later polls begin. The first poll that gets a response becomes the watch, and the others are
// cancelled. At the limit the oldest poll is cancelled only after maxHeadWait: a service that handles requests in order
// responds to the oldest poll first.
func TestPendingPollsKeepTheirPlaceInQueue(t *testing.T) {
	for answered := range 3 {
		q, to := newQueueingService(t), make(notifications, 16)
		c := New(q.addr, nil, Source{BalancerCount: 1}, to)
		go serveMailbox(t, c)
		for n := range 3 {
			q.poll(t, c, n)
		}
		q.respondTo(t, answered)
		if word := nextNotification(t, to); word != "listed" {
			t.Fatalf("got notification %q, want listed", word)
		}
		for range 2 {
			if n := nextNumber(t, q.ended); n == answered {
				t.Errorf("poll %d got a response, but ended", n)
			}
		}
		done := make(chan bool)
		c.mailbox <- onActor(func() {
			c.startPoll(time.Now()) // must do nothing: a watch is active
			close(done)
		})
		<-done
		if len(q.polled) > 0 {
			t.Error("a poll began although a watch is active")
		}
	}
	q, to := newQueueingService(t), make(notifications, 16)
	c := New(q.addr, nil, Source{BalancerCount: 1}, to)
	go serveMailbox(t, c)
	for n := range maxPendingPolls {
		q.poll(t, c, n)
	}
	pollCounts := make(chan int)
	startPollAt := func(now time.Time) int {
		c.mailbox <- onActor(func() {
			c.startPoll(now)
			pollCounts <- c.pollCount
		})
		return <-pollCounts
	}
	if n := startPollAt(time.Now()); n != maxPendingPolls {
		t.Errorf("%d polls have begun, want %d: the limit of pending polls was exceeded", n, maxPendingPolls)
	}
	if n := startPollAt(time.Now().Add(maxHeadWait)); n != maxPendingPolls+1 || nextNumber(t, q.ended) != 0 {
		t.Errorf("%d polls have begun, want %d, with the oldest cancelled after %v", n, maxPendingPolls+1, maxHeadWait)
	}
}

// serveMailbox processes a client's mailbox without its poll timer, so that only the test starts polls.
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

// After a missed heartbeat a poll begins, and the suspect watch stays open until the poll gets a response. If the watch sends a
// message before, it is healthy again and no poll begins.
func TestSuspectWatchStaysOpenUntilPollResponse(t *testing.T) {
	for _, sendsMessage := range []bool{false, true} {
		q, to := newQueueingService(t), make(notifications, 16)
		c := New(q.addr, nil, Source{BalancerCount: 1}, to)
		go serveMailbox(t, c)
		var old *subscription
		c.mailbox <- onActor(func() {
			old = withActiveWatch(c)
			c.onQuiet(old)
			if sendsMessage {
				c.onMessage(old)
			}
			c.startPoll(time.Now())
			if sendsMessage {
				to <- fmt.Sprint(c.activeWatch == old, len(c.pendingPolls))
			}
		})
		if sendsMessage {
			if word := nextNotification(t, to); word != "true 0" {
				t.Errorf("after a message on the suspect watch: watch is active and number of pending polls: %s, want true 0", word)
			}
			continue
		}
		if n := nextNumber(t, q.polled); n != 0 {
			t.Fatalf("poll %d arrived, want poll 0", n)
		}
		c.mailbox <- watchQuiet{old} // a second report must not schedule another poll
		q.respondTo(t, 0)
		if word := nextNotification(t, to); word != "listed" || old.ctx.Err() == nil {
			t.Fatalf("got notification %q, want listed; old watch ended with %v, want cancelled", word, old.ctx.Err())
		}
	}
}

// A message on a suspect watch shows that the list is in sync, and cancels the pending poll.
func TestMessageOnSuspectWatchCancelsPoll(t *testing.T) {
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
		t.Fatalf("poll %d arrived, want poll 0", n)
	}
	c.mailbox <- updateReceived{old, &Update{Endpoints: []Endpoint{endpoint("a", "1", Ready)}}}
	if word := nextNotification(t, to); word != "listed" {
		t.Fatalf("after an update of the suspect watch: got notification %q, want listed", word)
	}
	if n := nextNumber(t, q.ended); n != 0 || old.ctx.Err() != nil {
		t.Fatalf("poll %d ended, want poll 0; watch ended with %v, want open", n, old.ctx.Err())
	}
}

// An update with a lower sequence number is not applied, neither on the active watch nor on a pending poll, and the full list is
// requested. If the next update is also lower, and full, the service has restarted its numbering, and the update is applied.
// Sequence numbers of two services are not compared.
func TestStaleUpdateIsNotApplied(t *testing.T) {
	ready, draining := endpoint("a", "1", Ready), endpoint("a", "1", Terminating)
	for _, isPending := range []bool{false, true} {
		c := New("here", nil, Source{BalancerCount: 1}, make(notifications, 16))
		s := withActiveWatch(c)
		c.onUpdate(s, &Update{Seq: 9, Full: true, Endpoints: []Endpoint{draining}})
		if isPending {
			c.activeWatch, c.pendingPolls = nil, []*subscription{s}
		}
		c.onUpdate(s, &Update{Seq: 8, Full: true, Endpoints: []Endpoint{ready}})
		if _, isReady := c.Endpoints.Address("a"); isReady || s.ctx.Err() == nil || c.resumeSeq != -1 {
			t.Fatalf("pending %v: a stale update was applied, or its poll was not cancelled, or resumeSeq is %d, want -1", isPending, c.resumeSeq)
		}
		s = withActiveWatch(c)
		c.onUpdate(s, &Update{Seq: 7, Endpoints: []Endpoint{ready}})
		if _, isReady := c.Endpoints.Address("a"); isReady {
			t.Fatal("a second stale update that is incremental was applied")
		}
		s = withActiveWatch(c)
		c.onUpdate(s, &Update{Seq: 8, Full: true, Endpoints: []Endpoint{ready}})
		if _, isReady := c.Endpoints.Address("a"); !isReady || c.resumeSeq != 8 {
			t.Fatal("the full update of a service that has restarted its numbering was not applied")
		}
		c.activeWatch.addr = "before"
		c.onUpdate(c.activeWatch, &Update{Seq: 1, Endpoints: []Endpoint{draining}})
		if _, isReady := c.Endpoints.Address("a"); isReady {
			t.Fatal("the update of another service was not applied: its sequence number was compared")
		}
		c.activeWatch.cancel()
	}
}
