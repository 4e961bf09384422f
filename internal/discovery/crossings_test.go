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
		err := watch(context.Background(), addr, -1, time.Second, 20*time.Millisecond, nil)
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
		{"silent, then stopped", errSilent, func(c *Client) { c.stop(); c.to.ListFailed() }, "failed"},
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
