package upstream

import (
	"bufio"
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"

	"damsonscale/decide"
	"damsonscale/internal/memory"
)

const (
	maxInformational = 8          // number of 1xx responses before the final response
	loadHeader       = "Srv-Load" // header with the server's load report

	chunkedLength = -1 // content length of a chunked body, as fasthttp reports it
)

var (
	errNoResponse      = errors.New("no final HTTP/1.1 response")
	errMemoryExhausted = errors.New("no memory left for the response's head")
)

// responseHead is what is needed of the head of a final response. All other fields are dropped.
type responseHead struct {
	status          int
	reason          EndReason
	contentType     []byte // nil unless the attempt succeeded
	load            *decide.LoadReport
	contentLength   int  // bytes; chunkedLength, or less if the head gives none
	endsAtClose     bool // whether the head says that the connection ends after the response
	keepsConnection bool // whether the connection can carry another request
}

// hasNoBody reports whether a response of this status never has a body.
func (h *responseHead) hasNoBody() bool {
	return h.status == fasthttp.StatusNoContent || h.status == fasthttp.StatusNotModified
}

// readHead reads the head of the final response and skips 1xx responses. The account counts a long head while it is parsed.
func readHead(br *bufio.Reader, account *memory.Account) (responseHead, error) {
	for n := 0; ; n++ {
		head, err := readOneHead(br, account)
		switch {
		case err != nil || head.status >= fasthttp.StatusOK:
			return head, err
		case head.status == fasthttp.StatusSwitchingProtocols || n == maxInformational:
			return responseHead{}, errNoResponse
		}
	}
}

// readOneHead waits for a complete head before it is parsed, because parsed fields take far more memory than their bytes.
func readOneHead(br *bufio.Reader, account *memory.Account) (responseHead, error) {
	text := peekHead(br)
	own := account.NewReservation()
	defer own.Release()
	if text == nil { // incomplete: fasthttp parses what has come and fails
		text, _ = br.Peek(br.Buffered())
	}
	fields := bytes.Count(text, []byte{'\n'})
	if !own.Grow(memory.HeaderFields(fields)) {
		return responseHead{}, errMemoryExhausted
	}
	endsAtClose := announcesClose(text)
	resp := fasthttp.AcquireResponse()
	if fields <= memory.UncountedFields { // a pooled response keeps the memory of its fields
		defer fasthttp.ReleaseResponse(resp)
	}
	if err := resp.Header.Read(br); err != nil {
		return responseHead{}, err
	}
	return newResponseHead(resp, endsAtClose), nil
}

// newResponseHead copies what is needed of a parsed head.
func newResponseHead(resp *fasthttp.Response, endsAtClose bool) responseHead {
	h := responseHead{
		status: resp.StatusCode(), reason: classify(resp), load: parseLoad(resp.Header.Peek(loadHeader)),
		contentLength: resp.Header.ContentLength(), endsAtClose: endsAtClose,
		keepsConnection: !resp.ConnectionClose() && string(resp.Header.Protocol()) != "HTTP/1.0",
	}
	if h.reason == Succeeded {
		h.contentType = bytes.Clone(resp.Header.ContentType())
	}
	return h
}
