package frontend

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"damsonscale/internal/sidecar"
	"damsonscale/internal/upstream"
)

// Pass hands work with its two connections to the process that follows.
type Pass func(about any, client, server syscall.Conn) error

// handed is an answer that goes on in another process, between two pieces.
type handed struct {
	Answer upstream.StreamState `json:"answer"`
	Chunks bool                 `json:"chunks"` // the client takes chunks; else its connection's end is the answer's
}

// stream answers with what comes.
func (f *Frontend) stream(ctx *fasthttp.RequestCtx, c *clientConn, a sidecar.Response) {
	c.stream.Store(a.Stream)
	if ctx.Request.Header.IsHTTP11() {
		ctx.Response.ImmediateHeaderFlush = true
		ctx.Response.SetBodyStream(&passing{a.Stream, f, c, true}, -1) // chunked, each written as it comes; a broken one lacks its last chunk
		return
	}
	f.toTheEnd(ctx, c, a)
}

// toTheEnd passes an answer on to a client of HTTP/1.0, which takes no chunks: the connection's end is the answer's. One
// that breaks ends in a reset.
func (f *Frontend) toTheEnd(ctx *fasthttp.RequestCtx, c *clientConn, a sidecar.Response) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {
		defer a.Stream.Close()
		_, err := fmt.Fprintf(c, "HTTP/1.0 200 OK\r\nConnection: close\r\nContent-Type: %s\r\n\r\n", a.ContentType)
		if err == nil {
			_, err = io.Copy(onlyWriter{c}, &passing{a.Stream, f, c, false})
		}
		if err != nil && err != upstream.ErrDetached {
			reset(c.Conn)
		}
	})
}

// onlyWriter hides what else a connection can do.
type onlyWriter struct{ io.Writer }

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// passing is an answer whose pieces are read once those before are written: between two of them it can go elsewhere.
type passing struct {
	*upstream.Stream
	front  *Frontend
	c      *clientConn
	chunks bool
}

func (p *passing) Read(b []byte) (int, error) {
	n, err := p.Stream.Read(b)
	if err != upstream.ErrDetached {
		return n, err
	}
	if err := p.front.handOver(p); err != nil {
		log.Printf("event=stream_stays err=%q", err)
		p.Attach() // it is finished here, if there is time
		return p.Stream.Read(b)
	}
	return 0, upstream.ErrDetached
}

// handOver hands an answer to the process that follows. This one closes its ends of both connections afterwards, which
// ends neither.
func (f *Frontend) handOver(p *passing) error {
	pass := f.pass.Load()
	if pass == nil {
		return fmt.Errorf("no process takes it")
	}
	standing, server := p.State()
	to, ok := server.(syscall.Conn)
	from, fine := p.c.Conn.(syscall.Conn)
	if !ok || !fine {
		return fmt.Errorf("not connections of the system")
	}
	return (*pass)(handed{standing, p.chunks}, from, to)
}

// GoOn goes on with an answer that the process before began.
func (f *Frontend) GoOn(about []byte, client, server net.Conn) {
	f.resumed.Add(1)
	go func() {
		defer f.resumed.Add(-1)
		defer client.Close()
		defer server.Close()
		var h handed
		err := json.Unmarshal(about, &h)
		if err == nil {
			err = finish(h, client, server)
		}
		if err != nil {
			log.Printf("event=stream_broken err=%q", err)
			reset(client)
		}
	}()
}

// finish passes the rest of an answer on.
func finish(h handed, client, server net.Conn) error {
	body, err := upstream.Resume(server, h.Answer)
	if err != nil {
		return err
	}
	buf := make([]byte, 16<<10)
	for {
		n, err := body.Read(buf)
		parts := upstream.EncodeBodyPiece(buf[:n], h.Chunks, err == io.EOF)
		client.SetWriteDeadline(time.Now().Add(writeStall))
		if _, failed := parts.WriteTo(client); failed != nil {
			return failed
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
