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

// pause stops the program, and returns once none of its threads runs.
func (p *program) pause(t *testing.T) {
	t.Helper()
	p.signal(syscall.SIGSTOP)
	eventually(t, "a program that stands still", func() bool {
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

// hasLeft tells, by the system's own word, that the end of a client's connection has come to the program.
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
	return true // reset
}

// inTable is an address as /proc/net/tcp has it.
func procNetAddr(t *testing.T, addr string) string {
	t.Helper()
	a, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	host := binary.NativeEndian.AppendUint32(nil, binary.BigEndian.Uint32(a.IP.To4()))
	return fmt.Sprintf("%08X:%04X", binary.BigEndian.Uint32(host), a.Port)
}

// disconnectingClient is a client that leaves before it has its answer.
type disconnectingClient struct {
	*net.TCPConn
	id, class string
	reset     bool // it leaves by a reset
	pipelined bool // it has sent more in advance than is read on
}

// leavers are one for each way of leaving.
func (p *program) newDisconnectingClients(t *testing.T, class string) (all []*disconnectingClient) {
	t.Helper()
	for way := range 4 {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		all = append(all, &disconnectingClient{c.(*net.TCPConn), fmt.Sprint("leaver-", way), class, way%2 == 1, way >= 2})
	}
	return all
}

// requestText is its request with so many bytes of body.
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

// asks sends its request, and what it sends in advance.
func (l *disconnectingClient) send(t *testing.T, text string) {
	t.Helper()
	if l.pipelined {
		text += strings.Repeat("GET /look HTTP/1.1\r\n", 48<<10/20)
	}
	if _, err := io.WriteString(l, text); err != nil {
		t.Fatal(err)
	}
}

const settleDelay = 50 * time.Millisecond

// askAll has all of them ask.
func sendAll(t *testing.T, all []*disconnectingClient) {
	t.Helper()
	for _, l := range all {
		l.send(t, l.requestText(l.id, 0))
	}
}

// leave has them leave a program that stands still, and returns once the end of each has come to it.
func (p *program) disconnect(t *testing.T, all []*disconnectingClient) {
	t.Helper()
	for _, l := range all {
		if l.reset {
			l.SetLinger(0)
		}
		l.Close()
	}
	for _, l := range all {
		eventually(t, "the end of "+l.id, func() bool { return p.hasSeenClose(t, l.LocalAddr()) })
	}
}

// waitingPlace is a place where requests wait while the program stands still.
type waitScenario struct {
	p              *program
	s              *standin.Server                              // whose record counts
	attemptsBefore int                                          // times that a leaver came to it before it left
	unblock        func(*testing.T, []*disconnectingClient)     // what it waits for comes; nil: nothing more has to
	send           func(t *testing.T, _ []*disconnectingClient) // nil: each asks, and has a moment to come to its place
}

// before starts a program with one server at the address that dial makes of the stand-in's.
func (s *setup) startProgram(t *testing.T, _ *standin.Server, dial, oldSettings, newSettings string) *program {
	t.Helper()
	p := start(t, startDiscovery(t).addr, &list{Seq: 41, Whole: true, Hosts: []host{hostAt("s1", dial, "Ready")}}, func(c map[string]any) {
		c["settings"] = json.RawMessage(strings.Replace(settings, oldSettings, newSettings, 1))
		c["environment"] = s.environment
	})
	p.waitReady(t)
	return p
}

// stage is how a program is started.
type setup struct{ environment string }

// unread has them ask a program that stands still already.
func (s *setup) unreadRequest(t *testing.T) *waitScenario {
	server := standin.NewServer(t, standin.Yes)
	w := &waitScenario{p: s.startProgram(t, server, server.Addr, "", ""), s: server}
	w.send = func(t *testing.T, all []*disconnectingClient) {
		w.p.pause(t)
		sendAll(t, all)
	}
	return w
}

// kept is the same on connections, to both sides, that have carried a request.
func (s *setup) unreadRequestOnKeepAlive(t *testing.T) *waitScenario {
	w := s.unreadRequest(t)
	w.send = func(t *testing.T, all []*disconnectingClient) {
		for _, l := range all {
			io.WriteString(l, l.requestText("before-"+l.id, 0))
			resp, err := http.ReadResponse(bufio.NewReader(l), nil)
			if err != nil || resp.StatusCode != 200 {
				t.Fatal(resp, err)
			}
		}
		w.p.pause(t)
		sendAll(t, all)
	}
	return w
}

// halfBody has them send the rest of a body to a program that stands still.
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

// behindColdServer has them wait in the module for the ration of a behindColdServer server, until the list has another one.
func (s *setup) behindColdServer(t *testing.T) *waitScenario {
	cold, server := standin.NewServer(t, standin.Yes), standin.NewServer(t, standin.Yes)
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
		go func() { // a program that stood still for long finds its watch silent, and opens another
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

// duringDial has them wait for connections to come up.
func (s *setup) duringDial(t *testing.T) *waitScenario {
	server := standin.NewServer(t, standin.Yes)
	addr, accept := standin.Crowded(t, server.Addr)
	p := s.startProgram(t, server, addr, `"DialTimeoutUs":250000`, `"DialTimeoutUs":19000000`)
	return &waitScenario{p: p, s: server, unblock: func(*testing.T, []*disconnectingClient) { accept() }}
}

// tries has them out at a server that says, once they have left, that they never ran, or hangs up.
func (s *setup) betweenAttempts(t *testing.T, answer func(*net.TCPConn) bool) *waitScenario {
	release := make(chan bool)
	server := standin.NewServer(t, func(c *net.TCPConn, r *http.Request) bool {
		if !strings.HasPrefix(r.Header.Get("Req-Id"), "leaver") {
			return standin.Yes(c, r)
		}
		<-release
		return answer(c)
	})
	w := &waitScenario{p: s.startProgram(t, server, server.Addr, "", ""), s: server, attemptsBefore: 1}
	w.unblock = func(*testing.T, []*disconnectingClient) { close(release) }
	w.send = func(t *testing.T, all []*disconnectingClient) {
		sendAll(t, all)
		for _, l := range all {
			eventually(t, l.id+" at the server", func() bool { return server.Got(l.id) == 1 })
		}
	}
	return w
}

func (s *setup) betweenAttemptsDeclined(t *testing.T) *waitScenario {
	return s.betweenAttempts(t, func(c *net.TCPConn) bool { return standin.Say(c, 503, standin.Declined, "") })
}

func (s *setup) betweenAttemptsClosed(t *testing.T) *waitScenario {
	return s.betweenAttempts(t, func(*net.TCPConn) bool { return false })
}

// No attempt, first or further, begins for a client that has left, wherever its request was when it left. The program stands
// still while the clients leave and what their requests wait for comes, as one does that lacks processor time: then the two
// lie before it at once, and which it sees first is not the test's to say. Guards against an attempt that goes before the
// goroutine that watches its client, and against an end behind bytes that nobody reads.
func TestNoAttemptForDisconnectedClients(t *testing.T) {
	for _, scenario := range []struct {
		name  string
		begin func(*setup, *testing.T) *waitScenario
	}{
		{"not read yet", (*setup).unreadRequest},
		{"not read yet, on kept connections", (*setup).unreadRequestOnKeepAlive},
		{"half a body read", (*setup).halfReadBody},
		{"behind a cold server's ration", (*setup).behindColdServer},
		{"for a dial", (*setup).duringDial},
		{"between two tries, declined", (*setup).betweenAttemptsDeclined},
		{"between two tries, hung up", (*setup).betweenAttemptsClosed},
	} {
		for environment, classes := range map[string][]string{"GOMAXPROCS=1": {"look", "make", "once"}, "GOMAXPROCS=4": {"make"}} {
			for _, class := range classes {
				t.Run(scenario.name+"/"+environment+"/"+class, func(t *testing.T) {
					t.Parallel() // each waits for a drain
					w := scenario.begin(&setup{environment}, t)
					all := w.p.newDisconnectingClients(t, class)
					if w.send != nil {
						w.send(t, all)
					} else {
						sendAll(t, all)
						time.Sleep(settleDelay) // where they are by then decides what is tested, not the verdict
					}
					w.p.pause(t)
					w.p.disconnect(t, all)
					if w.unblock != nil {
						w.unblock(t, all)
					}
					w.p.signal(syscall.SIGCONT)
					eventually(t, "a usual request served", func() bool { status, _ := w.p.sendRequest(t); return status == 200 })
					w.p.signal(syscall.SIGTERM)
					w.p.waitExit(t) // nothing comes after that
					for _, l := range all {
						if n := w.s.Got(l.id); n != w.attemptsBefore {
							t.Errorf("%s (reset %v, behind %v) came %d times, want %d", l.id, l.reset, l.pipelined, n, w.attemptsBefore)
						}
					}
				})
			}
		}
	}
}
