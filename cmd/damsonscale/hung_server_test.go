package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against review case 9: long answers were cut when their server hung for over 5 s and then went on. The test waits each hang
// out, in each framing.
func TestLongAnswerSurvivesAHungServer(t *testing.T) {
	t.Parallel()
	body := patternBytes(300_000)
	for _, framing := range responseFramings(len(body)) {
		for _, hang := range []time.Duration{6 * time.Second, 25 * time.Second, 40 * time.Second} {
			t.Run(fmt.Sprint(framing.name, ", ", hang), func(t *testing.T) {
				t.Parallel()
				resume := make(chan bool)
				p, resp := startStream(t, framing, body[:100_000], body[100_000:], resume)
				time.AfterFunc(hang, func() { close(resume) })
				if got, err := io.ReadAll(resp.Body); err != nil || !bytes.Equal(got, body) {
					t.Fatalf("client got %d bytes, error %v, want the server's %d bytes; log:\n%s", len(got), err, len(body), p.log.String())
				}
			})
		}
	}
}

// Guards against review case 9 in upgrades: a long answer whose server hangs is handed over, by each process that waits for the
// server, and is whole when the server goes on.
func TestHungServerSurvivesUpgrades(t *testing.T) {
	t.Parallel()
	body := patternBytes(300_000)
	for _, framing := range responseFramings(len(body)) {
		t.Run(framing.name, func(t *testing.T) {
			t.Parallel()
			resume := make(chan bool)
			p, resp := startStream(t, framing, body[:100_000], body[100_000:], resume)
			for range 2 {
				time.Sleep(9 * time.Second)
				p = p.upgrade(t)
			}
			time.Sleep(9 * time.Second)
			close(resume)
			if got, err := io.ReadAll(resp.Body); err != nil || !bytes.Equal(got, body) {
				t.Fatalf("client got %d bytes, error %v, want the server's %d bytes; last process:\n%s", len(got), err, len(body), p.log.String())
			}
		})
	}
}

// silentAnswers are clients whose long answers have begun and then fallen silent.
type silentAnswers struct {
	open    []net.Conn
	whole   []byte
	outcome chan error
	refused int
}

// askForAnswer asks on a new connection for an answer of a size that the server understands, and reads its head.
func (p *program) askForAnswer(t *testing.T, size string) (*clientConn, *http.Response) {
	t.Helper()
	conn := p.dial(t)
	conn.SetDeadline(time.Now().Add(4 * testTimeout))
	fmt.Fprintf(conn, "GET /look?size=%s HTTP/1.1\r\nHost: h\r\nReq-Owner: t\r\nReq-Id: %s\r\nReq-Deadline-Ms: 2000\r\n\r\n", size, requestID())
	resp, err := http.ReadResponse(conn.br, nil)
	if err != nil {
		t.Fatalf("head of an answer: %v", err)
	}
	return conn, resp
}

// begin asks for a long answer on a new connection and, if it has begun, reads it to its end in the background.
func (a *silentAnswers) begin(t *testing.T, p *program) {
	t.Helper()
	conn, resp := p.askForAnswer(t, "long")
	if resp.StatusCode != http.StatusOK {
		a.refused++
		conn.Close()
		return
	}
	a.open = append(a.open, conn)
	go func() {
		got, err := io.ReadAll(resp.Body)
		if err == nil && !bytes.Equal(got, a.whole) {
			err = fmt.Errorf("got %d bytes, want %d", len(got), len(a.whole))
		}
		a.outcome <- err
	}()
}

// startBesideSilentAnswers starts the program with the given memory, and a server that hangs in long answers until resume is closed and
// gives short ones at once. It asks for so many long answers.
func startBesideSilentAnswers(t *testing.T, memoryMB, answers int) (p *program, silent *silentAnswers, resume chan struct{}) {
	t.Helper()
	body := patternBytes(100_000)
	resume = make(chan struct{})
	addr := serveScripted(t, func(r *http.Request, c net.Conn) {
		if r.URL.Query().Get("size") != "long" {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
			return
		}
		c.SetDeadline(time.Now().Add(4 * testTimeout))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
		c.Write(body[:30_000])
		<-resume
		c.Write(body[30_000:])
	})
	d := startDiscovery(t)
	p = start(t, d.addr, &list{Seq: 41, Whole: true, Hosts: []host{hostAt("s1", addr, "Ready")}}, withLimits(t, memoryMB))
	p.waitReady(t)
	silent = &silentAnswers{whole: body, outcome: make(chan error, answers)}
	for range answers {
		silent.begin(t, p)
	}
	return p, silent, resume
}

// Short requests are served beside as many silent answers as the process takes, within its memory and descriptors; when the server
// goes on, all answers that had begun are whole.
func TestShortRequestsAreServedBesideSilentAnswers(t *testing.T) {
	for _, memoryMB := range []int{32, 192} {
		t.Run(fmt.Sprint(memoryMB, " MB"), func(t *testing.T) {
			t.Parallel()
			const hang = 20 * time.Second
			p, silent, resume := startBesideSilentAnswers(t, memoryMB, 200)
			began := len(silent.open)
			t.Logf("%d long answers have begun, %d were refused", began, silent.refused)
			if began < 20 {
				t.Errorf("got %d long answers begun, want at least 20", began)
			}
			plain, stopPlain := startPlainClients(p.addr)
			time.Sleep(hang)
			stopPlain()
			plain.check(t, false)
			close(resume)
			for range began {
				if err := <-silent.outcome; err != nil {
					t.Errorf("long answer: %v; log:\n%s", err, p.log.String())
					break
				}
			}
			p.checkPeakMemory(t, memoryMB)
		})
	}
}

// placesBackTime is the time in which clients that have left must have given their places back: they are looked for each second, from
// 5 s of silence on.
const placesBackTime = 8 * time.Second

// Clients that leave while their server is silent give their places back: otherwise a server that hangs for good would take them all.
func TestClientsOfSilentAnswersGiveTheirPlacesBack(t *testing.T) {
	t.Parallel()
	const memoryMB, answers = 32, 200
	p, silent, resume := startBesideSilentAnswers(t, memoryMB, answers)
	defer close(resume)
	if silent.refused == 0 {
		t.Fatalf("none of %d long answers was refused, want more than there are places", answers)
	}
	for _, c := range silent.open {
		c.Close()
	}
	left, places := time.Now(), len(silent.open)
	again := &silentAnswers{whole: silent.whole, outcome: make(chan error, answers)}
	for time.Since(left) < placesBackTime && len(again.open) < places/2 {
		again.begin(t, p)
		time.Sleep(5 * time.Millisecond)
	}
	if got := len(again.open); got < places/2 {
		t.Errorf("got %d places back within %v, want at least %d of %d", got, placesBackTime, places/2, places)
	}
}

// Where places are short, an answer that has been silent for longer than a vanished host is waited for makes room for a new one.
func TestLongSilentAnswerMakesRoom(t *testing.T) {
	t.Parallel()
	const memoryMB, answers = 32, 200
	p, silent, resume := startBesideSilentAnswers(t, memoryMB, answers)
	defer close(resume)
	begun, refused := len(silent.open), silent.refused
	if refused == 0 {
		t.Fatalf("none of %d long answers was refused, want more than there are places", answers)
	}
	time.Sleep(31 * time.Second)
	for range 10 {
		silent.begin(t, p)
	}
	if got := len(silent.open) - begun; got != 10 {
		t.Errorf("got %d of 10 long answers begun beside %d silent ones, want all", got, begun)
	}
	p.waitForLog(t, "cause=evicted")
}
