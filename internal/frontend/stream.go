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

// StreamHandover hands work with its two connections to the process that follows.
type StreamHandover func(about any, client, server syscall.Conn) error

// streamMessage is an answer that goes on in another process, between two pieces.
type streamMessage struct {
	Stream  upstream.StreamState `json:"answer"`
	Chunked bool                 `json:"chunks"` // the client takes chunks; else its connection's end is the answer's
}

// writeStream answers with what comes.
func (f *Frontend) writeStream(ctx *fasthttp.RequestCtx, c *clientConn, a sidecar.Response) {
	c.stream.Store(a.Stream)
	if ctx.Request.Header.IsHTTP11() {
		ctx.Response.ImmediateHeaderFlush = true
		ctx.Response.SetBodyStream(&clientStream{a.Stream, f, c, true}, -1) // chunked, each written as it comes; a broken one lacks its last chunk
		return
	}
	f.writeStreamUntilClose(ctx, c, a)
}

// writeStreamUntilClose passes an answer on to a client of HTTP/1.0, which takes no chunks: the connection's end is the answer's. One
// that breaks ends in a reset.
func (f *Frontend) writeStreamUntilClose(ctx *fasthttp.RequestCtx, c *clientConn, a sidecar.Response) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {
		defer a.Stream.Close()
		_, err := fmt.Fprintf(c, "HTTP/1.0 200 OK\r\nConnection: close\r\nContent-Type: %s\r\n\r\n", a.ContentType)
		if err == nil {
			_, err = io.Copy(writerOnly{c}, &clientStream{a.Stream, f, c, false})
		}
		if err != nil && err != upstream.ErrDetached {
			resetOnClose(c.Conn)
		}
	})
}

// writerOnly hides what else a connection can do.
type writerOnly struct{ io.Writer }

func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// clientStream is an answer whose pieces are read once those before are written: between two of them it can go elsewhere.
type clientStream struct {
	*upstream.Stream
	front   *Frontend
	conn    *clientConn
	chunked bool
}

func (p *clientStream) Read(b []byte) (int, error) {
	n, err := p.Stream.Read(b)
	if err != upstream.ErrDetached {
		return n, err
	}
	if err := p.front.handOverStream(p); err != nil {
		log.Printf("event=stream_stays err=%q", err)
		p.Attach() // it is finished here, if there is time
		return p.Stream.Read(b)
	}
	return 0, upstream.ErrDetached
}

// handOverStream hands an answer to the process that follows. This one closes its ends of both connections afterwards, which
// ends neither.
func (f *Frontend) handOverStream(p *clientStream) error {
	pass := f.streamHandover.Load()
	if pass == nil {
		return fmt.Errorf("no process takes it")
	}
	standing, server := p.State()
	to, ok := server.(syscall.Conn)
	from, fine := p.conn.Conn.(syscall.Conn)
	if !ok || !fine {
		return fmt.Errorf("not connections of the system")
	}
	return (*pass)(streamMessage{standing, p.chunked}, from, to)
}

// ResumeStream goes on with an answer that the process before began.
func (f *Frontend) ResumeStream(about []byte, client, server net.Conn) {
	f.resumedStreams.Add(1)
	go func() {
		defer f.resumedStreams.Add(-1)
		defer client.Close()
		defer server.Close()
		var h streamMessage
		err := json.Unmarshal(about, &h)
		if err == nil {
			err = copyStream(h, client, server)
		}
		if err != nil {
			log.Printf("event=stream_broken err=%q", err)
			resetOnClose(client)
		}
	}()
}

// copyStream passes the rest of an answer on.
func copyStream(h streamMessage, client, server net.Conn) error {
	body, err := upstream.Resume(server, h.Stream)
	if err != nil {
		return err
	}
	buf := make([]byte, 16<<10)
	for {
		n, err := body.Read(buf)
		parts := upstream.EncodeBodyPiece(buf[:n], h.Chunked, err == io.EOF)
		client.SetWriteDeadline(time.Now().Add(writeStallTimeout))
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
