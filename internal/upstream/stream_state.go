package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
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
// ErrDetached or io.EOF.
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

// Resume returns the rest of a response that another process began to read from the connection server. The caller closes
// server after it has closed the stream. hosts may be nil.
func Resume(server net.Conn, state StreamState, hosts *HostMonitor) (*Stream, error) {
	if err := state.validate(); err != nil {
		return nil, err
	}
	body, raw := state.ReadAhead[:state.BufferedBody], state.ReadAhead[state.BufferedBody:]
	c := &conn{Conn: server, hosts: hosts}
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(raw), c), max(readBufferBytes, len(raw)))
	c.br.Peek(len(raw)) // State must find all bytes that were read ahead in the buffer
	return &Stream{
		ctx: context.Background(), conn: c, server: server.RemoteAddr().String(), buffered: body, body: state.reader(c.br),
		forwarded: state.Forwarded, done: make(chan error, 1),
	}, nil
}

// reader returns the reader of the rest of the body, whose raw bytes are read from br.
func (s *StreamState) reader(br *bufio.Reader) io.Reader {
	switch s.Framing {
	case framedByLength:
		return &lengthReader{br, s.Remaining}
	case framedByChunks:
		return &chunkedReader{
			br: br, remaining: s.Remaining, atChunkEnd: s.AtChunkEnd, inTrailers: s.InTrailers, trailerLines: s.TrailerLines, complete: s.Complete,
		}
	}
	return br
}
