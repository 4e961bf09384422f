package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"time"
)

// StreamState is the position in a response between two reads, with which another process can resume the response. Its
// JSON form is part of the handover protocol between an old and a new build.
type StreamState struct {
	Framing      Framing `json:"kind"`
	Remaining    int64   `json:"left,omitempty"`     // unread bytes of the body, or of the current chunk
	AtChunkEnd   bool    `json:"after,omitempty"`    // whether the line end after a chunk comes next
	InTrailers   bool    `json:"trailing,omitempty"` // whether the last chunk has been read
	TrailerLines int     `json:"trailers,omitempty"` // trailer lines read so far
	Complete     bool    `json:"over,omitempty"`     // whether the last trailer has been read
	Forwarded    int64   `json:"sum"`                // bytes of the body read so far
	ReadAhead    []byte  `json:"ahead,omitempty"`    // bytes read but not forwarded: decoded body bytes, then raw bytes
	BufferedBody int     `json:"held,omitempty"`     // number of decoded body bytes at the start of ReadAhead
}

// Framing is how the end of a body is marked.
type Framing string

const (
	framedByLength Framing = "length"
	framedByChunks Framing = "chunks"
	framedByClose  Framing = "end"
)

// State returns the position in the response and the connection to the server. It may be called after Read has returned
// ErrDetached.
func (s *Stream) State() (StreamState, net.Conn) {
	state := StreamState{Forwarded: s.forwarded, BufferedBody: len(s.buffered)}
	switch body := s.body.(type) {
	case *lengthReader:
		state.Framing, state.Remaining = framedByLength, body.remaining
	case *chunkedReader:
		state.Framing, state.Remaining = framedByChunks, body.remaining
		state.AtChunkEnd, state.InTrailers, state.TrailerLines, state.Complete = body.atChunkEnd, body.inTrailers, body.trailerLines, body.complete
	default:
		state.Framing = framedByClose
	}
	ahead, _ := s.conn.br.Peek(s.conn.br.Buffered())
	state.ReadAhead = append(append([]byte(nil), s.buffered...), ahead...)
	return state, s.conn.Conn
}

// validate returns an error if the state is inconsistent.
func (s *StreamState) validate() error {
	switch {
	case s.Framing != framedByLength && s.Framing != framedByChunks && s.Framing != framedByClose:
		return fmt.Errorf("stream state has unknown framing %q", s.Framing)
	case s.Remaining < 0 || s.Remaining > MaxBodyBytes || s.Forwarded < 0 || s.TrailerLines < 0:
		return fmt.Errorf("stream state has a count out of bounds: %d bytes remaining, %d forwarded", s.Remaining, s.Forwarded)
	case s.BufferedBody < 0 || s.BufferedBody > len(s.ReadAhead) || len(s.ReadAhead) > MaxBufferedBytes+1+readBufferBytes:
		return fmt.Errorf("stream state has invalid buffer sizes: %d body bytes of %d bytes read ahead", s.BufferedBody, len(s.ReadAhead))
	}
	return nil
}

// Resume returns the rest of a response that another process began to read from the connection server. Reads return
// io.EOF only after the last byte of a complete response.
func Resume(server net.Conn, state StreamState) (io.Reader, error) {
	if err := state.validate(); err != nil {
		return nil, err
	}
	br := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(state.ReadAhead[state.BufferedBody:]), stallReader{server}), readBufferBytes)
	var body io.Reader = br
	switch state.Framing {
	case framedByLength:
		body = &lengthReader{br, state.Remaining}
	case framedByChunks:
		body = &chunkedReader{
			br: br, remaining: state.Remaining, atChunkEnd: state.AtChunkEnd, inTrailers: state.InTrailers, trailerLines: state.TrailerLines,
			complete: state.Complete,
		}
	}
	return &boundedReader{io.MultiReader(bytes.NewReader(state.ReadAhead[:state.BufferedBody]), body), MaxBodyBytes - state.Forwarded}, nil
}

// stallReader makes a read fail if no byte arrives within stallTimeout.
type stallReader struct{ net.Conn }

// Read implements io.Reader.
func (s stallReader) Read(p []byte) (int, error) {
	s.SetReadDeadline(time.Now().Add(stallTimeout))
	return s.Conn.Read(p)
}

// boundedReader fails when its source exceeds a number of bytes.
type boundedReader struct {
	r         io.Reader
	remaining int64 // bytes
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		return n, errTooLong
	}
	return n, err
}
