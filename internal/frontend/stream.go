package frontend

import (
	"fmt"
	"io"
	"net"

	"github.com/valyala/fasthttp"

	"damsonscale/internal/sidecar"
	"damsonscale/internal/stallwriter"
	"damsonscale/internal/upstream"
)

// writeStream writes a streamed response while it is read from the server. An HTTP/1.1 client receives it in chunks; if
// the server fails, the last chunk is not sent.
func (f *Frontend) writeStream(ctx *fasthttp.RequestCtx, c *clientConn, r sidecar.Response) {
	if f.streams.Add(1) > f.streamLimit() && !f.evictStalledResponse() {
		f.streams.Add(-1)
		f.shed.streams.Add(1)
		r.Stream.Close()
		f.writeResponse(ctx, c, sidecar.Response{Status: sidecar.Failed})
		return
	}
	stream := f.newClientStream(c, r.Stream, ctx.Request.Header.IsHTTP11())
	if stream.chunked {
		ctx.Response.ImmediateHeaderFlush = true
		ctx.Response.SetBodyStream(stream, -1)
		return
	}
	writeStreamUntilClose(ctx, stream)
}

// streamLimit returns how many streamed responses may be written at a time: they hold their connection and their attempt's memory for
// as long as their clients read.
func (f *Frontend) streamLimit() int64 {
	limit := int64(streamShare * float64(f.connectionLimit.Load()))
	if f.memory != nil {
		limit = min(limit, f.memory.BulkLimit()/upstream.AttemptBytes)
	}
	return max(1, limit)
}

// writeStreamUntilClose writes a streamed response to an HTTP/1.0 client, which does not support chunks: the body ends
// with the connection, and a reset signals that the server failed.
func writeStreamUntilClose(ctx *fasthttp.RequestCtx, s *clientStream) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {
		defer s.Close()
		_, err := fmt.Fprintf(s.conn, "HTTP/1.0 200 OK\r\nConnection: close\r\nContent-Type: %s\r\n\r\n", s.ContentType)
		if err == nil {
			_, err = io.Copy(writerOnly{s.conn}, s)
		}
		if err != nil && err != upstream.ErrDetached {
			s.conn.resetOnClose()
		}
	})
}

// writerOnly hides ReadFrom from io.Copy.
type writerOnly struct{ io.Writer }

// resetOnClose makes Close reset the connection.
func (c *clientConn) resetOnClose() {
	c.resetting = true
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// clientStream is the body of a streamed response to a client, of this process or of its predecessor. Each piece is read
// after the previous piece has been written or kept as unsent, so that the stream can be handed over between two pieces.
type clientStream struct {
	*upstream.Stream
	frontend *Frontend
	conn     *clientConn
	chunked  bool // whether the body is sent in chunks; otherwise it ends with the connection
	closed   bool
}

// newClientStream returns the body of a response to the client of c. While the server is silent, nothing is written to the client: the
// system probes it, and Read looks whether it has left.
func (f *Frontend) newClientStream(c *clientConn, s *upstream.Stream, chunked bool) *clientStream {
	s.ClientLeft = c.isDisconnected
	upstream.ProbePeer(c.Conn)
	c.beginStream(s)
	return &clientStream{Stream: s, frontend: f, conn: c, chunked: chunked}
}

// Read returns the next piece, or upstream.ErrDetached if the stream was handed over to the successor.
func (s *clientStream) Read(b []byte) (int, error) {
	n, err := s.Stream.Read(b)
	switch err {
	case upstream.ErrDetached:
		if err := s.handOver(); err != nil {
			return 0, err
		}
		return s.Stream.Read(b)
	case io.EOF:
		return 0, s.prepareEnd()
	}
	return n, err
}

// prepareEnd returns io.EOF once the end of the response can be written without waiting: after that no piece is read, so
// the stream could not be handed over any more.
func (s *clientStream) prepareEnd() error {
	var err error
	if len(s.conn.unsent) > 0 {
		err = stallwriter.ErrInterrupted
	} else if s.chunked {
		err = s.conn.writer.WaitWritable()
	}
	switch err {
	case nil:
		s.conn.endStream()
	case stallwriter.ErrInterrupted:
		err = s.handOver()
	}
	if err != nil {
		return err
	}
	return io.EOF
}

// Close ends the stream.
func (s *clientStream) Close() error {
	if !s.closed {
		s.closed = true
		s.frontend.streams.Add(-1)
	}
	s.conn.endStream()
	return s.Stream.Close()
}
