package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxTrailerLines bounds the trailer lines of a chunked response.
const maxTrailerLines = 64

var (
	errNoLength       = errors.New("response body has no length and does not end with the connection")
	errMalformedChunk = errors.New("malformed chunked body")
)

// body returns the body of a response whose head was read, and the body's length, or -1 if that is unknown.
func (h *responseHead) body(br *bufio.Reader) (body io.Reader, length int64, err error) {
	switch n := h.contentLength; {
	case n > MaxBodyBytes:
		return nil, 0, errTooLong
	case n >= 0:
		return &lengthReader{br, int64(n)}, int64(n), nil
	case n == chunkedLength:
		return &chunkedReader{br: br}, -1, nil
	case h.endsAtClose:
		return br, -1, nil
	}
	return nil, 0, errNoLength
}

// announcesClose reports whether a response head says that the connection ends after the response. fasthttp assumes this of every
// response without a length. Here the head must say so explicitly, because a body that ends with the connection can't be told from
// a truncated body.
func announcesClose(head []byte) bool {
	if bytes.HasPrefix(head, []byte("HTTP/1.0 ")) {
		return true
	}
	for line := range bytes.SplitSeq(head, []byte{'\n'}) {
		name, value, _ := bytes.Cut(line, []byte{':'})
		if !bytes.EqualFold(name, []byte("Connection")) {
			continue
		}
		for token := range bytes.SplitSeq(value, []byte{','}) {
			if bytes.EqualFold(bytes.TrimSpace(token), []byte("close")) {
				return true
			}
		}
	}
	return false
}

// peekHead returns the bytes up to the next empty line without consuming them, or nil if there is no complete head.
func peekHead(br *bufio.Reader) []byte {
	for from := 0; ; {
		b, _ := br.Peek(br.Buffered())
		for i := from; i < len(b); i++ {
			if b[i] == '\n' && (bytes.HasPrefix(b[i+1:], []byte("\n")) || bytes.HasPrefix(b[i+1:], []byte("\r\n"))) {
				return b[:i+1]
			}
		}
		from = max(0, len(b)-2)
		if len(b) == br.Size() {
			return nil
		}
		if _, err := br.Peek(len(b) + 1); err != nil {
			return nil
		}
	}
}

// lengthReader reads a body of known length. An earlier end of its source is an error.
type lengthReader struct {
	r         io.Reader
	remaining int64 // bytes
}

// Read implements io.Reader.
func (l *lengthReader) Read(p []byte) (n int, err error) {
	if l.remaining == 0 {
		return 0, io.EOF
	}
	n, err = l.r.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	switch {
	case l.remaining == 0:
		err = io.EOF
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedReader decodes a chunked body and drops chunk extensions and trailers. A read that timed out can be repeated,
// because a line is consumed only when it is complete.
type chunkedReader struct {
	br           *bufio.Reader
	remaining    int64 // unread bytes of the current chunk
	atChunkEnd   bool  // whether the line end after a chunk comes next
	inTrailers   bool  // whether the last chunk has been read
	trailerLines int   // trailer lines read so far
	complete     bool  // whether the last trailer has been read
}

// Read implements io.Reader.
func (c *chunkedReader) Read(p []byte) (n int, err error) {
	for c.remaining == 0 {
		if c.complete {
			return 0, io.EOF
		}
		if err := c.nextLine(); err != nil {
			return 0, err
		}
	}
	n, err = c.br.Read(p[:min(int64(len(p)), c.remaining)])
	if c.remaining -= int64(n); c.remaining == 0 && n > 0 {
		c.atChunkEnd = true
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// nextLine reads a line that is not chunk data: a chunk's size, the line end after a chunk, or a trailer.
func (c *chunkedReader) nextLine() error {
	line, size, err := peekLine(c.br)
	if err != nil {
		return err
	}
	switch {
	case c.atChunkEnd:
		if len(line) > 0 {
			return errMalformedChunk
		}
		c.atChunkEnd = false
	case c.inTrailers:
		c.complete = len(line) == 0
		if c.trailerLines++; c.trailerLines > maxTrailerLines {
			return errMalformedChunk
		}
	default:
		digits, _, _ := bytes.Cut(line, []byte{';'})
		length, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 40)
		if err != nil {
			return errMalformedChunk
		}
		c.remaining, c.inTrailers = int64(length), length == 0
	}
	c.br.Discard(size)
	return nil
}

// peekLine returns the next line without its line end, and its size including the line end. It consumes nothing.
func peekLine(br *bufio.Reader) (line []byte, size int, err error) {
	for {
		b, _ := br.Peek(br.Buffered())
		if i := bytes.IndexByte(b, '\n'); i >= 0 {
			return bytes.TrimSuffix(b[:i], []byte{'\r'}), i + 1, nil
		}
		if len(b) == br.Size() {
			return nil, 0, errMalformedChunk
		}
		if _, err := br.Peek(len(b) + 1); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, 0, err
		}
	}
}
