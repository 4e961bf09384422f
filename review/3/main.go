//go:build review

// Command 3 upgrades a sidecar twice while clients receive long answers, and looks whether each answer comes whole.
package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"damsonscale/review/standin"
)

const (
	class    = "fetch-replay"
	deadline = 2500 * time.Millisecond

	servers      = 3
	downloads    = 6
	answerBytes  = 12 << 20
	pieceBytes   = 32 << 10
	pieceEvery   = 125 * time.Millisecond // 256 KiB a second, so an answer takes about 48 s
	firstAt      = 2 * time.Second
	betweenSteps = 20 * time.Second
	killAfter    = deadline + 700*time.Millisecond // from SIGTERM to SIGKILL
	stallTimeout = 20 * time.Second
	warmUps      = 30
)

// answer returns the answer to a request.
func answer(id string, size int) []byte {
	line := []byte(id + " 0123456789abcdef\n")
	return bytes.Repeat(line, size/len(line)+1)[:size]
}

// serve answers short requests at once, and long ones slowly.
func serve(c *standin.Case, name string, conn *net.TCPConn) {
	for br := bufio.NewReader(conn); ; {
		r, err := standin.ReadRequest(br)
		if err != nil {
			return
		}
		if bytes.HasPrefix([]byte(r.ID()), []byte("warm")) {
			if standin.WriteAnswer(conn, "replay "+r.ID()) != nil {
				return
			}
			continue
		}
		c.Logf("%s answers %s with %d bytes", name, r.ID(), answerBytes)
		body := answer(r.ID(), answerBytes)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body)); err != nil {
			return
		}
		for len(body) > 0 {
			n := min(len(body), pieceBytes)
			if _, err := conn.Write(body[:n]); err != nil {
				c.Logf("%s: the connection of %s ends with %d bytes to write: %v", name, r.ID(), len(body), err)
				return
			}
			body = body[n:]
			time.Sleep(pieceEvery)
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

// download sends a request and reads its long answer. It returns whether the answer has begun, and whether it came whole.
func download(c *standin.Case, address, id string) (begun, whole bool) {
	response, conn, err := get(address, id)
	if conn != nil {
		defer conn.Close()
	}
	if err != nil {
		c.Logf("client of %s: no answer: %v", id, err)
		return false, false
	}
	if response.StatusCode != http.StatusOK {
		c.Logf("client of %s hears %d", id, response.StatusCode)
		return false, false
	}
	c.Logf("client of %s hears 200, the answer begins", id)
	sum, size := sha256.New(), 0
	for buf := make([]byte, 64<<10); ; {
		conn.SetReadDeadline(time.Now().Add(stallTimeout))
		n, err := response.Body.Read(buf)
		sum.Write(buf[:n])
		size += n
		if err == io.EOF {
			break
		}
		if err != nil {
			c.Logf("client of %s: the answer is cut after %d of %d bytes: %v", id, size, answerBytes, err)
			return true, false
		}
	}
	expected := sha256.Sum256(answer(id, answerBytes))
	whole = bytes.Equal(sum.Sum(nil), expected[:])
	c.Logf("client of %s has the answer, %d bytes, as the server made it: %v", id, size, whole)
	return true, whole
}

func play(c *standin.Case) (code int, verdict string) {
	var hosts []standin.Object
	for i := range servers {
		name := fmt.Sprintf("s-%d", i+1)
		hosts = append(hosts, standin.Host(name, standin.Listen(func(conn *net.TCPConn) { serve(c, name, conn) }), "a", 0))
	}
	discovery, listen := c.Discovery(hosts...), standin.FreeAddress()
	settings := standin.Settings(1,
		standin.Object{
			"Name": class, "Semantics": "idempotent", "AimUs": 500000, "DeadlineUs": deadline.Microseconds(), "LateShare": 0.3, "Worth": 3,
		})
	admins := []string{standin.FreeAddress(), standin.FreeAddress(), standin.FreeAddress()}
	start := func(i int) *standin.Node {
		n := c.StartProcess(fmt.Sprintf("n1-process-%d", i+1), "n1", listen, admins[i], discovery, settings, "")
		n.WaitYes("http://" + admins[i] + "/healthcheck")
		return n
	}
	current := start(0)
	current.WaitReady()
	for i := range warmUps {
		if response, conn, err := get(listen, fmt.Sprintf("warm-%d", i)); err == nil {
			io.Copy(io.Discard, response.Body)
			conn.Close()
		}
	}
	var mu sync.Mutex
	var clients sync.WaitGroup
	begun, whole := 0, 0
	for i := range downloads {
		clients.Go(func() {
			b, w := download(c, listen, fmt.Sprintf("d%02d", i))
			mu.Lock()
			defer mu.Unlock()
			if b {
				begun++
			}
			if w {
				whole++
			}
		})
	}
	time.Sleep(firstAt)
	upgrades := 2
	if os.Getenv("UPGRADES") == "1" {
		upgrades = 1
	}
	for i := 1; c.Trouble && i <= upgrades; i++ {
		next := start(i)
		current.Signal(syscall.SIGTERM)
		select {
		case <-current.Done():
			c.Logf("%s has ended by itself", current.Name)
		case <-time.After(killAfter):
			current.Signal(syscall.SIGKILL)
		}
		current = next
		time.Sleep(betweenSteps)
	}
	clients.Wait()
	if !current.Running() {
		return standin.Broken, "the sidecar has ended"
	}
	switch {
	case begun == 0:
		return standin.Void, "no answer has begun"
	case whole < begun:
		return standin.Broken, fmt.Sprintf("%d of %d answers were cut off while the server still gave them", begun-whole, begun)
	}
	return standin.Held, fmt.Sprintf("%d answers came whole", whole)
}

func main() { standin.Run("review/3", play) }
