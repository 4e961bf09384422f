package frontend

import (
	"bytes"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"damsonscale/internal/memory"
)

// Memory of a request's head beyond what each connection is counted for.
const (
	uncountedHeadBytes = 1 << 10 // bytes of a head that a connection's own share covers
	headCopies         = 3       // a head is kept raw, as it is forwarded, and as an attempt sends it

	headPieceBytes = 2 << 10 // size of one read of a head, and so the most that is read of the requests behind it
)

// errMemoryExhausted is the error of a request for which the account has too little memory left.
var errMemoryExhausted = errors.New("no memory left for the request")

// errChunkLineTooLong is the error of a chunked body with a size line over maxChunkLineBytes.
var errChunkLineTooLong = errors.New("line of a chunk's size is too long")

// headMemory returns the bytes to reserve for a head.
func headMemory(head []byte) int64 {
	return memory.HeaderFields(bytes.Count(head, []byte{'\n'})) + int64(max(0, len(head)-uncountedHeadBytes))*headCopies
}

// Read returns the next bytes of the present request to fasthttp, and none of the request after it. It returns the head of a
// request only once it is complete and its memory is reserved. A head that can't be completed ends after its first byte with the
// error, which fasthttp answers.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if c.headErr != nil {
		return 0, c.headErr
	}
	if c.framer.state == beforeHead {
		return c.readHead(p)
	}
	trailers := c.framer.trailers
	if ahead := c.readAhead; len(ahead) > 0 {
		n = c.takeReadAhead(p[:c.framer.consume(ahead[:min(len(ahead), len(p))])])
	} else {
		if n, err = c.readBytes(p); n == 0 {
			return 0, err
		}
		n = c.keepForNextRequest(p[:n])
	}
	c.bodyLeft.Store(c.framer.bodyLeft())
	if c.framer.state == lineTooLong {
		c.headErr = errChunkLineTooLong
		return 0, c.headErr
	}
	if !c.requestMemory.GrowBulk(memory.MoreHeaderFields(c.framer.trailers - trailers)) {
		c.headErr = errMemoryExhausted
		return 0, c.headErr
	}
	return n, err
}

// readHead reads a complete head into p, which is fasthttp's buffer and as long as the longest head.
func (c *clientConn) readHead(p []byte) (n int, err error) {
	c.releaseRequestMemory()
	end := headEnd(c.readAhead, 0)
	if end > 0 && end <= len(p) {
		n = c.takeReadAhead(p[:end])
	}
	for end = n; end == 0 && n < len(p); {
		piece, err := c.readBytes(p[n:min(n+headPieceBytes, len(p))])
		if n == 0 && piece == 0 {
			return 0, err
		}
		if n == 0 && c.hasServed() {
			c.awaitRequestUntil(time.Now().Add(headTimeout))
		}
		end = headEnd(p[:n+piece], n)
		n += piece
		if piece == 0 || end == 0 && err != nil {
			return c.failHead(err)
		}
	}
	head := p[:n] // too long if it has no end
	if end > 0 {
		head = p[:end]
	}
	c.headFields = bytes.Count(head, []byte{'\n'})
	if !c.requestMemory.GrowBulk(headMemory(head)) {
		return c.failHead(errMemoryExhausted)
	}
	if end == 0 {
		return n, nil
	}
	c.framer.beginBody(head)
	n = end + c.keepForNextRequest(p[end:n])
	c.bodyLeft.Store(c.framer.bodyLeft())
	return n, nil
}

// failHead makes fasthttp answer a head that can't be completed.
func (c *clientConn) failHead(err error) (int, error) {
	c.headErr = err
	return 1, nil
}

// keepForNextRequest returns how many of the bytes belong to the present request. It keeps the others for later reads.
func (c *clientConn) keepForNextRequest(b []byte) int {
	n := c.framer.consume(b)
	if rest := b[n:]; len(rest) > 0 {
		c.requestMemory.GrowAlways(int64(len(rest))) // at most one read of a head or of a body
		c.readAhead, c.readAheadAt = append(bytes.Clone(rest), c.readAhead...), c.lastReadAt
		c.aheadBytes.Store(int64(len(c.readAhead)))
	}
	return n
}

// releaseRequestMemory releases the memory of a request that has been answered, but for bytes of the next one.
func (c *clientConn) releaseRequestMemory() {
	c.responseMemory.Release()
	c.responseMemory = nil
	c.requestMemory.Release()
	c.requestMemory.GrowAlways(int64(len(c.readAhead)))
}

// dropParsedRequest frees the parsed header fields of a request if they are many, and its first body bytes: fasthttp would keep their
// memory for the connection's next requests. It leaves the method, which decides whether the response has a body.
func (c *clientConn) dropParsedRequest(ctx *fasthttp.RequestCtx) {
	ctx.Request.ReleaseBody(uncountedBodyBytes)
	if c.headFields > memory.UncountedFields || c.framer.trailers > memory.UncountedFields {
		dropParsedFields(ctx)
	}
}

// dropForwardedFields frees the parsed header fields of a request, if they are many, once they are no longer needed: the request may
// wait for its answer for long. Its method and protocol stay.
func (c *clientConn) dropForwardedFields(ctx *fasthttp.RequestCtx) {
	if c.headFields <= memory.UncountedFields {
		return
	}
	dropParsedFields(ctx)
	c.requestMemory.Shrink(memory.HeaderFields(c.headFields))
	c.headFields = 0
}

func dropParsedFields(ctx *fasthttp.RequestCtx) {
	method, protocol := string(ctx.Method()), string(ctx.Request.Header.Protocol())
	ctx.Request.Header = fasthttp.RequestHeader{}
	ctx.Request.Header.SetMethod(method)
	ctx.Request.Header.SetProtocol(protocol)
}
