//go:build review

// Command 2 has clients that read long answers slowly and steadily, and looks whether each answer comes whole.
package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"damsonscale/review/standin"
)

const (
	class    = "fetch-replay"
	deadline = 2500 * time.Millisecond

	servers     = 3
	answerBytes = 11 << 20
	readEvery   = 50 * time.Millisecond
	runTime     = 100 * time.Second
	warmUps     = 30
	alongside   = 200 * time.Millisecond // interval of short requests during the run
)

// rates are the clients' rates of reading, in bytes a second.
var rates = []int{128_000, 128_000, 192_000, 192_000}

// answer returns the answer to a long request.
func answer(id string) []byte {
	line := []byte(id + " 0123456789abcdef\n")
	return bytes.Repeat(line, answerBytes/len(line)+1)[:answerBytes]
}

// serve answers each request at once.
func serve(c *standin.Case, name string, conn *net.TCPConn) {
	for br := bufio.NewReader(conn); ; {
		r, err := standin.ReadRequest(br)
		if err != nil {
			return
		}
		if r.ID()[0] != 'd' {
			if standin.WriteAnswer(conn, "replay "+r.ID()) != nil {
				return
			}
			continue
		}
		c.Logf("%s answers %s with %d bytes", name, r.ID(), answerBytes)
		body := answer(r.ID())
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
		if n, err := conn.Write(body); err != nil {
			c.Logf("%s: the sidecar ended the connection of %s after %d bytes: %v", name, r.ID(), n, err)
			return
		}
		c.Logf("%s has written the answer to %s", name, r.ID())
	}
}

func get(address, id string) (*http.Response, net.Conn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	fmt.Fprintf(conn, "GET /%s/x?obj=%s HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\nReq-Owner: acme\r\nReq-Deadline-Ms: %d\r\n\r\n",
		class, id, id, deadline.Milliseconds())
	conn.SetReadDeadline(time.Now().Add(deadline))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return response, conn, err
}

// short sends a short request and reports whether it was served.
func short(address, id string) bool {
	response, conn, err := get(address, id)
	if conn != nil {
		defer conn.Close()
	}
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// download sends a request and reads its long answer at a rate in bytes a second; 0 is as fast as it comes. It returns whether the answer
// has begun, and whether it was cut.
func download(c *standin.Case, address, id string, rate int, end time.Time) (begun, cut bool) {
	response, conn, err := get(address, id)
	if conn != nil {
		defer conn.Close()
	}
	if err != nil || response.StatusCode != http.StatusOK {
		c.Logf("client of %s: the answer does not begin: %v", id, err)
		return false, false
	}
	c.Logf("client of %s hears 200 and reads %d bytes a second", id, rate)
	conn.SetReadDeadline(time.Time{})
	sum, size, start, longest := sha256.New(), 0, time.Now(), time.Duration(0)
	buf := make([]byte, 64<<10)
	if rate > 0 {
		buf = buf[:int(float64(rate)*readEvery.Seconds())]
	}
	for {
		before := time.Now()
		n, err := io.ReadFull(response.Body, buf)
		longest = max(longest, time.Since(before))
		sum.Write(buf[:n])
		size += n
		if err != nil && (err == io.EOF || size == answerBytes) {
			break
		}
		if err != nil {
			c.Logf("client of %s: the answer is cut after %d of %d bytes, %.1f s after its begin: %v", id, size, answerBytes,
				time.Since(start).Seconds(), err)
			return true, true
		}
		if time.Now().After(end) {
			c.Logf("client of %s has %d bytes at the end of the run, the answer still comes", id, size)
			return true, false
		}
		if rate > 0 {
			time.Sleep(time.Until(start.Add(time.Duration(float64(size) / float64(rate) * float64(time.Second)))))
		}
	}
	expected := sha256.Sum256(answer(id))
	whole := bytes.Equal(sum.Sum(nil), expected[:])
	c.Logf("client of %s has the answer, %d bytes in %.1f s, as the server made it: %v; it waited for bytes for %d ms at the most", id, size,
		time.Since(start).Seconds(), whole, longest.Milliseconds())
	return true, !whole
}

func play(c *standin.Case) (code int, verdict string) {
	var hosts []standin.Object
	for i := range servers {
		name := fmt.Sprintf("s-%d", i+1)
		hosts = append(hosts, standin.Host(name, standin.Listen(func(conn *net.TCPConn) { serve(c, name, conn) }), "a", 0))
	}
	settings := standin.Settings(1,
		standin.Object{
			"Name": class, "Semantics": "idempotent", "AimUs": 500000, "DeadlineUs": deadline.Microseconds(), "LateShare": 0.3, "Worth": 3,
		})
	n := c.Start("n1", standin.FreeAddress(), c.Discovery(hosts...), settings, "")
	n.WaitReady()
	for i := range warmUps {
		short(n.Listen, fmt.Sprintf("warm-%d", i))
	}
	end := time.Now().Add(runTime)
	var mu sync.Mutex
	var clients sync.WaitGroup
	begun, cuts := 0, 0
	for i, rate := range rates {
		if !c.Trouble {
			rate = 0
		}
		clients.Go(func() {
			b, cut := download(c, n.Listen, fmt.Sprintf("d%02d", i), rate, end)
			mu.Lock()
			defer mu.Unlock()
			if b {
				begun++
			}
			if cut {
				cuts++
			}
		})
	}
	done := make(chan struct{})
	go func() {
		clients.Wait()
		close(done)
	}()
	served, sent := 0, 0
	for running := true; running; {
		if sent++; short(n.Listen, fmt.Sprintf("short-%d", sent)) {
			served++
		}
		select {
		case <-done:
			running = false
		case <-time.After(alongside):
		}
	}
	c.Logf("beside them, %d of %d short requests were served", served, sent)
	switch {
	case !n.Running():
		return standin.Broken, "the sidecar has ended"
	case begun == 0:
		return standin.Void, "no answer has begun"
	case cuts > 0:
		return standin.Broken, fmt.Sprintf("%d of %d answers were cut off while the server still gave them and the client read", cuts, begun)
	}
	return standin.Held, fmt.Sprintf("none of %d answers was cut", begun)
}

func main() { standin.Run("review/2", play) }
