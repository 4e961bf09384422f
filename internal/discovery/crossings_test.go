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

func running(t *testing.T, c *Client) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
}

// onActor is a message that runs a function on the client's goroutine.
type onActor func()

func (f onActor) handle(*Client) { f() }

func next(t *testing.T, to told) string {
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
	older = `{"seq":9,"whole":true,"hosts":[{"host":"a","dial":"1","health":"Ready"}]}` + "\n"
	newer = `{"seq":2,"whole":true,"hosts":[{"host":"a","dial":"1","health":"Terminating"}]}` + "\n"
)

// A list that is pushed is watched from the start on, though nobody asks, and what the agent has goes before what was known:
// a server that drains there is never ready here. The failure: no watch was ever opened, and servers long gone were sent to.
func TestAPushedListIsWatched(t *testing.T) {
	addr := standin.NewDiscovery(t, func(w *standin.Watch) {
		w.Begin()
		w.Tell(newer)
		w.Left()
	})
	to := make(told, 16)
	c := New(addr, &Update{Seq: 9, Endpoints: []Endpoint{entry("a", "1", Ready)}}, Source{Pushed: true}, to)
	if _, ready := c.Endpoints.Address("a"); ready {
		t.Fatal("what was known goes before the agent")
	}
	running(t, c)
	if word := next(t, to); word != "listed" {
		t.Fatal(word)
	}
	if _, ready := c.Endpoints.Address("a"); ready || !c.Endpoints.HasEndpoints() {
		t.Fatal("not what the agent has")
	}
}

// Where the agent is away, what was known serves, and the agent is asked again until it is back: its list counts from then on.
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
				w.Tell(newer)
				w.Left()
			})
			to := make(told, 16)
			c := New(addr, &Update{Seq: 9, Endpoints: []Endpoint{entry("a", "1", Ready)}}, Source{Pushed: true}, to)
			running(t, c)
			next(t, to)
			if _, ready := c.Endpoints.Address("a"); !ready {
				t.Fatal("what was known does not serve")
			}
			close(back)
			if word := next(t, to); word != "listed" {
				t.Fatal(word)
			}
			if _, ready := c.Endpoints.Address("a"); ready {
				t.Fatal("not what the agent has")
			}
		})
	}
}

// A reload that makes lists pushed, or asked for, leaves the watch; one that ends is opened anew either way.
func TestPushedByAReload(t *testing.T) {
	end := make(chan bool)
	addr := standin.NewDiscovery(t, func(w *standin.Watch) {
		w.Begin()
		w.Tell(older)
		<-end
	})
	to := make(told, 16)
	c := New(addr, nil, Source{BalancerCount: 1}, to)
	running(t, c)
	for _, pushed := range []bool{true, false, true} {
		if word := next(t, to); word != "listed" {
			t.Fatal(word)
		}
		held := make(chan *subscription, 2)
		look := onActor(func() { held <- c.active })
		c.mailbox <- look
		c.SetSource(Source{Pushed: pushed, BalancerCount: 1})
		c.mailbox <- look
		if before, after := <-held, <-held; before != after {
			t.Fatal("the watch was left")
		}
		end <- true
	}
	if word := next(t, to); word != "listed" {
		t.Fatal(word)
	}
	close(end)
}

// A list that stops in its middle is broken, whether nothing comes any more, empty lines, or bytes one by one.
func TestAListThatStops(t *testing.T) {
	for _, after := range []string{"", "\n", "\n \n", "x"} {
		client, server := net.Pipe()
		go func() {
			io.WriteString(server, older[:30])
			for after != "" {
				if _, err := io.WriteString(server, after); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
		ended := make(chan error, 1)
		go func() { ended <- readUpdates(&heartbeatReader{conn: hurried{client}, body: client}, nil) }()
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

// A service that answers calls without ever a head, or with one that trickles, costs no more than a call's time.
func TestNoHeadEverComes(t *testing.T) {
	for _, text := range []string{"", "HTTP/1.1 200 OK\r\nX: "} {
		addr := standin.NewDiscovery(t, func(w *standin.Watch) {
			io.WriteString(w, text)
			w.Left()
		})
		call := calling(addr, -1, nil)
		call.headTimeout = 20 * time.Millisecond
		err := call.run(context.Background())
		if err == nil || !strings.Contains(err.Error(), "timeout") {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Moves that cross: there, back, and a third while the second has not spoken. The last asked for counts, nothing is heard of
// those left once it speaks, and versions of the one are not asked of another.
func TestMovesThatCross(t *testing.T) {
	speak := make(chan bool)
	var addr [3]string
	asked := make(chan string, 16)
	for i := range addr {
		addr[i] = standin.NewDiscovery(t, func(w *standin.Watch) {
			asked <- w.Query
			w.Begin()
			if i == 0 {
				w.Tell(older)
			} else {
				<-speak
				w.Tell(newer)
			}
			w.Left()
		})
	}
	to := make(told, 16)
	c := New(addr[0], nil, Source{BalancerCount: 1}, to)
	running(t, c)
	query := func() {
		t.Helper()
		if q := <-asked; strings.Contains(q, "from") {
			t.Fatalf("asked %q", q)
		}
	}
	query()
	next(t, to)
	c.SetAddress(addr[1])
	query()
	c.SetAddress(addr[0])
	query()
	next(t, to) // the first service, asked again, speaks
	c.SetAddress(addr[2])
	query()
	close(speak)
	standin.Eventually(t, "the last service's list", func() bool {
		_, ready := c.Endpoints.Address("a")
		return !ready
	})
}

// However a watch ends, it is opened anew, and its versions are asked from where they were; what ended in noise is asked for whole.
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
			to := make(told, 16)
			addr := standin.NewDiscovery(t, func(w *standin.Watch) {
				to <- w.Query
				w.Left()
			})
			d := New(addr, nil, Source{BalancerCount: 1}, to)
			d.resumeSeq = 3
			s := watching(d)
			running(t, d)
			d.mailbox <- watchEnded{s, c.err}
			if word := next(t, to); word != c.want {
				t.Fatal(word)
			}
		})
	}
}

// What ends a watch for silence is called so; what ends it for another reason is not.
func TestSilenceIsCalledSo(t *testing.T) {
	for _, c := range []struct {
		hangUp, silent bool
	}{{true, false}, {false, true}} {
		client, server := net.Pipe()
		go func() {
			io.WriteString(server, older)
			if c.hangUp {
				server.Close()
			}
		}()
		err := readUpdates(&heartbeatReader{conn: hurried{client}, body: client}, func(*Update) {})
		if errors.Is(err, errSilent) != c.silent {
			t.Errorf("hung up %v: %v", c.hangUp, err)
		}
		server.Close()
	}
}

// Two failures that cross: the call that opens a silent watch anew fails too, and so does the first one after a move. The next is
// made at the address that counts; what the old watch still says is heard.
func TestAFailureAfterSilenceOrAMove(t *testing.T) {
	for _, move := range []bool{false, true} {
		to := make(told, 16)
		hangsUp := standin.NewDiscovery(t, func(*standin.Watch) { to <- "asked" })
		d := New(hangsUp, nil, Source{BalancerCount: 1}, to)
		if move {
			d.addr = "127.0.0.1:1"
		}
		old := watching(d)
		running(t, d)
		if move {
			d.SetAddress(hangsUp)
		} else {
			d.mailbox <- watchEnded{old, errSilent}
		}
		for range 2 {
			if word := next(t, to); word != "asked" {
				t.Fatalf("after a move %v: %s", move, word)
			}
		}
		if move {
			d.mailbox <- updateReceived{old, &Update{Endpoints: []Endpoint{entry("a", "1", Ready)}}}
			for word := next(t, to); word != "listed"; word = next(t, to) {
				if word != "asked" {
					t.Fatalf("the old watch: %s", word)
				}
			}
		}
	}
}

// queue is a list service whose calls wait until they are answered.
type queue struct {
	addr         string
	asked, ended chan int
	answer       [maxPendingPolls + 1]chan bool
}

func newQueue(t *testing.T) *queue {
	q := &queue{asked: make(chan int, maxPendingPolls+1), ended: make(chan int, maxPendingPolls+1)}
	for i := range q.answer {
		q.answer[i] = make(chan bool)
	}
	q.addr = standin.NewDiscovery(t, func(w *standin.Watch) {
		left := make(chan bool)
		go func() {
			w.Left()
			close(left)
		}()
		q.asked <- w.N
		select {
		case <-q.answer[w.N]:
			w.Begin()
			w.Tell(newer)
			<-left
		case <-left:
		}
		q.ended <- w.N
	})
	return q
}

// number waits for a call to be asked or ended.
func number(t *testing.T, calls chan int) int {
	t.Helper()
	select {
	case n := <-calls:
		return n
	case <-time.After(standin.Patience):
		t.Fatal("no call")
		return -1
	}
}

// ask has the next call made.
func (q *queue) ask(t *testing.T, c *Client, n int) {
	t.Helper()
	c.mailbox <- onActor(func() { c.startPoll(time.Now()) })
	if number(t, q.asked) != n {
		t.Fatal("asked out of order")
	}
}

// reply answers a call that waits.
func (q *queue) reply(t *testing.T, n int) {
	t.Helper()
	select {
	case q.answer[n] <- true:
	case <-time.After(standin.Patience):
		t.Fatalf("call %d waits no more", n)
	}
}

// Calls that have no answer go on waiting beside the next, and whichever is answered first counts and ends the others; of five
// the oldest is given up for another only after its time. Guards against calls that give their places away, in a service that works through them in turn.
func TestACallKeepsItsPlace(t *testing.T) {
	for answered := range 3 {
		q, to := newQueue(t), make(told, 16)
		c := New(q.addr, nil, Source{BalancerCount: 1}, to)
		go quietly(t, c)
		for n := range 3 {
			q.ask(t, c, n)
		}
		q.reply(t, answered)
		if word := next(t, to); word != "listed" {
			t.Fatal(word)
		}
		for range 2 {
			if n := number(t, q.ended); n == answered {
				t.Errorf("call %d was answered, and ended", n)
			}
		}
		done := make(chan bool)
		c.mailbox <- onActor(func() {
			c.startPoll(time.Now()) // one is held
			close(done)
		})
		<-done
		if len(q.asked) > 0 {
			t.Error("asked again")
		}
	}
	q, to := newQueue(t), make(told, 16)
	c := New(q.addr, nil, Source{BalancerCount: 1}, to)
	go quietly(t, c)
	for n := range maxPendingPolls {
		q.ask(t, c, n)
	}
	waiting := make(chan int)
	another := func(now time.Time) int {
		c.mailbox <- onActor(func() {
			c.startPoll(now)
			waiting <- c.polls
		})
		return <-waiting
	}
	if n := another(time.Now()); n != maxPendingPolls {
		t.Errorf("call %d beside %d that wait", n, maxPendingPolls)
	}
	if n := another(time.Now().Add(maxHeadWait)); n != maxPendingPolls+1 || number(t, q.ended) != 0 {
		t.Errorf("%d calls, and the oldest is not given up in its time", n)
	}
}

// quietly serves a client's mailbox alone: no call begins by itself.
func quietly(t *testing.T, c *Client) {
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

// A watch that has missed a line is opened anew beside the old one, which is heard until the new one is answered; one that has
// said something since is let be.
func TestASuspectWatchIsHeardOn(t *testing.T) {
	for _, speaks := range []bool{false, true} {
		q, to := newQueue(t), make(told, 16)
		c := New(q.addr, nil, Source{BalancerCount: 1}, to)
		go quietly(t, c)
		var old *subscription
		c.mailbox <- onActor(func() {
			old = watching(c)
			c.onQuiet(old)
			if speaks {
				c.onMessage(old)
			}
			c.startPoll(time.Now())
			if speaks {
				to <- fmt.Sprint(c.active == old, len(c.pending))
			}
		})
		if speaks {
			if word := next(t, to); word != "true 0" {
				t.Errorf("opened anew although it spoke: %s", word)
			}
			continue
		}
		if n := number(t, q.asked); n != 0 {
			t.Fatal(n)
		}
		c.mailbox <- watchQuiet{old} // again: nothing more is planned for it
		q.reply(t, 0)
		if word := next(t, to); word != "listed" || old.ctx.Err() == nil {
			t.Fatalf("the new watch: %s; the old one ended: %v", word, old.ctx.Err())
		}
	}
}

// What a suspect watch still says is taken, and ends the call beside it: the list is as discovery has it.
func TestASuspectWatchThatSpeaksIsInForce(t *testing.T) {
	q, to := newQueue(t), make(told, 16)
	c := New(q.addr, nil, Source{BalancerCount: 1}, to)
	go quietly(t, c)
	var old *subscription
	c.mailbox <- onActor(func() {
		old = watching(c)
		c.onQuiet(old)
		c.startPoll(time.Now())
	})
	if n := number(t, q.asked); n != 0 {
		t.Fatal(n)
	}
	c.mailbox <- updateReceived{old, &Update{Endpoints: []Endpoint{entry("a", "1", Ready)}}}
	if word := next(t, to); word != "listed" {
		t.Fatalf("the suspect watch: %s", word)
	}
	if n := number(t, q.ended); n != 0 || old.ctx.Err() != nil {
		t.Fatalf("call %d ended; the watch: %v", n, old.ctx.Err())
	}
}

// An older list of the same service is not taken, wherever it comes from: the whole list is asked for. Where the next answer, a whole
// list, says the same, the service counts anew, and it is. Another service's versions are not compared.
func TestAnOlderListIsNotTaken(t *testing.T) {
	ready, gone := entry("a", "1", Ready), entry("a", "1", Terminating)
	for _, waits := range []bool{false, true} {
		c := New("here", nil, Source{BalancerCount: 1}, make(told, 16))
		s := watching(c)
		c.onUpdate(s, &Update{Seq: 9, Full: true, Endpoints: []Endpoint{gone}})
		if waits {
			c.active, c.pending = nil, []*subscription{s}
		}
		c.onUpdate(s, &Update{Seq: 8, Full: true, Endpoints: []Endpoint{ready}})
		if _, is := c.Endpoints.Address("a"); is || s.ctx.Err() == nil || c.resumeSeq != -1 {
			t.Fatalf("waits %v: an older list was taken, or its call goes on, or its version is asked from: %d", waits, c.resumeSeq)
		}
		s = watching(c)
		c.onUpdate(s, &Update{Seq: 7, Endpoints: []Endpoint{ready}})
		if _, is := c.Endpoints.Address("a"); is {
			t.Fatal("a part of an older list was taken")
		}
		s = watching(c)
		c.onUpdate(s, &Update{Seq: 8, Full: true, Endpoints: []Endpoint{ready}})
		if _, is := c.Endpoints.Address("a"); !is || c.resumeSeq != 8 {
			t.Fatal("a service that counts anew is not believed")
		}
		c.active.addr = "before"
		c.onUpdate(c.active, &Update{Seq: 1, Endpoints: []Endpoint{gone}})
		if _, is := c.Endpoints.Address("a"); is {
			t.Fatal("another service's versions were compared")
		}
		c.active.cancel()
	}
}
