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
	"damsonscale/internal/memory"
	"damsonscale/internal/sidecar"
	"damsonscale/internal/socket"
	"damsonscale/internal/takeover"
	"damsonscale/internal/upstream"
)

// startWithServer starts a frontend whose sidecar has one endpoint, and sockets connections to servers. change is called with
// the configuration before the sidecar starts, and again with the frontend.
func startWithServer(t testing.TB, addr string, sockets int, change func(*config.Config, *Frontend)) (*Frontend, *sidecar.Sidecar, net.Listener) {
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
	side := sidecar.New(conf, sockets, nil)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := New(side, &lifecycle.Tracker{}, &conf.Settings, 64, memory.NewAccount(1<<20))
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

// serveWithReadHook makes a frontend serve another listener, whose connections are read with read.
func serveWithReadHook(t *testing.T, f *Frontend, read func(*net.TCPConn, []byte) (int, error)) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go f.Serve(&standin.ReadInterceptor{Listener: ln, ReadConn: read})
	return ln
}

// requestText returns a request of a class of startWithServer, with a body of the given size in bytes.
func requestText(class, id string, body int) string {
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

// If a request has arrived, read or not, when its connection is marked closing, it is answered before the connection is
// closed.
func TestRequestOnClosingConnectionIsServed(t *testing.T) {
	for _, c := range []struct {
		name  string
		reads func(sent, chosen chan bool) func(*net.TCPConn, []byte) (int, error)
	}{
		{"request read and not returned yet", func(sent, chosen chan bool) func(*net.TCPConn, []byte) (int, error) {
			return func(c *net.TCPConn, p []byte) (int, error) {
				n, err := c.Read(p)
				if n > 0 {
					sent <- true
					<-chosen
				}
				return n, err
			}
		}},
		{"request arrived and read interrupted", func(sent, chosen chan bool) func(*net.TCPConn, []byte) (int, error) {
			return func(c *net.TCPConn, p []byte) (int, error) {
				sent <- true
				<-chosen
				return c.Read(p)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, _ := startWithoutServers(t, nil)
			sent, chosen := make(chan bool, 1), make(chan bool)
			ln := serveWithReadHook(t, f, c.reads(sent, chosen))
			client := dial(t, ln)
			io.WriteString(client, lookRequest)
			<-sent
			eventually(t, "an idle connection", func() bool { return f.idleConns() == 1 })
			f.closeIdleConns(-time.Hour, true)
			close(chosen)
			br := bufio.NewReader(client)
			resp, err := http.ReadResponse(br, nil)
			if err != nil || resp.StatusCode != 503 {
				t.Fatalf("got response %v, error %v, want status 503", resp, err)
			}
			io.Copy(io.Discard, resp.Body)
			if _, err := br.ReadByte(); err != io.EOF {
				t.Fatalf("read after the response returned error %v, want EOF", err)
			}
		})
	}
}

// A connection is closed if it is marked closing before its first read, even if its read deadline is set afterwards.
func TestClosingConnectionIsClosed(t *testing.T) {
	f, _ := startWithoutServers(t, func(f *Frontend) { f.httpServer.ReadTimeout = time.Hour })
	reading, resume := make(chan bool, 1), make(chan bool)
	ln := serveWithReadHook(t, f, func(c *net.TCPConn, p []byte) (int, error) {
		reading <- true
		<-resume
		return c.Read(p)
	})
	client := dial(t, ln)
	<-reading
	f.closeIdleConns(-time.Hour, true)
	f.mu.Lock()
	for c := range f.conns {
		c.SetReadDeadline(time.Now().Add(time.Hour)) // as fasthttp does before each request
	}
	f.mu.Unlock()
	close(resume)
	if b, err := io.ReadAll(client); err != nil || len(b) != 0 {
		t.Fatalf("read %q with error %v, want a close without a response", b, err)
	}
}

// disconnect closes a client's connection, with a reset if reset is true.
func disconnect(c net.Conn, reset bool) {
	if reset {
		c.(*net.TCPConn).SetLinger(0)
	}
	c.Close()
}

// A request whose client disconnects while the request waits is neither forwarded nor retried, whatever it waits for.
func TestRequestsOfDisconnectedClientsAreNotForwarded(t *testing.T) {
	type scenario struct {
		*standin.Server
		f      *Frontend
		side   *sidecar.Sidecar
		ln     net.Listener
		sent   int    // attempts that reach the server before the client disconnects
		resume func() // ends the wait of the request
	}
	type waitCase struct {
		name  string
		begin func(t *testing.T) *scenario // sets up what the request waits for
		body  int                          // size of the request body in bytes
	}
	// occupied uses the only connection to the server for a request that is answered after resume is called.
	occupied := func(t *testing.T, change func(*config.Config, *Frontend)) *scenario {
		release := make(chan bool)
		s := standin.NewServer(t, func(c *net.TCPConn, r *http.Request) bool {
			if r.Header.Get("Req-Id") == "fill" {
				<-release
			}
			return standin.EchoRequestID(c, r)
		})
		f, side, ln := startWithServer(t, s.Addr, 1, change)
		io.WriteString(dial(t, ln), requestText("look", "fill", 0))
		eventually(t, "the request that occupies the connection", func() bool { return s.RequestCount("fill") == 1 })
		resume := sync.OnceFunc(func() { close(release) })
		t.Cleanup(resume)
		return &scenario{s, f, side, ln, 0, resume}
	}
	for _, w := range []waitCase{
		{"for a socket", func(t *testing.T) *scenario {
			return occupied(t, nil)
		}, 0},
		{"in the balancer during slow start", func(t *testing.T) *scenario {
			s, capacity := standin.NewServer(t, standin.EchoRequestID), make(chan bool)
			list := standin.ListenDiscovery(t, func(w *standin.Watch) {
				w.WriteHeaders()
				<-capacity
				w.WriteChunk(`{"seq":2,"hosts":[{"host":"s2","dial":"` + s.Addr + `","health":"Ready"}]}` + "\n")
				w.WaitForClose()
			})
			f, side, ln := startWithServer(t, s.Addr, 8, func(c *config.Config, _ *Frontend) {
				c.Discovery, c.LastEndpoints.Endpoints[0].StartedAtMs = list, time.Now().UnixMilli()
				c.Settings.Rules.SlowStartWindow, c.Settings.Rules.SlowStartMinShare = 3_600_000_000, 0.1
			})
			return &scenario{s, f, side, ln, 0, func() { close(capacity) }}
		}, 0},
		{"for a dial", func(t *testing.T) *scenario {
			s := standin.NewServer(t, standin.EchoRequestID)
			addr, accept := standin.FullBacklogProxy(t, s.Addr)
			f, side, ln := startWithServer(t, addr, 8, nil)
			return &scenario{s, f, side, ln, 0, accept}
		}, 0},
		{"between two attempts", func(t *testing.T) *scenario {
			release := make(chan bool)
			s := standin.NewServer(t, func(c *net.TCPConn, r *http.Request) bool {
				if r.Header.Get("Req-Id") != "leaver" {
					return standin.EchoRequestID(c, r)
				}
				<-release
				return standin.WriteResponse(c, 503, standin.DeclinedHeader, "")
			})
			f, side, ln := startWithServer(t, s.Addr, 8, nil)
			return &scenario{s, f, side, ln, 1, func() { close(release) }}
		}, 0},
		{"for the rest of its body", func(t *testing.T) *scenario {
			return occupied(t, func(_ *config.Config, f *Frontend) {
				if f != nil {
					f.memory.NewReservation().GrowAlways(f.memory.BulkLimit() - initialBufferBytes - streamedBodyBytes - upstream.AttemptBytes) // too little is left to buffer the body
				}
			})
		}, 80 << 10},
	} {
		for _, class := range []string{"look", "make", "once"} {
			for _, how := range []string{
				"closing", "resetting", "closing after bytes sent in advance",
				"closing" + unread, "resetting" + unread, "closing" + unwatched, "resetting" + unwatched,
			} {
				t.Run(w.name+"/"+class+"/"+how, func(t *testing.T) {
					unseen := strings.HasSuffix(how, unread) || strings.HasSuffix(how, unwatched)
					if w.body > 0 && (class == "look" || how == "closing after bytes sent in advance" || strings.HasSuffix(how, unwatched)) {
						return // no body; the next bytes belong to the body; the body needs many reads
					}
					s := w.begin(t)
					ln, resumeReads := s.ln, make(chan bool)
					defer sync.OnceFunc(func() { close(resumeReads) })()
					if strings.HasSuffix(how, unwatched) {
						ln = serveWithReadHook(t, s.f, holdReadsAfterFirst(resumeReads))
					}
					client := dial(t, ln)
					request := requestText(class, "leaver", w.body)
					switch {
					case strings.HasSuffix(how, unread) && w.body > 0:
						request += strings.Repeat("b", 96<<10-w.body)
						request = strings.Replace(request, fmt.Sprint("Length: ", w.body), fmt.Sprint("Length: ", 96<<10), 1)
					case w.body > 0:
						request = request[:len(request)-w.body/2]
					case strings.HasSuffix(how, unread):
						request += strings.Repeat("GET /look HTTP/1.1\r\n", 48<<10/20)
					}
					io.WriteString(client, request)
					eventually(t, "the request to reach the balancer", func() bool {
						return slices.Contains(s.side.InFlightIDs(), "leaver")
					})
					eventually(t, "the request to wait", func() bool { return s.RequestCount("leaver") == s.sent })
					if strings.Contains(how, "advance") {
						io.WriteString(client, "GET ")
						eventually(t, "the bytes sent in advance to be read", func() bool { return s.f.allBytesRead() })
					}
					others, from := s.f.openConns()-1, client.LocalAddr().String()
					disconnect(client, strings.HasPrefix(how, "resetting"))
					if unseen { // the background read does not reach the end of the connection
						eventually(t, "the disconnect to reach the kernel", func() bool { return s.f.seesDisconnect(from) })
					} else {
						eventually(t, "the connection to be closed", func() bool { return s.f.openConns() == others })
					}
					s.resume()
					other := dial(t, s.ln)
					expectStatus(t, other, bufio.NewReader(other), requestText("look", "usual", 0), 200) // served after the requests that waited before it
					eventually(t, "no request in flight", func() bool { return len(s.side.InFlightIDs()) == 0 })
					if n := s.RequestCount("leaver"); n != s.sent {
						t.Fatalf("server got %d attempts, want %d", n, s.sent)
					}
				})
			}
		}
	}
}

// Disconnects that the background read does not detect.
const (
	unread    = " after unread bytes"
	unwatched = ", background read delayed"
)

// holdReadsAfterFirst returns a read function that delays all reads but the first until resume is closed, as if the goroutine
// of the background read lagged.
func holdReadsAfterFirst(resume chan bool) func(*net.TCPConn, []byte) (int, error) {
	var reads atomic.Int64
	return func(c *net.TCPConn, p []byte) (int, error) {
		if reads.Add(1) > 1 {
			<-resume
		}
		return c.Read(p)
	}
}

// seesDisconnect reports whether the kernel has received the disconnect of the client with the given address.
func (f *Frontend) seesDisconnect(from string) (ended bool) {
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

// allBytesRead reports whether the background reads have read all bytes that clients have sent ahead.
func (f *Frontend) allBytesRead() bool {
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

// heldListener is a listener that holds accepted connections back until resume is closed.
type heldListener struct {
	net.Listener
	accepted, resume, closed chan bool
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- true
		<-l.resume
	}
	return c, err
}

func (l *heldListener) Close() error {
	err := l.Listener.Close()
	select {
	case l.closed <- true:
	default:
	}
	return err
}

// A connection that the listener has accepted but Accept has not returned keeps Shutdown from returning, and its request is
// answered.
func TestConnectionAcceptedDuringShutdownIsServed(t *testing.T) {
	f, _ := startWithoutServers(t, nil)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := &heldListener{inner, make(chan bool, 1), make(chan bool), make(chan bool, 1)}
	go f.Serve(ln)
	client := dial(t, inner)
	io.WriteString(client, lookRequest)
	<-ln.accepted
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
		t.Fatal("Shutdown returned before the request was answered")
	case <-time.After(10 * pollInterval): // a longer wait would only be more likely to detect the fault
	}
	close(ln.resume)
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil || resp.StatusCode != 503 {
		t.Fatalf("got response %v, error %v, want status 503", resp, err)
	}
	<-drained
}

// Shutdown closes the listener even if its time is as short as with deadlines of 200 ms.
func TestShortShutdownClosesTheListener(t *testing.T) {
	for _, total := range []time.Duration{abortMargin, abortMargin + answerTimeAfterAccept, 800 * time.Millisecond} {
		f, _ := startWithoutServers(t, nil)
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ln := &heldListener{inner, make(chan bool, 99), make(chan bool), make(chan bool, 1)}
		close(ln.resume)
		go f.Serve(ln)
		stop := make(chan bool)
		go func() { // a client that keeps connecting
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
			t.Errorf("listener is open after a shutdown of %v", total)
		}
	}
}

// A request that arrives just as the idle timeout expires is served, and the connection stays open.
func TestRequestAtTheIdleTimeoutIsServed(t *testing.T) {
	f, _ := startWithoutServers(t, nil)
	expired, sent := make(chan bool, 1), make(chan bool)
	var once atomic.Bool
	ln := serveWithReadHook(t, f, func(c *net.TCPConn, p []byte) (int, error) {
		if once.CompareAndSwap(false, true) { // the read times out, and the request arrives before the result is handled
			c.SetReadDeadline(socket.ExpiredDeadline)
			n, err := c.Read(p)
			expired <- true
			<-sent
			return n, err
		}
		return c.Read(p)
	})
	client := dial(t, ln)
	<-expired
	io.WriteString(client, lookRequest)
	close(sent)
	br := bufio.NewReader(client)
	resp, err := http.ReadResponse(br, nil)
	if err != nil || resp.StatusCode != 503 {
		t.Fatalf("got response %v, error %v, want status 503", resp, err)
	}
	io.Copy(io.Discard, resp.Body)
	expectStatus(t, client, br, lookRequest, 503)
}

// An orphan is not resumed if the settings no longer contain its class, or contain it with other semantics.
func TestOrphanOfChangedClassIsNotResumed(t *testing.T) {
	f, _ := startWithoutServers(t, nil)
	rec := &takeover.Record{Class: "make", Idempotency: takeover.IdempotentByKey, DeadlineAge: 1_000_000}
	for _, c := range []struct {
		classes []decide.Class
		resumed bool
	}{
		{[]decide.Class{{Name: "make", PriorityWeight: 1, Semantics: decide.IdempotencyKeyed}}, true},
		{[]decide.Class{{Name: "other", PriorityWeight: 1}, {Name: "make", PriorityWeight: 1, Semantics: decide.IdempotencyKeyed}}, true},
		{[]decide.Class{{Name: "make", PriorityWeight: 1, Semantics: decide.AtMostOnce}}, false},
		{[]decide.Class{{Name: "made", PriorityWeight: 1, Semantics: decide.IdempotencyKeyed}}, false},
	} {
		f.ApplySettings(&decide.Settings{Classes: c.classes})
		if _, err := f.ResumeOrphan(rec, &takeover.StoredRequest{}); (err == nil) != c.resumed {
			t.Errorf("classes %+v: ResumeOrphan returned error %v, want success: %v", c.classes, err, c.resumed)
		}
	}
}

// Misbehaving clients of each kind leak neither connections nor goroutines, and other clients are served.
func TestMisbehavingClientsLeakNothing(t *testing.T) {
	s := standin.NewServer(t, standin.EchoRequestID)
	f, side, ln := startWithServer(t, s.Addr, 8, func(_ *config.Config, f *Frontend) {
		if f != nil {
			f.httpServer.MaxIdleWorkerDuration = 20 * time.Millisecond // by default fasthttp keeps idle goroutines for 10 s
		}
	})
	sendValid := func(id string) {
		c := dial(t, ln)
		expectStatus(t, c, bufio.NewReader(c), requestText("look", id, 0), 200)
		c.Close()
	}
	sendValid("first")
	eventually(t, "no connection and no request in flight", func() bool { return f.openConns() == 0 && len(side.InFlightIDs()) == 0 })
	for i, bad := range []string{
		"", "\r\n\r\n", "GET\r\n\r\n", "GET /none HTTP/1.1\r\nHost: h\r\n\r\n", strings.Repeat("x", 20<<10), lookRequest[:30],
		requestText("make", "half", 4000)[:300], requestText("make", "long", 0) + strings.Repeat(requestText("look", "more", 0), 400),
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
			disconnect(c, n%2 == 0)
		}
		eventually(t, fmt.Sprintf("the end of the clients of case %d", i), func() bool { return f.openConns() == 0 && len(side.InFlightIDs()) == 0 })
		sendValid(fmt.Sprint("after", i))
		eventually(t, fmt.Sprintf("the goroutines of case %d to end", i), func() bool { return runtime.NumGoroutine() <= before+8 })
	}
}

// No attempt may begin more than 0.1 s after its client has disconnected, with failing servers. This depends on timing, so the
// test runs only if the environment variable LEAVERS has the number of clients.
func TestAttemptsForDisconnectedClients(t *testing.T) {
	clients, err := strconv.Atoi(os.Getenv("LEAVERS"))
	if err != nil {
		t.Skip("LEAVERS is not set to the number of clients")
	}
	for _, cancel := range []bool{true, false} {
		var mu sync.Mutex
		arrivals, disconnects := map[string][]time.Time{}, map[string]time.Time{}
		s := standin.NewServer(t, func(c *net.TCPConn, r *http.Request) bool {
			id := r.Header.Get("Req-Id")
			mu.Lock()
			arrivals[id] = append(arrivals[id], time.Now())
			mu.Unlock()
			switch n := rand.IntN(10); {
			case n < 3:
				time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
				return standin.EchoRequestID(c, r)
			case n < 6:
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
				return standin.WriteResponse(c, 503, standin.DeclinedHeader, "")
			case n < 8:
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
				return false
			default:
				io.Copy(io.Discard, c)
				return false
			}
		})
		_, _, ln := startWithServer(t, s.Addr, 12, func(c *config.Config, _ *Frontend) {
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
				for i := range clients / 60 {
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
					io.WriteString(c, strings.Replace(requestText(class, id, body), "Ms: 60000", "Ms: 2000", 1))
					switch rand.IntN(8) {
					case 0:
						io.WriteString(c, "GET /look")
					case 1:
						io.WriteString(c, strings.Repeat("GET /look HTTP/1.1\r\n", 48<<10/20)) // more than maxReadAheadBytes
					}
					time.Sleep(time.Duration(rand.IntN(150)) * time.Millisecond)
					mu.Lock()
					disconnects[id] = time.Now()
					mu.Unlock()
					disconnect(c, rand.IntN(2) == 0)
				}
			}()
		}
		wg.Wait()
		time.Sleep(2 * time.Second)
		mu.Lock()
		var total, late [2]int // of first attempts and of further attempts
		var latest [2]time.Duration
		for id, at := range disconnects {
			for i, when := range arrivals[id] {
				kind := min(i, 1)
				total[kind]++
				latest[kind] = max(latest[kind], when.Sub(at))
				if when.Sub(at) > 100*time.Millisecond {
					late[kind]++
				}
			}
		}
		mu.Unlock()
		for kind, name := range []string{"first", "further"} {
			t.Logf("cancel %v: %d clients disconnected, %d %s attempts, %d of them over 0.1 s after the disconnect, the latest %v after it",
				cancel, len(disconnects), total[kind], name, late[kind], latest[kind])
			if late[kind] > 0 {
				t.Errorf("%d %s attempts began over 0.1 s after their client had disconnected, want 0", late[kind], name)
			}
		}
	}
}

// After stop, a body can't be read, even if stop comes just before a read that sets its own deadline.
func TestStoppedBodyStaysStopped(t *testing.T) {
	server, client := net.Pipe()
	defer server.Close()
	defer client.Close()
	c := &clientConn{Conn: server}
	b := &requestBody{conn: c, source: c, length: 9}
	b.remainder = upstream.NewBodyRemainder(b, b.length, b.stop)
	b.stop()
	go func() { client.Write([]byte("late")) }() // must not be read
	if n, err := b.remainder.Read(make([]byte, 9)); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read of a stopped body returned %d bytes and error %v, want 0 bytes and %v", n, err, os.ErrDeadlineExceeded)
	}
}
