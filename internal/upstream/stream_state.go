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
	framedByLength Framing = "length"
	framedByChunks Framing = "chunks"
	framedByClose  Framing = "end"
)

// ErrDetached is what Read returns once Detach was called, between two pieces of the answer.
var ErrDetached = errors.New("the answer goes on elsewhere")

// Detach makes Read return ErrDetached as soon as may be.
func (s *Stream) Detach() {
	s.detached.Store(true)
	s.conn.SetReadDeadline(deadlinePast)
}

// Attach takes a Detach back.
func (s *Stream) Attach() { s.detached.Store(false) }

// State tells, after ErrDetached, where the answer stands, and its server's connection.
func (s *Stream) State() (StreamState, net.Conn) {
	st := StreamState{Forwarded: s.forwarded, BufferedBody: len(s.buffered)}
	switch b := s.body.(type) {
	case *lengthReader:
		st.Framing, st.Remaining = framedByLength, b.remaining
	case *chunkedReader:
		st.Framing, st.Remaining, st.AtChunkEnd, st.InTrailers, st.TrailerLines, st.Complete = framedByChunks, b.remaining, b.atChunkEnd, b.inTrailers, b.trailerLines, b.complete
	default:
		st.Framing = framedByClose
	}
	ahead, _ := s.conn.br.Peek(s.conn.br.Buffered())
	st.ReadAhead = append(append([]byte(nil), s.buffered...), ahead...)
	return st, s.conn.Conn
}

// validate tells why a standing can't be one.
func (st *StreamState) validate() error {
	switch {
	case st.Framing != framedByLength && st.Framing != framedByChunks && st.Framing != framedByClose:
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
	if err := st.validate(); err != nil {
		return nil, err
	}
	br := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(st.ReadAhead[st.BufferedBody:]), stallReader{server}), readBuffer)
	var body io.Reader = br
	switch st.Framing {
	case framedByLength:
		body = &lengthReader{br, st.Remaining}
	case framedByChunks:
		body = &chunkedReader{br: br, remaining: st.Remaining, atChunkEnd: st.AtChunkEnd, inTrailers: st.InTrailers, trailerLines: st.TrailerLines, complete: st.Complete}
	}
	return &boundedReader{io.MultiReader(bytes.NewReader(st.ReadAhead[:st.BufferedBody]), body), MaxBodySize - st.Forwarded}, nil
}

// stallReader reads as long as something comes now and then.
type stallReader struct{ net.Conn }

func (s stallReader) Read(p []byte) (int, error) {
	s.SetReadDeadline(time.Now().Add(stallTimeout))
	return s.Conn.Read(p)
}

// boundedReader reads so many bytes at most: more is an error, not an end.
type boundedReader struct {
	r         io.Reader
	remaining int64
}

func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		return n, errTooLong
	}
	return n, err
}
