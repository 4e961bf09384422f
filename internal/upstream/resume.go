package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// Standing is where an answer under way stands between two reads, as another process needs it to go on.
type Standing struct {
	Kind     Framing `json:"kind"`
	Left     int64   `json:"left,omitempty"` // bytes of the answer, or of its chunk
	After    bool    `json:"after,omitempty"`
	Trailing bool    `json:"trailing,omitempty"`
	Trailers int     `json:"trailers,omitempty"`
	Over     bool    `json:"over,omitempty"`
	Sum      int64   `json:"sum"`             // bytes passed on so far
	Ahead    []byte  `json:"ahead,omitempty"` // read and not passed on: of the body first, then as they came
	Held     int     `json:"held,omitempty"`  // of those, bytes of the body
}

// Framing is how an answer's end is told.
type Framing string

const (
	byLength Framing = "length"
	byChunks Framing = "chunks"
	byEnd    Framing = "end"
)

// ErrDetached is what Read returns once Detach was called, between two pieces of the answer.
var ErrDetached = errors.New("the answer goes on elsewhere")

// Detach makes Read return ErrDetached as soon as may be.
func (s *Stream) Detach() {
	s.detach.Store(true)
	s.c.SetReadDeadline(past)
}

// Attach takes a Detach back.
func (s *Stream) Attach() { s.detach.Store(false) }

// Standing tells, after ErrDetached, where the answer stands, and its server's connection.
func (s *Stream) Standing() (Standing, net.Conn) {
	st := Standing{Sum: s.sum, Held: len(s.head)}
	switch b := s.body.(type) {
	case *exactly:
		st.Kind, st.Left = byLength, b.left
	case *chunked:
		st.Kind, st.Left, st.After, st.Trailing, st.Trailers, st.Over = byChunks, b.left, b.after, b.trailing, b.trailers, b.over
	default:
		st.Kind = byEnd
	}
	ahead, _ := s.c.br.Peek(s.c.br.Buffered())
	st.Ahead = append(append([]byte(nil), s.head...), ahead...)
	return st, s.c.Conn
}

// check tells why a standing can't be one.
func (st *Standing) check() error {
	switch {
	case st.Kind != byLength && st.Kind != byChunks && st.Kind != byEnd:
		return fmt.Errorf("unknown framing %q", st.Kind)
	case st.Left < 0 || st.Left > LongestBody || st.Sum < 0 || st.Trailers < 0:
		return fmt.Errorf("figures out of bounds: %d left, %d passed on", st.Left, st.Sum)
	case st.Held < 0 || st.Held > len(st.Ahead) || len(st.Ahead) > HeldMost+1+readBuffer:
		return fmt.Errorf("%d bytes held of %d read", st.Held, len(st.Ahead))
	}
	return nil
}

// Resume goes on with an answer that another process began. Its error is io.EOF after the last byte of a whole one alone.
func Resume(server net.Conn, st Standing) (io.Reader, error) {
	if err := st.check(); err != nil {
		return nil, err
	}
	br := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(st.Ahead[st.Held:]), stalling{server}), readBuffer)
	var body io.Reader = br
	switch st.Kind {
	case byLength:
		body = &exactly{br, st.Left}
	case byChunks:
		body = &chunked{br: br, left: st.Left, after: st.After, trailing: st.Trailing, trailers: st.Trailers, over: st.Over}
	}
	return &bounded{io.MultiReader(bytes.NewReader(st.Ahead[:st.Held]), body), LongestBody - st.Sum}, nil
}

// stalling reads as long as something comes now and then.
type stalling struct{ net.Conn }

func (s stalling) Read(p []byte) (int, error) {
	s.SetReadDeadline(time.Now().Add(stalled))
	return s.Conn.Read(p)
}

// bounded reads so many bytes at most: more is an error, not an end.
type bounded struct {
	r    io.Reader
	left int64
}

func (b *bounded) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return n, errTooLong
	}
	return n, err
}
