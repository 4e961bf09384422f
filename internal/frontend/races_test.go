package frontend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"damsonscale/decide"
	"damsonscale/internal/config"
	"damsonscale/internal/discovery"
	"damsonscale/internal/lab/standin"
	"damsonscale/internal/lifecycle"
	"damsonscale/internal/sidecar"
	"damsonscale/internal/takeover"
	"damsonscale/internal/upstream"
)

// before starts a frontend before a server, with so many connections to servers.
func before(t testing.TB, addr string, servers int, change func(*config.Config, *Frontend)) (*Frontend, *sidecar.Sidecar, net.Listener) {
	t.Helper()
	conf := &config.Config{
		Discovery:     "127.0.0.1:1",
		LastEndpoints: &discovery.Update{Seq: 1, Endpoints: []discovery.Endpoint{{Host: "s1", Address: addr, Health: discovery.Ready}}},
		Transport:     config.Transport{ConnIdle: time.Minute, DialTimeout: time.Minute},
		Settings: decide.Settings{
			Classes: []decide.Class{
				{Name: "look", PriorityWeight: 1},
				{Name: "make", PriorityWeight: 1, Semantics: decide.IdempotencyKeyed, DedupWindow: 60_000_000},
				{Name: "once", PriorityWeight: 1, Semantics: decide.AtMostOnce},
			},
			Limits: decide.Limits{Cancel: true, MaxAttempts: 4},
		},
	}
	if change != nil {
		change(conf, nil)
	}
	side := sidecar.New(conf, servers)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := New(side, &lifecycle.Tracker{}, &conf.Settings, 64, 1<<20)
	if change != nil {
		change(conf, f)
	}
	go side.Run(ctx)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go f.Serve(ln)
	return f, side, ln
}

// hooked has a frontend serve another listener, with the reads of its connections.
func hooked(t *testing.T, f *Frontend, read func(*net.TCPConn, []byte) (int, error)) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go f.Serve(&standin.Hook{Listener: ln, Read: read})
	return ln
}

// text is a request of a class of before, with so many bytes of body.
func text(class, id string, body int) string {
	method, key := "POST", ""
	switch class {
	case "look":
		method = "GET"
	case "make":
		key = "Idempotency-Key: k-" + id + "\r\n"
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Deadline-Ms: 60000\r\n%sContent-Length: %d\r\n\r\n%s",
		method, class, id, key, body, strings.Repeat("b", body))
}

// A request whose bytes had come, read or not, when its connection was marked closing is answered, and the connection is
// closed after that.
func TestRequestOnClosingConnectionIsServed(t *testing.T) {
	for _, c := range []struct {
		name  string
		reads func(sent, chosen chan bool) func(*net.TCPConn, []byte) (int, error)
	}{
		{"read, and not yet returned", func(sent, chosen chan bool) func(*net.TCPConn, []byte) (int, error) {
			return func(c *net.TCPConn, p []byte) (int, error) {
				n, err := c.Read(p)
				if n > 0 {
					sent <- true
					<-chosen
				}
				return n, err
			}
		}},
		{"come, and its read ended", func(sent, chosen chan bool) func(*net.TCPConn, []byte) (int, error) {
			return func(c *net.TCPConn, p []byte) (int, error) {
				sent <- true
				<-chosen
				return c.Read(p)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, _ := serving(t, nil)
			sent, chosen := make(chan bool, 1), make(chan bool)
			ln := hooked(t, f, c.reads(sent, chosen))
			client := dial(t, ln)
			io.WriteString(client, look)
			<-sent
			eventually(t, "one idle connection", func() bool { return f.idle() == 1 })
			f.closeIdleConns(-time.Hour, true)
			close(chosen)
			br := bufio.NewReader(client)
			resp, err := http.ReadResponse(br, nil)
			if err != nil || resp.StatusCode != 503 {
				t.Fatalf("%v %v", resp, err)
			}
			io.Copy(io.Discard, resp.Body)
			if _, err := br.ReadByte(); err != io.EOF {
				t.Fatalf("the connection goes on: %v", err)
			}
		})
	}
}

// A connection that is marked closing while it sets its own deadline, or before its first read, is closed.
func TestClosingConnectionIsClosed(t *testing.T) {
	f, _ := serving(t, func(f *Frontend) { f.httpServer.ReadTimeout = time.Hour })
	reads, on := make(chan bool, 1), make(chan bool)
	ln := hooked(t, f, func(c *net.TCPConn, p []byte) (int, error) {
		reads <- true
		<-on
		return c.Read(p)
	})
	client := dial(t, ln)
	<-reads
	f.closeIdleConns(-time.Hour, true)
	f.mu.Lock()
	for c := range f.conns {
		c.SetReadDeadline(time.Now().Add(time.Hour)) // as fasthttp does before each request
	}
	f.mu.Unlock()
	close(on)
	if b, err := io.ReadAll(client); err != nil || len(b) != 0 {
		t.Fatalf("%q %v", b, err)
	}
}

// leaves closes a client's connection.
func leaves(c net.Conn, reset bool) {
	if reset {
		c.(*net.TCPConn).SetLinger(0)
	}
	c.Close()
}

// A request whose client disconnects while it waits is not forwarded, wherever it waits, and is not retried.
func TestRequestsOfDisconnectedClientsAreNotForwarded(t *testing.T) {
	type scene struct {
		*standin.Server
		f    *Frontend
		side *sidecar.Sidecar
		ln   net.Listener
		sent int    // times that the leaver was, before it leaves
		on   func() // ends its waiting
	}
	type place struct {
		name  string
		begin func(t *testing.T) *scene // has the request wait
		body  int
	}
	// held fills the only connection to a server with a request that it answers once on is called.
	held := func(t *testing.T, change func(*config.Config, *Frontend)) *scene {
		stay := make(chan bool)
		s := standin.NewServer(t, func(c *net.TCPConn, r *http.Request) bool {
			if r.Header.Get("Req-Id") == "fill" {
				<-stay
			}
			return standin.Yes(c, r)
		})
		f, side, ln := before(t, s.Addr, 1, change)
		io.WriteString(dial(t, ln), text("look", "fill", 0))
		eventually(t, "a full connection", func() bool { return s.Got("fill") == 1 })
		on := sync.OnceFunc(func() { close(stay) })
		t.Cleanup(on)
		return &scene{s, f, side, ln, 0, on}
	}
	for _, p := range []place{
		{"for a socket", func(t *testing.T) *scene {
			return held(t, nil)
		}, 0},
		{"in the module, behind a cold server's ration", func(t *testing.T) *scene {
			s, room := standin.NewServer(t, standin.Yes), make(chan bool)
			list := standin.NewDiscovery(t, func(w *standin.Watch) {
				w.Begin()
				<-room
				w.Tell(`{"seq":2,"hosts":[{"host":"s2","dial":"` + s.Addr + `","health":"Ready"}]}` + "\n")
				w.Left()
			})
			f, side, ln := before(t, s.Addr, 8, func(c *config.Config, _ *Frontend) {
				c.Discovery, c.LastEndpoints.Endpoints[0].StartedAtMs = list, time.Now().UnixMilli()
				c.Settings.Rules.SlowStartWindow, c.Settings.Rules.SlowStartMinShare = 3_600_000_000, 0.1
			})
			return &scene{s, f, side, ln, 0, func() { close(room) }}
		}, 0},
		{"for a dial", func(t *testing.T) *scene {
			s := standin.NewServer(t, standin.Yes)
			addr, accept := standin.Crowded(t, s.Addr)
			f, side, ln := before(t, addr, 8, nil)
			return &scene{s, f, side, ln, 0, accept}
		}, 0},
		{"between two tries", func(t *testing.T) *scene {
			stay := make(chan bool)
			s := standin.NewServer(t, func(c *net.TCPConn, r *http.Request) bool {
				if r.Header.Get("Req-Id") != "leaver" {
					return standin.Yes(c, r)
				}
				<-stay
				return standin.Say(c, 503, standin.Declined, "")
			})
			f, side, ln := before(t, s.Addr, 8, nil)
			return &scene{s, f, side, ln, 1, func() { close(stay) }}
		}, 0},
		{"for the rest of its body", func(t *testing.T) *scene {
			return held(t, func(_ *config.Config, f *Frontend) {
				if f != nil {
					f.bodyBudget.reserve(1 << 20) // none of it is left
				}
			})
		}, 40 << 10},
	} {
		for _, class := range []string{"look", "make", "once"} {
			for _, how := range []string{
				"closing", "resetting", "closing behind bytes sent in advance",
				"closing" + unread, "resetting" + unread, "closing" + unwatched, "resetting" + unwatched,
			} {
				t.Run(p.name+"/"+class+"/"+how, func(t *testing.T) {
					unseen := strings.HasSuffix(how, unread) || strings.HasSuffix(how, unwatched)
					if p.body > 0 && (class == "look" || how == "closing behind bytes sent in advance" || strings.HasSuffix(how, unwatched)) {
						return // has no body; its body is what comes next; many reads bring it
					}
					s := p.begin(t)
					ln, watched := s.ln, make(chan bool)
					defer sync.OnceFunc(func() { close(watched) })()
					if strings.HasSuffix(how, unwatched) {
						ln = hooked(t, s.f, afterFirst(watched))
					}
					client := dial(t, ln)
					request := text(class, "leaver", p.body)
					switch {
					case strings.HasSuffix(how, unread) && p.body > 0:
						request += strings.Repeat("b", 48<<10-p.body)
						request = strings.Replace(request, fmt.Sprint("Length: ", p.body), fmt.Sprint("Length: ", 48<<10), 1)
					case p.body > 0:
						request = request[:len(request)-p.body/2]
					case strings.HasSuffix(how, unread):
						request += strings.Repeat("GET /look HTTP/1.1\r\n", 48<<10/20)
					}
					io.WriteString(client, request)
					eventually(t, "the leaver with the module", func() bool {
						return slices.Contains(s.side.InFlightIDs(), "leaver")
					})
					eventually(t, "the leaver at its place", func() bool { return s.Got("leaver") == s.sent })
					if strings.Contains(how, "advance") {
						io.WriteString(client, "GET ")
						eventually(t, "the bytes sent in advance read", func() bool { return s.f.readOn() })
					}
					others, from := s.f.count()-1, client.LocalAddr().String()
					leaves(client, strings.HasPrefix(how, "resetting"))
					if unseen { // nobody reads that far: the end has come, and stands there
						eventually(t, "the leaving at the sidecar", func() bool { return s.f.hasEnded(from) })
					} else {
						eventually(t, "the leaver's end", func() bool { return s.f.count() == others })
					}
					s.on()
					usual := dial(t, s.ln)
					exchange(t, usual, bufio.NewReader(usual), text("look", "usual", 0), 200) // after all that waited before it
					eventually(t, "nothing under way", func() bool { return len(s.side.InFlightIDs()) == 0 })
					if n := s.Got("leaver"); n != s.sent {
						t.Fatalf("sent %d times, want %d", n, s.sent)
					}
				})
			}
		}
	}
}

// Ways of a client to disconnect that the background read doesn't see.
const (
	unread    = " behind more than is read on"
	unwatched = ", its watch held back"
)

// afterFirst makes reads of which all but the first wait for on: the goroutine that watches a client lags.
func afterFirst(on chan bool) func(*net.TCPConn, []byte) (int, error) {
	var reads atomic.Int64
	return func(c *net.TCPConn, p []byte) (int, error) {
		if reads.Add(1) > 1 {
			<-on
		}
		return c.Read(p)
	}
}

// hasEnded returns whether the system has seen the disconnect of the client at that address.
func (f *Frontend) hasEnded(from string) (ended bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.RemoteAddr().String() != from {
			continue
		}
		raw, err := c.Conn.(syscall.Conn).SyscallConn()
		if err != nil {
			continue
		}
		raw.Control(func(fd uintptr) {
			const closed, closeWait = 7, 8
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			ended = err == nil && (info.State == closed || info.State == closeWait)
		})
	}
	return ended
}

// readOn returns whether the background reads have read all that clients sent ahead.
func (f *Frontend) readOn() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		raw, err := c.Conn.(syscall.Conn).SyscallConn()
		if err != nil {
			continue
		}
		n := 0
		raw.Control(func(fd uintptr) {
			var b [1]byte
			n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		if n > 0 {
			return false
		}
	}
	return true
}

// late is a listener that has accepted a connection and doesn't return it yet.
type late struct {
	net.Listener
	got, on, closed chan bool
}

func (l *late) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.got <- true
		<-l.on
	}
	return c, err
}

func (l *late) Close() error {
	err := l.Listener.Close()
	select {
	case l.closed <- true:
	default:
	}
	return err
}

// A connection that is accepted and not counted yet keeps a shutdown from ending: its request is answered.
func TestConnectionAcceptedAtTheEndOfShutdown(t *testing.T) {
	f, _ := serving(t, nil)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := &late{inner, make(chan bool, 1), make(chan bool), make(chan bool, 1)}
	go f.Serve(ln)
	client := dial(t, inner)
	io.WriteString(client, look)
	<-ln.got
	drained := make(chan bool)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	go func() {
		f.Shutdown(ctx, ln, nil)
		close(drained)
	}()
	<-ln.closed
	select {
	case <-drained:
		t.Fatal("the drain ended before the connection's request")
	case <-time.After(10 * pollInterval): // what is tested holds however long this is
	}
	close(ln.on)
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil || resp.StatusCode != 503 {
		t.Fatal(resp, err)
	}
	<-drained
}

// A shutdown as short as that of deadlines of 200 ms closes its listener, and leaves time for the last connections.
func TestShortShutdownClosesTheListener(t *testing.T) {
	for _, total := range []time.Duration{abortMargin, abortMargin + answerTimeAfterAccept, 800 * time.Millisecond} {
		f, _ := serving(t, nil)
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ln := &late{inner, make(chan bool, 99), make(chan bool), make(chan bool, 1)}
		close(ln.on)
		go f.Serve(ln)
		stop := make(chan bool)
		go func() { // one that polls
			for {
				select {
				case <-stop:
					return
				case <-time.After(pollInterval):
					if c, err := net.Dial("tcp", inner.Addr().String()); err == nil {
						c.Close()
					}
				}
			}
		}()
		ctx, cancel := context.WithTimeout(context.Background(), total)
		f.Shutdown(ctx, ln, nil)
		cancel()
		close(stop)
		select {
		case <-ln.closed:
		default:
			t.Errorf("a drain of %v ends with its listener open", total)
		}
	}
}

// A request that comes just as the idle timeout expires is served, and the connection stays open.
func TestRequestAtTheIdleTimeoutIsServed(t *testing.T) {
	f, _ := serving(t, nil)
	ended, sent := make(chan bool, 1), make(chan bool)
	var once atomic.Bool
	ln := hooked(t, f, func(c *net.TCPConn, p []byte) (int, error) {
		if once.CompareAndSwap(false, true) { // its patience is over, and what follows comes before anyone looks
			c.SetReadDeadline(expiredDeadline)
			n, err := c.Read(p)
			ended <- true
			<-sent
			return n, err
		}
		return c.Read(p)
	})
	client := dial(t, ln)
	<-ended
	io.WriteString(client, look)
	close(sent)
	br := bufio.NewReader(client)
	resp, err := http.ReadResponse(br, nil)
	if err != nil || resp.StatusCode != 503 {
		t.Fatal(resp, err)
	}
	io.Copy(io.Discard, resp.Body)
	exchange(t, client, br, look, 503)
}

// An orphan isn't resumed where its class has other semantics by now, or is unknown.
func TestOrphanAcrossAReload(t *testing.T) {
	f, _ := serving(t, nil)
	rec := &takeover.Record{Class: "make", Idempotency: takeover.IdempotentByKey, DeadlineAge: 1_000_000}
	for _, c := range []struct {
		classes []decide.Class
		runs    bool
	}{
		{[]decide.Class{{Name: "make", PriorityWeight: 1, Semantics: decide.IdempotencyKeyed}}, true},
		{[]decide.Class{{Name: "other", PriorityWeight: 1}, {Name: "make", PriorityWeight: 1, Semantics: decide.IdempotencyKeyed}}, true},
		{[]decide.Class{{Name: "make", PriorityWeight: 1, Semantics: decide.AtMostOnce}}, false},
		{[]decide.Class{{Name: "made", PriorityWeight: 1, Semantics: decide.IdempotencyKeyed}}, false},
	} {
		f.ApplySettings(&decide.Settings{Classes: c.classes})
		if _, err := f.ResumeOrphan(rec, &takeover.StoredRequest{}); (err == nil) != c.runs {
			t.Errorf("%+v: %v", c.classes, err)
		}
	}
}

// Many bad clients of each kind leak neither connections nor goroutines, and others are served.
func TestBadClientsLeakNothing(t *testing.T) {
	s := standin.NewServer(t, standin.Yes)
	f, side, ln := before(t, s.Addr, 8, func(_ *config.Config, f *Frontend) {
		if f != nil {
			f.httpServer.MaxIdleWorkerDuration = 20 * time.Millisecond // fasthttp keeps its goroutines for 10 s else
		}
	})
	usual := func(id string) {
		c := dial(t, ln)
		exchange(t, c, bufio.NewReader(c), text("look", id, 0), 200)
		c.Close()
	}
	usual("first")
	eventually(t, "a quiet start", func() bool { return f.count() == 0 && len(side.InFlightIDs()) == 0 })
	for i, bad := range []string{
		"", "\r\n\r\n", "GET\r\n\r\n", "GET /none HTTP/1.1\r\nHost: h\r\n\r\n", strings.Repeat("x", 20<<10), look[:30],
		text("make", "half", 4000)[:300], text("make", "long", 0) + strings.Repeat(text("look", "more", 0), 400),
		"POST /make HTTP/1.1\r\nHost: h\r\nReq-Id: c\r\nReq-Deadline-Ms: 5000\r\nIdempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
		"POST /make HTTP/1.1\r\nHost: h\r\nReq-Id: d\r\nReq-Deadline-Ms: 5000\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
	} {
		before := runtime.NumGoroutine()
		for n := range 100 {
			c, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			io.WriteString(c, bad)
			leaves(c, n%2 == 0)
		}
		eventually(t, fmt.Sprintf("the end of crowd %d", i), func() bool { return f.count() == 0 && len(side.InFlightIDs()) == 0 })
		usual(fmt.Sprint("after", i))
		eventually(t, fmt.Sprintf("no goroutine more after crowd %d", i), func() bool { return runtime.NumGoroutine() <= before+8 })
	}
}

// TestLeaversMeasured measures how many attempts and retries begin over 0.1 s after their client has disconnected, with
// so many clients at failing servers. It depends on timing, so it runs only where LEAVERS says how many.
func TestLeaversMeasured(t *testing.T) {
	most, err := strconv.Atoi(os.Getenv("LEAVERS"))
	if err != nil {
		t.Skip("LEAVERS names no number: a measurement")
	}
	for _, cancel := range []bool{true, false} {
		var mu sync.Mutex
		came, left := map[string][]time.Time{}, map[string]time.Time{}
		s := standin.NewServer(t, func(c *net.TCPConn, r *http.Request) bool {
			id := r.Header.Get("Req-Id")
			mu.Lock()
			came[id] = append(came[id], time.Now())
			mu.Unlock()
			switch n := rand.IntN(10); {
			case n < 3:
				time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
				return standin.Yes(c, r)
			case n < 6:
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
				return standin.Say(c, 503, standin.Declined, "")
			case n < 8:
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
				return false
			default:
				io.Copy(io.Discard, c)
				return false
			}
		})
		_, _, ln := before(t, s.Addr, 12, func(c *config.Config, _ *Frontend) {
			c.Settings.Limits.Cancel = cancel
			for i := range c.Settings.Classes {
				c.Settings.Classes[i].Deadline = 2_000_000
			}
		})
		var wg sync.WaitGroup
		for w := range 60 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := range most / 60 {
					id := fmt.Sprintf("%d-%d", w, i)
					c, err := net.Dial("tcp", ln.Addr().String())
					if err != nil {
						t.Error(err)
						return
					}
					class := []string{"look", "make", "once"}[rand.IntN(3)]
					body := 0
					if class != "look" && rand.IntN(4) == 0 {
						body = 30 << 10
					}
					io.WriteString(c, strings.Replace(text(class, id, body), "Ms: 60000", "Ms: 2000", 1))
					switch rand.IntN(8) {
					case 0:
						io.WriteString(c, "GET /look")
					case 1:
						io.WriteString(c, strings.Repeat("GET /look HTTP/1.1\r\n", 48<<10/20)) // past what is read on
					}
					time.Sleep(time.Duration(rand.IntN(150)) * time.Millisecond)
					mu.Lock()
					left[id] = time.Now()
					mu.Unlock()
					leaves(c, rand.IntN(2) == 0)
				}
			}()
		}
		wg.Wait()
		time.Sleep(2 * time.Second)
		mu.Lock()
		var total, later [2]int // of first and of further attempts
		var latest [2]time.Duration
		for id, at := range left {
			for i, when := range came[id] {
				kind := min(i, 1)
				total[kind]++
				latest[kind] = max(latest[kind], when.Sub(at))
				if when.Sub(at) > 100*time.Millisecond {
					later[kind]++
				}
			}
		}
		mu.Unlock()
		for kind, name := range []string{"first", "further"} {
			t.Logf("cancel %v: %d leavers, %d %s attempts, %d over 0.1 s after the leaving, the latest %v after it",
				cancel, len(left), total[kind], name, later[kind], latest[kind])
			if later[kind] > 0 {
				t.Errorf("%d %s attempts for those who had left", later[kind], name)
			}
		}
	}
}

// A body that is stopped just before the next read stays stopped.
func TestStoppedBodyStaysStopped(t *testing.T) {
	ours, theirs := net.Pipe()
	defer ours.Close()
	defer theirs.Close()
	c := &clientConn{Conn: ours}
	b := &requestBody{conn: c, source: c, length: 9}
	b.remainder = upstream.NewBodyRemainder(b, b.length, b.stop)
	b.stop()
	go func() { theirs.Write([]byte("late")) }() // nobody is to wait for it
	if n, err := b.remainder.Read(make([]byte, 9)); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read on: %d bytes, %v", n, err)
	}
}
