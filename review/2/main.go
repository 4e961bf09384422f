//go:build review

// Command 2 sends requests with long bodies while one of five servers hangs, and looks whether each gets its answer in time.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"damsonscale/review/standin"
)

const (
	class    = "make-clip"
	deadline = 2500 * time.Millisecond

	// graceAfterDeadline is the half second that the pages allow, and the 50 ms by which each limit is longer on sockets.
	graceAfterDeadline = 550 * time.Millisecond

	servers     = 5
	uploads     = 24 // by sidecar
	interval    = 80 * time.Millisecond
	serviceTime = 30 * time.Millisecond
	listenOn    = 6 * time.Second       // how long after the deadline a client still notes a late answer
	settle      = 20 * time.Millisecond // time after which a client notes what the sidecar's machine has acknowledged
	warmUps     = 20
)

// bodyBytes has a size of bodies for each sidecar. What the system's buffers hold on the way to the server that hangs is about 4 MB here;
// of somewhat longer bodies all bytes reach the sidecar's machine, of the last ones the end waits in the client's.
var bodyBytes = []int{3_950_000, 4_000_000, 4_050_000, 6_000_000}

// server is a server that can hang: it then reads and answers nothing, and its connections stay open.
type server struct {
	c    *standin.Case
	name string
	hung atomic.Bool
}

func (s *server) waitWhileHung() {
	for s.hung.Load() {
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *server) serve(conn *net.TCPConn) {
	for br := bufio.NewReader(conn); ; {
		s.waitWhileHung()
		r, err := standin.ReadHead(br)
		if err != nil {
			return
		}
		left, err := strconv.Atoi(r.Header["content-length"])
		if err != nil {
			return
		}
		for buf := make([]byte, 64<<10); left > 0; {
			s.waitWhileHung()
			n, err := br.Read(buf[:min(left, len(buf))])
			if left -= n; err != nil {
				return
			}
		}
		s.waitWhileHung()
		s.c.Logf("%s runs %s", s.name, r.ID())
		time.Sleep(serviceTime)
		if standin.WriteAnswer(conn, "clip "+r.ID()) != nil {
			return
		}
	}
}

// result is what became of one request.
type result struct {
	id       string
	taken    bool          // its last byte was written to the connection before the client's time was up
	arrived  bool          // the sidecar's machine has acknowledged its last byte, too
	answered bool          // a whole answer came
	after    time.Duration // time of the answer, counted from the last byte
}

// unreceived returns how many bytes written to a connection the other machine has not acknowledged.
func unreceived(conn net.Conn) (n int) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	standin.Must(err)
	standin.Must(raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) }))
	standin.Must(err)
	return n
}

// upload sends one request and waits for its answer.
func upload(c *standin.Case, n *standin.Node, id string, size int) (r result) {
	r.id = id
	conn, err := net.Dial("tcp", n.Listen)
	if err != nil {
		c.Logf("client of %s: %v", id, err)
		return r
	}
	defer conn.Close()
	var request bytes.Buffer
	fmt.Fprintf(&request, "POST /%s/x?obj=%s HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\nReq-Owner: acme\r\nReq-Deadline-Ms: %d\r\n"+
		"Idempotency-Key: key-%s\r\nContent-Length: %d\r\n\r\n", class, id, id, deadline.Milliseconds(), id, size)
	request.Write(bytes.Repeat([]byte{'x'}, size))
	start := time.Now()
	conn.SetWriteDeadline(start.Add(deadline))
	if _, err := io.Copy(conn, &request); err != nil {
		c.Logf("client of %s could not write its last byte, so it was not taken: %v", id, err)
		return r
	}
	written := time.Now()
	r.taken = true
	c.Logf("client of %s has written its last byte, %d ms after its first", id, written.Sub(start).Milliseconds())
	time.Sleep(settle)
	if n := unreceived(conn); n == 0 {
		r.arrived = true
	} else {
		c.Logf("client of %s: the sidecar's machine has not acknowledged the last %d bytes", id, n)
	}
	conn.SetReadDeadline(written.Add(deadline + listenOn))
	a := standin.ReadAnswer(bufio.NewReader(conn))
	r.answered, r.after = a.Err == nil, time.Since(written)
	c.Logf("client of %s hears %s, %d ms after its last byte", id, a, r.after.Milliseconds())
	return r
}

func play(c *standin.Case) (code int, verdict string) {
	var all []*server
	var hosts []standin.Object
	for i := range servers {
		s := &server{c: c, name: fmt.Sprintf("s-%d", i+1)}
		all = append(all, s)
		hosts = append(hosts, standin.Host(s.name, standin.Listen(s.serve), "a", 0))
	}
	settings := standin.Settings(len(bodyBytes),
		standin.Object{"Name": "fetch-replay", "Semantics": "idempotent", "AimUs": 500000, "DeadlineUs": 2500000, "LateShare": 0.3, "Worth": 3},
		standin.Object{
			"Name": class, "Semantics": "deduplicated", "Group": "zone", "WindowUs": 2500000, "AimUs": 800000,
			"DeadlineUs": deadline.Microseconds(), "LateShare": 0.25, "Worth": 8,
		})
	discovery := c.Discovery(hosts...)
	var nodes []*standin.Node
	for i := range bodyBytes {
		nodes = append(nodes, c.Start(fmt.Sprintf("n%d", i+1), standin.FreeAddress(), discovery, settings, ""))
	}
	for _, n := range nodes {
		n.WaitReady()
		for i := range warmUps {
			if r := upload(c, n, fmt.Sprintf("warm-%s-%d", n.Name, i), 1000); !r.answered {
				return standin.Void, "a request was not answered before the disruption"
			}
		}
	}
	if c.Trouble {
		c.Logf("%s hangs from now on", all[0].name)
		all[0].hung.Store(true)
	}
	var mu sync.Mutex
	var results []result
	var clients sync.WaitGroup
	for i := range uploads {
		for k, n := range nodes {
			clients.Go(func() {
				r := upload(c, n, fmt.Sprintf("u%d-%02d", k+1, i), bodyBytes[k])
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
			})
		}
		time.Sleep(interval)
	}
	clients.Wait()
	for _, n := range nodes {
		if !n.Running() {
			return standin.Broken, "sidecar " + n.Name + " has ended"
		}
	}
	taken, lost, arrived, latest := 0, 0, 0, time.Duration(0)
	for _, r := range results {
		if !r.taken {
			continue
		}
		taken++
		latest = max(latest, r.after)
		if !r.answered || r.after > deadline+graceAfterDeadline {
			lost++
			if r.arrived {
				arrived++
			}
			c.Logf("%s is lost: no final answer within %d ms after its last byte", r.id, (deadline + graceAfterDeadline).Milliseconds())
		}
	}
	switch {
	case lost > 0:
		return standin.Broken, fmt.Sprintf("%d of %d requests taken got no answer in time, the latest after %d ms; of %d the sidecar's machine had all bytes",
			lost, taken, latest.Milliseconds(), arrived)
	case taken < len(nodes)*uploads/2:
		return standin.Void, fmt.Sprintf("only %d requests were taken", taken)
	}
	return standin.Held, fmt.Sprintf("%d requests taken, all answered in time, the latest after %d ms", taken, latest.Milliseconds())
}

func main() { standin.Run("review/2", play) }
