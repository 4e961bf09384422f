package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"
)

// maxTrailerLines is how many trailer lines a response may have.
const maxTrailerLines = 64

var (
	errNoLength       = errors.New("response without a length")
	errMalformedChunk = errors.New("malformed chunk")
)

// answerBody returns the body of a response whose head was read, and its length, -1 where it is not known. Where
// endsAtClose is true the end of the connection ends a body without a length.
func answerBody(br *bufio.Reader, resp *fasthttp.Response, endsAtClose bool) (body io.Reader, length int64, err error) {
	switch n := resp.Header.ContentLength(); {
	case n > MaxBodyBytes:
		return nil, 0, errTooLong
	case n >= 0:
		return &lengthReader{br, int64(n)}, int64(n), nil
	case n == -1:
		return &chunkedReader{br: br}, -1, nil
	case endsAtClose:
		return br, -1, nil
	}
	return nil, 0, errNoLength
}

// announcesClose reports whether the response head that comes next says that the connection ends with the response.
// fasthttp reports that of every response without a length; but a body that only the connection's end marks is accepted
// only where the head says so, since one that was cut short looks the same.
func announcesClose(br *bufio.Reader) bool {
	head := peekHead(br)
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

// peekHead returns the bytes up to the next empty line, or nothing, and consumes none.
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

// lengthReader reads so many bytes: an earlier end is an error.
type lengthReader struct {
	r         io.Reader
	remaining int64
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

// chunkedReader decodes a chunked body and drops extensions and trailers. A read that timed out can be repeated: a line is
// consumed only once it is complete.
type chunkedReader struct {
	br           *bufio.Reader
	remaining    int64 // bytes of the present chunk
	atChunkEnd   bool  // the line end after a chunk comes next
	inTrailers   bool  // the last chunk has been read
	trailerLines int
	complete     bool
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

// nextLine reads the line before, between or after chunks.
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

// peekLine returns the next line without its end, and its size with it, and consumes nothing.
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
