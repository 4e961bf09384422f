package frontend

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/sidecar"
	"damsonscale/internal/upstream"
)

// StreamHandover hands a stream with its two connections to the successor; payload is marshalled as JSON. Once it has
// returned nil this process must close its ends of both without writing to them.
type StreamHandover func(payload any, client, server syscall.Conn) error

const copyBufferBytes = 16 << 10

var (
	errNoStreamSuccessor = errors.New("no process takes it")
	errNoDescriptor      = errors.New("not connections of the system")
)

// streamMessage is a stream that goes on in another process, between two pieces of its body.
type streamMessage struct {
	Stream  upstream.StreamState `json:"answer"`
	Chunked bool                 `json:"chunks"` // the client takes chunks; else the connection's end is the body's
}

// writeStream writes a long response as it comes from the server. To a client of HTTP/1.1 it goes in chunks; where the
// server breaks off, the last chunk is missing.
func (f *Frontend) writeStream(ctx *fasthttp.RequestCtx, c *clientConn, r sidecar.Response) {
	c.stream.Store(r.Stream)
	if ctx.Request.Header.IsHTTP11() {
		ctx.Response.ImmediateHeaderFlush = true
		ctx.Response.SetBodyStream(&clientStream{r.Stream, f, c, true}, -1)
		return
	}
	f.writeStreamUntilClose(ctx, c, r)
}

// writeStreamUntilClose writes a long response to a client of HTTP/1.0, which takes no chunks: the connection's end is
// the body's, and a reset tells that the server broke off.
func (f *Frontend) writeStreamUntilClose(ctx *fasthttp.RequestCtx, c *clientConn, r sidecar.Response) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {
		defer r.Stream.Close()
		_, err := fmt.Fprintf(c, "HTTP/1.0 200 OK\r\nConnection: close\r\nContent-Type: %s\r\n\r\n", r.ContentType)
		if err == nil {
			_, err = io.Copy(writerOnly{c}, &clientStream{r.Stream, f, c, false})
		}
		if err != nil && err != upstream.ErrDetached {
			resetOnClose(c.Conn)
		}
	})
}

// writerOnly hides ReadFrom from io.Copy.
type writerOnly struct{ io.Writer }

// resetOnClose has the next Close reset the connection.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// clientStream is a response on its way to its client. It is read one piece after the other, each once the one before
// is written, so that it can be handed over between two.
type clientStream struct {
	*upstream.Stream
	frontend *Frontend
	conn     *clientConn
	chunked  bool
}

// Read returns the next piece, or upstream.ErrDetached once the stream goes on in the successor.
func (s *clientStream) Read(b []byte) (int, error) {
	n, err := s.Stream.Read(b)
	if err != upstream.ErrDetached {
		return n, err
	}
	if err := s.handOver(); err != nil {
		eventlog.Warn(eventStreamHandoverFailed, err)
		s.Attach() // it is finished here, if there is time
		return s.Stream.Read(b)
	}
	return 0, upstream.ErrDetached
}

// handOver hands a detached stream to the successor. This process closes its ends of both connections afterwards, which
// closes neither for the successor.
func (s *clientStream) handOver() error {
	handOver := s.frontend.streamHandover.Load()
	if handOver == nil {
		return errNoStreamSuccessor
	}
	state, server := s.State()
	serverSocket, ok := server.(syscall.Conn)
	clientSocket, clientOK := s.conn.Conn.(syscall.Conn)
	if !ok || !clientOK {
		return errNoDescriptor
	}
	return (*handOver)(streamMessage{state, s.chunked}, clientSocket, serverSocket)
}

// expediteStream hands a long response over to the successor, where there is one, and lets the system buffer as much of
// it as it may: what the system has buffered reaches a slow client after this process has exited.
func (c *clientConn) expediteStream(hasSuccessor bool) {
	s := c.stream.Swap(nil)
	if s == nil {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetWriteBuffer(upstream.MaxBodyBytes)
	}
	if hasSuccessor {
		s.Detach()
	}
}

// ResumeStream goes on with a stream that the predecessor has handed over, and closes its connections at its end.
// payload is the JSON that StreamHandover was given. It returns at once.
func (f *Frontend) ResumeStream(payload []byte, client, server net.Conn) {
	f.resumedStreams.Add(1)
	go func() {
		defer f.resumedStreams.Add(-1)
		defer client.Close()
		defer server.Close()
		var m streamMessage
		err := json.Unmarshal(payload, &m)
		if err == nil {
			err = copyStream(m, client, server)
		}
		if err != nil {
			eventlog.Warn(eventResumedStreamFailed, err)
			resetOnClose(client)
		}
	}()
}

// copyStream copies the rest of a stream to its client.
func copyStream(m streamMessage, client, server net.Conn) error {
	body, err := upstream.Resume(server, m.Stream)
	if err != nil {
		return err
	}
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		encoded := upstream.EncodeBodyPiece(buf[:n], m.Chunked, err == io.EOF)
		client.SetWriteDeadline(time.Now().Add(writeStallTimeout))
		if _, writeErr := encoded.WriteTo(client); writeErr != nil {
			return writeErr
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
