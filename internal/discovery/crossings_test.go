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

	"damsonscale/internal/standin"
)

func running(t *testing.T, c *Client) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
}

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
	c := New(addr, &List{Seq: 9, Hosts: []Entry{entry("a", "1", Ready)}}, true, to)
	if _, ready := c.Roster.Address("a"); ready {
		t.Fatal("what was known goes before the agent")
	}
	running(t, c)
	if word := next(t, to); word != "listed" {
		t.Fatal(word)
	}
	if _, ready := c.Roster.Address("a"); ready || !c.Roster.Known() {
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
			c := New(addr, &List{Seq: 9, Hosts: []Entry{entry("a", "1", Ready)}}, true, to)
			running(t, c)
			next(t, to)
			if _, ready := c.Roster.Address("a"); !ready {
				t.Fatal("what was known does not serve")
			}
			close(back)
			if word := next(t, to); word != "listed" {
				t.Fatal(word)
			}
			if _, ready := c.Roster.Address("a"); ready {
				t.Fatal("not what the agent has")
			}
		})
	}
}

// A reload that makes lists pushed opens the watch; one that has them asked for leaves it, and tells of its end.
func TestPushedByAReload(t *testing.T) {
	end := make(chan bool)
	addr := standin.NewDiscovery(t, func(w *standin.Watch) {
		w.Begin()
		w.Tell(older)
		<-end
	})
	to := make(told, 16)
	c := New(addr, nil, false, to)
	running(t, c)
	c.Push(true)
	if word := next(t, to); word != "listed" {
		t.Fatal(word)
	}
	c.Push(false)
	close(end)
	if word := next(t, to); word != "failed" {
		t.Fatal(word)
	}
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
		go func() { ended <- lists(&beats{conn: hurried{client}, from: client}, nil) }()
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
		to := make(told, 16)
		c := New(addr, nil, true, to)
		c.Push(true)
		call := calling(addr, -1, nil)
		call.head = 20 * time.Millisecond
		err := call.watch(context.Background())
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
	c := New(addr[0], nil, false, to)
	running(t, c)
	query := func() {
		t.Helper()
		if q := <-asked; strings.Contains(q, "from") {
			t.Fatalf("asked %q", q)
		}
	}
	c.Watch(true)
	query()
	next(t, to)
	c.Move(addr[1])
	query()
	c.Move(addr[0])
	query()
	next(t, to) // the first service, asked again, speaks
	c.Move(addr[2])
	query()
	close(speak)
	standin.Eventually(t, "the last service's list", func() bool {
		_, ready := c.Roster.Address("a")
		return !ready
	})
}

// A watch that fell silent is opened anew by this actor, soon; the module, whose slots are for a service in trouble, is not
// asked. One that failed otherwise is the module's, and so is one that was given up meanwhile.
func TestASilentWatchIsOpenedAnew(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		then func(c *Client)
		want string
	}{
		{"silent", fmt.Errorf("%w: late", errSilent), nil, "asked"},
		{"ended", io.EOF, nil, "failed"},
		{"silent, then stopped", errSilent, func(c *Client) { c.stop(); c.to.ListFailed(0) }, "failed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			to := make(told, 16)
			addr := standin.NewDiscovery(t, func(w *standin.Watch) {
				to <- "asked"
				w.Left()
			})
			d := New(addr, nil, false, to)
			running(t, d)
			d.box <- func() {
				d.now = newSubscription()
				d.fail(d.now, c.err)
				if c.then != nil {
					c.then(d)
				}
			}
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
		err := lists(&beats{conn: hurried{client}, from: client}, func(*List) {})
		if errors.Is(err, errSilent) != c.silent {
			t.Errorf("hung up %v: %v", c.hangUp, err)
		}
		server.Close()
	}
}

// Two failures that cross: the call that opens a silent watch anew fails too, and so does the first one after a move. Either is the
// module's then, which asks at the address that counts; what the old watch still says is heard.
func TestAFailureAfterSilenceOrAMove(t *testing.T) {
	for _, move := range []bool{false, true} {
		to := make(told, 16)
		hangsUp := standin.NewDiscovery(t, func(*standin.Watch) { to <- "asked" })
		d := New(hangsUp, nil, false, to)
		if move {
			d.addr = "127.0.0.1:1"
		}
		running(t, d)
		old := newSubscription()
		d.box <- func() {
			d.now = old
			if !move {
				d.fail(old, errSilent)
			}
		}
		if move {
			d.Move(hangsUp)
		}
		for _, want := range []string{"asked", "failed"} {
			if word := next(t, to); word != want {
				t.Fatalf("after a move %v: %s, want %s", move, word, want)
			}
		}
		if move {
			d.box <- func() { d.take(old, &List{Hosts: []Entry{entry("a", "1", Ready)}}) }
			if word := next(t, to); word != "listed" {
				t.Fatalf("the old watch: %s", word)
			}
		}
		d.Watch(true)
		if word := next(t, to); word != "asked" {
			t.Fatal(word)
		}
	}
}

// queue is a list service whose calls wait until they are answered.
type queue struct {
	addr         string
	asked, ended chan int
	answer       [4]chan bool
}

func newQueue(t *testing.T) *queue {
	q := &queue{asked: make(chan int, 4), ended: make(chan int, 4)}
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

// ask makes the next call, and has it overdue.
func (q *queue) ask(t *testing.T, c *Client, to told, n int, overdue bool) {
	t.Helper()
	if c.Watch(true); number(t, q.asked) != n {
		t.Fatal("asked out of order")
	}
	if overdue {
		c.box <- func() { c.overdue(c.now) }
		if word := next(t, to); word != "failed" {
			t.Fatal(word)
		}
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

// Calls that are overdue go on waiting beside the next, and whichever is answered first counts and ends the others; of three the
// oldest is given up. Guards against calls that give their places away, in a service that works through them in turn.
func TestAnOverdueCallKeepsItsPlace(t *testing.T) {
	for answered := range 3 {
		q, to := newQueue(t), make(told, 16)
		c := New(q.addr, nil, false, to)
		running(t, c)
		for n := range 3 {
			q.ask(t, c, to, n, n < 2)
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
		c.Watch(true) // one is held
		if len(q.asked) > 0 {
			t.Error("asked again")
		}
	}
	q, to := newQueue(t), make(told, 16)
	c := New(q.addr, nil, false, to)
	running(t, c)
	for n := range 3 {
		q.ask(t, c, to, n, true)
	}
	if n := number(t, q.ended); n != 0 {
		t.Errorf("call %d is given up", n)
	}
}

// A watch that has missed a line is opened anew beside the old one, which is heard until the new one is answered; one that has
// said something since is let be.
func TestASuspectWatchIsHeardOn(t *testing.T) {
	for _, speaks := range []bool{false, true} {
		q, to := newQueue(t), make(told, 16)
		c := New(q.addr, nil, false, to)
		running(t, c)
		old := newSubscription()
		old.addr = q.addr
		asked := make(chan bool)
		c.box <- func() {
			c.now = old
			c.suspect(old)
			if speaks {
				old.heard.Add(1)
				time.AfterFunc(anew, func() { c.box <- func() { close(asked) } }) // behind the time for asking
				return
			}
			close(asked)
		}
		<-asked
		if speaks {
			c.box <- func() { to <- fmt.Sprint(c.now == old, len(q.asked)) }
			if word := next(t, to); word != "true 0" {
				t.Errorf("opened anew although it spoke: %s", word)
			}
			continue
		}
		if n := number(t, q.asked); n != 0 {
			t.Fatal(n)
		}
		c.box <- func() { c.take(old, &List{Hosts: []Entry{entry("a", "1", Ready)}}) }
		if word := next(t, to); word != "listed" {
			t.Fatalf("the suspect watch: %s", word)
		}
		q.reply(t, 0)
		if word := next(t, to); word != "listed" || old.ctx.Err() == nil {
			t.Fatalf("the new watch: %s; the old one ended: %v", word, old.ctx.Err())
		}
	}
}
