package frontend

import (
	"bytes"
	"math"
	"strconv"
)

// requestFramer finds where the requests on a connection begin and end, so that the head of each can be read and counted before
// fasthttp parses it. It follows the framing of bodies but validates nothing: fasthttp rejects what is malformed and the
// connection ends.
type requestFramer struct {
	state     framerState
	remaining int64 // bytes of the body, or of the current chunk, that have not come
	chunkSize int64 // value of the digits of a chunk's size so far
	sizeEnded bool  // whether the digits of a chunk's size have ended
	lineBytes int   // bytes of the present line of a chunk's size or trailer, line ends excluded
	trailers  int   // trailer lines so far
	dataBytes int64 // bytes of the body, without its framing, that have been consumed
}

// maxChunkLineBytes limits the line of a chunk's size, with its extensions.
const maxChunkLineBytes = 4 << 10

// framerState is the part of a request that comes next.
type framerState uint8

const (
	beforeHead framerState = iota
	inLengthBody
	inChunkSize
	inChunkData
	inChunkEnd // the line end after a chunk's data
	inTrailers
	untilClose // the framing is malformed: whatever comes belongs to this request
	lineTooLong
)

// headEnd returns the length of the head at the start of b, its empty line included, or 0 if the head is not complete. The first
// searched bytes are known to hold no complete head.
func headEnd(b []byte, searched int) int {
	start := len(b) - len(bytes.TrimLeft(b, "\r\n")) // empty lines before a request are ignored
	for i := max(start, searched-len("\n\r\n")); i < len(b); i++ {
		if b[i] != '\n' {
			continue
		}
		for _, end := range []string{"\n", "\r\n"} {
			if bytes.HasPrefix(b[i+1:], []byte(end)) {
				return i + 1 + len(end)
			}
		}
	}
	return 0
}

// beginBody reads the framing of the body from a complete head.
func (f *requestFramer) beginBody(head []byte) {
	*f = requestFramer{}
	for line := range bytes.SplitSeq(head, []byte{'\n'}) {
		name, value, _ := bytes.Cut(line, []byte{':'})
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")) && bytes.EqualFold(value, []byte("chunked")):
			f.state = inChunkSize
		case bytes.EqualFold(name, []byte("Content-Length")) && f.state != inChunkSize:
			length, err := strconv.ParseInt(string(value), 10, 64)
			if err == nil && length > 0 {
				f.state, f.remaining = inLengthBody, length
			}
		}
	}
}

// lengthUnknown is the length of a body that is sent in chunks.
const lengthUnknown = -1

// bodyLeft returns the bytes of the present request that have not been consumed, or lengthUnknown.
func (f *requestFramer) bodyLeft() int64 {
	switch f.state {
	case beforeHead:
		return 0
	case inLengthBody:
		return f.remaining
	}
	return lengthUnknown
}

// consume returns how many of the bytes, which follow those of earlier calls, belong to the present request.
func (f *requestFramer) consume(b []byte) int {
	n := 0
	for n < len(b) && f.state != beforeHead {
		switch f.state {
		case inLengthBody, inChunkData:
			n += f.consumeData(len(b) - n)
		case untilClose, lineTooLong:
			return len(b)
		default:
			f.consumeLineByte(b[n])
			n++
		}
	}
	return n
}

// consumeData counts up to n bytes of a body's or a chunk's data and returns their number.
func (f *requestFramer) consumeData(n int) int {
	taken := min(int64(n), f.remaining)
	f.remaining -= taken
	f.dataBytes += taken
	switch {
	case f.remaining > 0:
	case f.state == inLengthBody:
		f.state = beforeHead
	default:
		f.state = inChunkEnd
	}
	return int(taken)
}

// consumeLineByte handles a byte of a line between the data of chunks.
func (f *requestFramer) consumeLineByte(c byte) {
	switch f.state {
	case inChunkEnd:
		if c == '\n' {
			f.state, f.chunkSize, f.sizeEnded, f.lineBytes = inChunkSize, 0, false, 0
		}
	case inChunkSize:
		f.consumeSizeByte(c)
	case inTrailers:
		f.consumeTrailerByte(c)
	}
}

func (f *requestFramer) consumeSizeByte(c byte) {
	digit, isDigit := hexDigit(c)
	f.lineBytes++
	switch {
	case c == '\n' && f.chunkSize == 0:
		f.state, f.lineBytes = inTrailers, 0
	case c == '\n':
		f.state, f.remaining = inChunkData, f.chunkSize
	case f.lineBytes > maxChunkLineBytes:
		f.state = lineTooLong
	case f.sizeEnded: // within a chunk extension
	case !isDigit:
		f.sizeEnded = true
	case f.chunkSize > math.MaxInt64>>4:
		f.state = untilClose
	default:
		f.chunkSize = f.chunkSize<<4 | digit
	}
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(c byte) (value int64, ok bool) {
	switch {
	case '0' <= c && c <= '9':
		return int64(c - '0'), true
	case 'a' <= c|0x20 && c|0x20 <= 'f':
		return int64(c|0x20-'a') + 10, true
	}
	return 0, false
}

func (f *requestFramer) consumeTrailerByte(c byte) {
	switch {
	case c == '\n' && f.lineBytes == 0:
		f.state = beforeHead
	case c == '\n':
		f.lineBytes = 0
		f.trailers++
	case c != '\r':
		f.lineBytes++
	}
}
