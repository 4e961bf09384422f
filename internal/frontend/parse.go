package frontend

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"damsonscale/decide"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/sidecar"
	"damsonscale/internal/upstream"
)

const (
	maxID       = 128       // bytes of a request's id
	maxDeadline = time.Hour // a longer one is no deadline
)

// requestError is why a request can't be taken.
type requestError struct {
	status int
	text   string
}

func newRequestError(status int, format string, args ...any) *requestError {
	return &requestError{status, fmt.Sprintf(format, args...)}
}

// parsedRequest is what the head of a request tells.
type parsedRequest struct {
	snapshot *settingsSnapshot
	request  decide.Request
	timeLeft time.Duration
	target   []byte
}

// parseRequest takes out the fields that decisions need.
func (f *Frontend) parseRequest(h *fasthttp.RequestHeader) (*parsedRequest, *requestError) {
	if wrong := checkFraming(h); wrong != nil {
		return nil, wrong
	}
	now := f.snapshot.Load()
	uri := target(h)
	path, query, _ := bytes.Cut(uri, []byte{'?'})
	class, ok := now.classOf(path)
	if !ok {
		return nil, newRequestError(fasthttp.StatusNotFound, "unknown class")
	}
	if wrong := now.checkMethod(h, class); wrong != nil {
		return nil, wrong
	}
	id := h.Peek("Req-Id")
	if len(id) == 0 || len(id) > maxID || len(h.PeekAll("Req-Id")) > 1 {
		return nil, newRequestError(fasthttp.StatusBadRequest, "Req-Id: expected once, with 1 to %d bytes", maxID)
	}
	left, err := strconv.ParseInt(string(h.Peek(upstream.DeadlineHeader)), 10, 64)
	if err != nil || left <= 0 || left > maxDeadline.Milliseconds() || len(h.PeekAll(upstream.DeadlineHeader)) > 1 {
		return nil, newRequestError(fasthttp.StatusBadRequest, "%s: expected 1 to %d", upstream.DeadlineHeader, maxDeadline.Milliseconds())
	}
	r := decide.Request{
		ID: string(id), Class: class, Tenant: -1, Key: objectKey(query), IsRetry: string(h.Peek("Req-Retry")) == "1",
	}
	if t, ok := now.tenants[string(h.Peek("Req-Owner"))]; ok {
		r.Tenant = t
	}
	return &parsedRequest{snapshot: now, request: r, timeLeft: time.Duration(left) * time.Millisecond, target: uri}, nil
}

// newCall makes the call of a request whose body is held as far as it will be; at is when its last byte had come.
func (p *parsedRequest) newCall(h *fasthttp.RequestHeader, b *requestBody, at time.Time) *sidecar.Call {
	m := upstream.Message{Head: forwardedHead(h, p.target, b), Body: b.buffered, Remainder: b.remainder}
	return sidecar.NewCall(p.snapshot.settings, p.request, m, at, p.timeLeft)
}

// target is the request's target in origin form: of an absolute one, what follows the authority.
func target(h *fasthttp.RequestHeader) []byte {
	uri := h.RequestURI()
	if len(uri) > 0 && uri[0] == '/' {
		return uri
	}
	scheme, rest, ok := bytes.Cut(uri, []byte("://"))
	if !ok || !bytes.EqualFold(scheme, []byte("http")) && !bytes.EqualFold(scheme, []byte("https")) {
		return uri
	}
	if i := bytes.IndexAny(rest, "/?"); i < 0 {
		return []byte{'/'}
	} else if rest[i] == '?' {
		return append([]byte{'/'}, rest[i:]...)
	} else {
		return rest[i:]
	}
}

// checkFraming refuses what servers could read otherwise than fasthttp does: folded lines and two lengths. Guards
// against a request that hides another one.
func checkFraming(h *fasthttp.RequestHeader) *requestError {
	lengths, chunked := 0, false
	for line := range bytes.SplitSeq(h.RawHeaders(), []byte{'\n'}) {
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return newRequestError(fasthttp.StatusBadRequest, "folded header")
		}
		switch name, _, _ := bytes.Cut(line, []byte{':'}); strings.ToLower(string(name)) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			chunked = true
		}
	}
	if lengths > 1 || lengths == 1 && chunked {
		return newRequestError(fasthttp.StatusBadRequest, "more than one length")
	}
	return nil
}

// classOf is the first part of the path.
func (s *settingsSnapshot) classOf(path []byte) (int, bool) {
	name, _, _ := strings.Cut(strings.TrimPrefix(string(path), "/"), "/")
	i, ok := s.classes[name]
	return i, ok
}

// checkMethod checks that the request comes as its class does.
func (s *settingsSnapshot) checkMethod(h *fasthttp.RequestHeader, class int) *requestError {
	switch s.settings.Classes[class].Semantics {
	case decide.Idempotent:
		if !h.IsGet() {
			return newRequestError(fasthttp.StatusMethodNotAllowed, "expected GET")
		}
	case decide.IdempotencyKeyed:
		if !h.IsPost() {
			return newRequestError(fasthttp.StatusMethodNotAllowed, "expected POST")
		}
		if len(h.Peek("Idempotency-Key")) == 0 {
			return newRequestError(fasthttp.StatusBadRequest, "Idempotency-Key: missing")
		}
	default:
		if !h.IsPost() {
			return newRequestError(fasthttp.StatusMethodNotAllowed, "expected POST")
		}
	}
	return nil
}

// objectKey is what the request is about.
func objectKey(query []byte) string {
	for pair := range bytes.SplitSeq(query, []byte{'&'}) {
		if v, ok := bytes.CutPrefix(pair, []byte("obj=")); ok {
			return string(v)
		}
	}
	return ""
}

// isHopByHop tells of the headers that are for one hop alone, and of those that the sidecar writes itself.
func isHopByHop(header string) bool {
	switch header {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect":
		return true
	}
	return header == "content-length" || strings.EqualFold(header, upstream.DeadlineHeader) || strings.EqualFold(header, auditevent.RefHeader)
}

// forwardedHead makes the bytes that go on: request line and headers as they came, but for those that end here. The target goes on
// in origin form; a request of HTTP/1.0 that names no host goes on with an empty name, as one of HTTP/1.1 must have it.
func forwardedHead(h *fasthttp.RequestHeader, uri []byte, body *requestBody) []byte {
	raw := h.RawHeaders()
	b := make([]byte, 0, len(raw)+len(uri)+64)
	b = append(append(b, h.Method()...), ' ')
	b = append(append(b, uri...), " HTTP/1.1\r\n"...)
	drop := strings.ToLower(string(bytes.Join(h.PeekAll("Connection"), []byte{','})))
	host := false
	for line := range bytes.SplitSeq(raw, []byte{'\n'}) {
		line = bytes.TrimSuffix(line, []byte{'\r'})
		name, _, ok := bytes.Cut(line, []byte{':'})
		low := strings.ToLower(string(name))
		host = host || low == "host"
		if !ok || isHopByHop(low) || isNamedIn(drop, low) {
			continue
		}
		b = append(append(b, line...), "\r\n"...)
	}
	if !host {
		b = append(b, "Host:\r\n"...)
	}
	switch {
	case body.remainder != nil && body.length < 0:
		return append(b, "Transfer-Encoding: chunked\r\n"...)
	case body.remainder != nil:
		return appendContentLength(b, body.length)
	case len(body.buffered) > 0 || !h.IsGet():
		return appendContentLength(b, int64(len(body.buffered)))
	}
	return b
}

func appendContentLength(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	return append(strconv.AppendInt(b, n, 10), "\r\n"...)
}

// isNamedIn tells whether a Connection header names a header as one that ends here.
func isNamedIn(connection, header string) bool {
	for token := range strings.SplitSeq(connection, ",") {
		if strings.TrimSpace(token) == header {
			return true
		}
	}
	return false
}
