package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"damsonscale/internal/lab/standin"
)

// pause stops the program with SIGSTOP, and returns once all of its threads are stopped.
func (p *program) pause(t *testing.T) {
	t.Helper()
	p.signal(syscall.SIGSTOP)
	eventually(t, "all threads of the program to stop", func() bool {
		tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
		for _, task := range tasks {
			stat, err := os.ReadFile(task)
			if _, state, _ := strings.Cut(string(stat), ") "); err == nil && !strings.HasPrefix(state, "T") {
				return false
			}
		}
		return len(tasks) > 0
	})
}

// hasSeenClose reports whether the kernel has delivered the end of a client's connection to the program. It reads /proc/net/tcp.
func (p *program) hasSeenClose(t *testing.T, client net.Addr) bool {
	t.Helper()
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	const closeWait = "08"
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) > 3 && f[1] == procNetAddr(t, p.addr) && f[2] == procNetAddr(t, client.String()) {
			return f[3] == closeWait
		}
	}
	return true // no entry: the connection was reset
}

// procNetAddr returns addr in the format of /proc/net/tcp.
func procNetAddr(t *testing.T, addr string) string {
	t.Helper()
	a, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	host := binary.NativeEndian.AppendUint32(nil, binary.BigEndian.Uint32(a.IP.To4()))
	return fmt.Sprintf("%08X:%04X", binary.BigEndian.Uint32(host), a.Port)
}

// disconnectingClient is a client that disconnects before it gets its response.
type disconnectingClient struct {
	*net.TCPConn
	id, class string
	reset     bool // it closes the connection with a reset
	pipelined bool // it sends more bytes after its request than the sidecar reads ahead
}

// newDisconnectingClients connects one client for each combination of reset and pipelined.
func (p *program) newDisconnectingClients(t *testing.T, class string) (all []*disconnectingClient) {
	t.Helper()
	for way := range 4 {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		all = append(all, &disconnectingClient{c.(*net.TCPConn), fmt.Sprint("client-", way), class, way%2 == 1, way >= 2})
	}
	return all
}

// requestText returns the client's request with a body of the given size in bytes.
func (l *disconnectingClient) requestText(id string, body int) string {
	head := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nReq-Owner: t\r\nReq-Id: %s\r\nReq-Deadline-Ms: 20000\r\nContent-Length: %d\r\n", l.class, id, body)
	switch l.class {
	case "look":
		head = strings.Replace(head, "POST", "GET", 1)
	case "make":
		head += "Idempotency-Key: k-" + id + "\r\n"
	}
	return head + "\r\n" + strings.Repeat("b", body)
}

// send writes text, followed by the pipelined bytes if the client sends any.
func (l *disconnectingClient) send(t *testing.T, text string) {
	t.Helper()
	if l.pipelined {
		text += strings.Repeat("GET /look HTTP/1.1\r\n", 48<<10/20)
	}
	if _, err := io.WriteString(l, text); err != nil {
		t.Fatal(err)
	}
}

const settleDelay = 50 * time.Millisecond // time for the program to read the sent bytes and reach the state under test

// sendAll sends the request of every client.
func sendAll(t *testing.T, all []*disconnectingClient) {
	t.Helper()
	for _, l := range all {
		l.send(t, l.requestText(l.id, 0))
	}
}

// disconnect closes the connections of all clients while the program is stopped, and returns once the kernel has delivered the end
// of each connection.
func (p *program) disconnect(t *testing.T, all []*disconnectingClient) {
	t.Helper()
	for _, l := range all {
		if l.reset {
			l.SetLinger(0)
		}
		l.Close()
	}
	for _, l := range all {
		eventually(t, "the program to see the disconnect of "+l.id, func() bool { return p.hasSeenClose(t, l.LocalAddr()) })
	}
}

// waitScenario is a state in which requests wait in the program, and what ends that wait.
type waitScenario struct {
	p              *program
	s              *standin.Server                              // the server whose attempts are counted
	attemptsBefore int                                          // attempts for each client before it disconnects
	unblock        func(*testing.T, []*disconnectingClient)     // ends the wait; nil: resuming the program is enough
	send           func(t *testing.T, _ []*disconnectingClient) // sends the requests; nil: sendAll, then settleDelay
}

// startProgram starts a program that knows one server, at address dial, with one edit to its settings.
func (s *setup) startProgram(t *testing.T, _ *standin.Server, dial, oldSettings, newSettings string) *program {
	t.Helper()
	p := start(t, startDiscovery(t).addr, &list{Seq: 41, Whole: true, Hosts: []host{hostAt("s1", dial, "Ready")}}, func(c map[string]any) {
		c["settings"] = json.RawMessage(strings.Replace(settings, oldSettings, newSettings, 1))
		c["environment"] = s.environment
	})
	p.waitReady(t)
	return p
}

// setup holds the environment in which a program is started.
type setup struct{ environment string }

// unreadRequest sends the requests to a program that is stopped already.
func (s *setup) unreadRequest(t *testing.T) *waitScenario {
	server := standin.NewServer(t, standin.EchoRequestID)
	w := &waitScenario{p: s.startProgram(t, server, server.Addr, "", ""), s: server}
	w.send = func(t *testing.T, all []*disconnectingClient) {
		w.p.pause(t)
		sendAll(t, all)
	}
	return w
}

// unreadRequestOnKeepAlive is unreadRequest on keep-alive connections, on the client's side and on the server's.
func (s *setup) unreadRequestOnKeepAlive(t *testing.T) *waitScenario {
	w := s.unreadRequest(t)
	w.send = func(t *testing.T, all []*disconnectingClient) {
		for _, l := range all {
			io.WriteString(l, l.requestText("before-"+l.id, 0))
			resp, err := http.ReadResponse(bufio.NewReader(l), nil)
			if err != nil || resp.StatusCode != 200 {
				t.Fatalf("first request on %s: got response %v, error %v, want status 200", l.id, resp, err)
			}
		}
		w.p.pause(t)
		sendAll(t, all)
	}
	return w
}

// halfReadBody sends the second part of each body to a program that is stopped.
func (s *setup) halfReadBody(t *testing.T) *waitScenario {
	w := s.unreadRequest(t)
	const body, first = 20 << 10, 12 << 10
	w.send = func(t *testing.T, all []*disconnectingClient) {
		for _, l := range all {
			io.WriteString(l, l.requestText(l.id, body)[:first])
		}
		time.Sleep(settleDelay)
		w.p.pause(t)
		for _, l := range all {
			l.send(t, l.requestText(l.id, body)[first:])
		}
	}
	return w
}

// behindColdServer keeps the requests waiting in the balancer for slow start tokens of a cold server, until the list has another
// server.
func (s *setup) behindColdServer(t *testing.T) *waitScenario {
	cold, server := standin.NewServer(t, standin.EchoRequestID), standin.NewServer(t, standin.EchoRequestID)
	d, h := startDiscovery(t), hostAt("s1", cold.Addr, "Ready")
	h.Born = time.Now().UnixMilli()
	p := start(t, d.addr, nil, func(c map[string]any) {
		c["settings"] = json.RawMessage(strings.NewReplacer(`"on_request"`, `"pushed"`,
			`"ColdFrom":0.5,"ColdUs":5000000`, `"ColdFrom":0.1,"ColdUs":3600000000`).Replace(settings))
		c["environment"] = s.environment
	})
	<-d.watches
	d.sendList(t, list{Seq: 41, Whole: true, Hosts: []host{h}})
	p.waitReady(t)
	return &waitScenario{p: p, s: server, unblock: func(t *testing.T, _ []*disconnectingClient) {
		next := list{Seq: 42, Hosts: []host{hostAt("s2", server.Addr, "Ready")}}
		d.sendList(t, next)
		text, _ := json.Marshal(next)
		go func() { // a program stopped for long finds its watch silent and opens another, which must get the list too
			for {
				select {
				case <-d.watches:
				case <-t.Context().Done():
					return
				}
				select {
				case d.lines <- string(text):
				case <-t.Context().Done():
					return
				}
			}
		}()
	}}
}

// duringDial keeps the requests waiting for connections to the server.
func (s *setup) duringDial(t *testing.T) *waitScenario {
	server := standin.NewServer(t, standin.EchoRequestID)
	addr, accept := standin.FullBacklogProxy(t, server.Addr)
	p := s.startProgram(t, server, addr, `"DialTimeoutUs":250000`, `"DialTimeoutUs":19000000`)
	return &waitScenario{p: p, s: server, unblock: func(*testing.T, []*disconnectingClient) { accept() }}
}

// betweenAttempts keeps one attempt of each request at a server, which ends it with answer once the clients have disconnected.
func (s *setup) betweenAttempts(t *testing.T, answer func(*net.TCPConn) bool) *waitScenario {
	release := make(chan bool)
	server := standin.NewServer(t, func(c *net.TCPConn, r *http.Request) bool {
		if !strings.HasPrefix(r.Header.Get("Req-Id"), "client") {
			return standin.EchoRequestID(c, r)
		}
		<-release
		return answer(c)
	})
	w := &waitScenario{p: s.startProgram(t, server, server.Addr, "", ""), s: server, attemptsBefore: 1}
	w.unblock = func(*testing.T, []*disconnectingClient) { close(release) }
	w.send = func(t *testing.T, all []*disconnectingClient) {
		sendAll(t, all)
		for _, l := range all {
			eventually(t, "the attempt of "+l.id+" to reach the server", func() bool { return server.RequestCount(l.id) == 1 })
		}
	}
	return w
}

func (s *setup) betweenAttemptsDeclined(t *testing.T) *waitScenario {
	return s.betweenAttempts(t, func(c *net.TCPConn) bool { return standin.WriteResponse(c, 503, standin.DeclinedHeader, "") })
}

func (s *setup) betweenAttemptsClosed(t *testing.T) *waitScenario {
	return s.betweenAttempts(t, func(*net.TCPConn) bool { return false })
}

// No attempt, first or later, starts for a client that has disconnected, whatever its request waits for at that time. The program is
// stopped while the clients disconnect and the wait ends, as happens to a process short of CPU time: when it resumes, both events are
// pending and it may see either one first. The test guards against an attempt that starts before the goroutine that watches the
// client has run, and against a disconnect that is not noticed because unread bytes precede it.
func TestNoAttemptForDisconnectedClients(t *testing.T) {
	for _, scenario := range []struct {
		name  string
		begin func(*setup, *testing.T) *waitScenario
	}{
		{"not read yet", (*setup).unreadRequest},
		{"not read yet, on keep-alive connections", (*setup).unreadRequestOnKeepAlive},
		{"half a body read", (*setup).halfReadBody},
		{"waiting for slow start tokens of a cold server", (*setup).behindColdServer},
		{"waiting for a dial", (*setup).duringDial},
		{"between two attempts, first declined", (*setup).betweenAttemptsDeclined},
		{"between two attempts, first closed", (*setup).betweenAttemptsClosed},
	} {
		for environment, classes := range map[string][]string{"GOMAXPROCS=1": {"look", "make", "once"}, "GOMAXPROCS=4": {"make"}} {
			for _, class := range classes {
				t.Run(scenario.name+"/"+environment+"/"+class, func(t *testing.T) {
					t.Parallel() // each case waits for a drain
					w := scenario.begin(&setup{environment}, t)
					all := w.p.newDisconnectingClients(t, class)
					if w.send != nil {
						w.send(t, all)
					} else {
						sendAll(t, all)
						time.Sleep(settleDelay) // decides only which state is tested, not whether the test passes
					}
					w.p.pause(t)
					w.p.disconnect(t, all)
					if w.unblock != nil {
						w.unblock(t, all)
					}
					w.p.signal(syscall.SIGCONT)
					eventually(t, "a request to be served after the resume", func() bool { status, _ := w.p.sendRequest(t); return status == 200 })
					w.p.signal(syscall.SIGTERM)
					w.p.waitExit(t) // no attempt can follow
					for _, l := range all {
						if n := w.s.RequestCount(l.id); n != w.attemptsBefore {
							t.Errorf("%s (reset %v, pipelined %v): server got %d attempts, want %d", l.id, l.reset, l.pipelined, n, w.attemptsBefore)
						}
					}
				})
			}
		}
	}
}
