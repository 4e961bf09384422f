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

// StreamState is where an answer under way stands between two reads, as another process needs it to go on.
type StreamState struct {
	Framing      Framing `json:"kind"`
	Remaining    int64   `json:"left,omitempty"` // bytes of the answer, or of its chunk
	AtChunkEnd   bool    `json:"after,omitempty"`
	InTrailers   bool    `json:"trailing,omitempty"`
	TrailerLines int     `json:"trailers,omitempty"`
	Complete     bool    `json:"over,omitempty"`
	Forwarded    int64   `json:"sum"`             // bytes passed on so far
	ReadAhead    []byte  `json:"ahead,omitempty"` // read and not passed on: of the body first, then as they came
	BufferedBody int     `json:"held,omitempty"`  // of those, bytes of the body
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

// State tells, after ErrDetached, where the answer stands, and its server's connection.
func (s *Stream) State() (StreamState, net.Conn) {
	st := StreamState{Forwarded: s.sum, BufferedBody: len(s.head)}
	switch b := s.body.(type) {
	case *exactly:
		st.Framing, st.Remaining = byLength, b.left
	case *chunked:
		st.Framing, st.Remaining, st.AtChunkEnd, st.InTrailers, st.TrailerLines, st.Complete = byChunks, b.left, b.after, b.trailing, b.trailers, b.over
	default:
		st.Framing = byEnd
	}
	ahead, _ := s.c.br.Peek(s.c.br.Buffered())
	st.ReadAhead = append(append([]byte(nil), s.head...), ahead...)
	return st, s.c.Conn
}

// check tells why a standing can't be one.
func (st *StreamState) check() error {
	switch {
	case st.Framing != byLength && st.Framing != byChunks && st.Framing != byEnd:
		return fmt.Errorf("unknown framing %q", st.Framing)
	case st.Remaining < 0 || st.Remaining > MaxBodySize || st.Forwarded < 0 || st.TrailerLines < 0:
		return fmt.Errorf("figures out of bounds: %d left, %d passed on", st.Remaining, st.Forwarded)
	case st.BufferedBody < 0 || st.BufferedBody > len(st.ReadAhead) || len(st.ReadAhead) > MaxBuffered+1+readBuffer:
		return fmt.Errorf("%d bytes held of %d read", st.BufferedBody, len(st.ReadAhead))
	}
	return nil
}

// Resume goes on with an answer that another process began. Its error is io.EOF after the last byte of a whole one alone.
func Resume(server net.Conn, st StreamState) (io.Reader, error) {
	if err := st.check(); err != nil {
		return nil, err
	}
	br := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(st.ReadAhead[st.BufferedBody:]), stalling{server}), readBuffer)
	var body io.Reader = br
	switch st.Framing {
	case byLength:
		body = &exactly{br, st.Remaining}
	case byChunks:
		body = &chunked{br: br, left: st.Remaining, after: st.AtChunkEnd, trailing: st.InTrailers, trailers: st.TrailerLines, over: st.Complete}
	}
	return &bounded{io.MultiReader(bytes.NewReader(st.ReadAhead[:st.BufferedBody]), body), MaxBodySize - st.Forwarded}, nil
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
