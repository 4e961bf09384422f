package frontend

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"damsonscale/decide"
	"damsonscale/internal/sidecar"
	"damsonscale/internal/upstream"
)

const (
	maxID       = 128       // bytes of a request's id
	maxDeadline = time.Hour // a longer one is no deadline
)

// fault is why a request can't be taken.
type fault struct {
	status int
	text   string
}

func bad(status int, format string, args ...any) *fault {
	return &fault{status, fmt.Sprintf(format, args...)}
}

// parse takes out the fields that decisions need; at is when the request had come.
func (f *Frontend) parse(ctx *fasthttp.RequestCtx, at time.Time) (*sidecar.Call, *fault) {
	h := &ctx.Request.Header
	if wrong := framing(h); wrong != nil {
		return nil, wrong
	}
	now := f.now.Load()
	uri := h.RequestURI()
	path, query, _ := bytes.Cut(uri, []byte{'?'})
	class, ok := now.class(path)
	if !ok {
		return nil, bad(fasthttp.StatusNotFound, "unknown class")
	}
	if wrong := now.method(h, class); wrong != nil {
		return nil, wrong
	}
	id := h.Peek("Req-Id")
	if len(id) == 0 || len(id) > maxID || len(h.PeekAll("Req-Id")) > 1 {
		return nil, bad(fasthttp.StatusBadRequest, "Req-Id: expected once, with 1 to %d bytes", maxID)
	}
	left, err := strconv.ParseInt(string(h.Peek(upstream.DeadlineHeader)), 10, 64)
	if err != nil || left <= 0 || left > maxDeadline.Milliseconds() || len(h.PeekAll(upstream.DeadlineHeader)) > 1 {
		return nil, bad(fasthttp.StatusBadRequest, "%s: expected 1 to %d", upstream.DeadlineHeader, maxDeadline.Milliseconds())
	}
	r := decide.Request{
		ID: string(id), Class: class, Tenant: -1, Key: key(query), IsRetry: string(h.Peek("Req-Retry")) == "1",
	}
	if t, ok := now.tenants[string(h.Peek("Req-Owner"))]; ok {
		r.Tenant = t
	}
	body := ctx.Request.Body()
	m := upstream.Message{Head: head(h, uri, body), Body: body}
	return sidecar.NewCall(now.settings, r, m, at, time.Duration(left)*time.Millisecond), nil
}

// framing refuses what servers could read otherwise than fasthttp does: folded lines and two lengths. Guards
// against a request that hides another one.
func framing(h *fasthttp.RequestHeader) *fault {
	lengths, chunked := 0, false
	for line := range bytes.SplitSeq(h.RawHeaders(), []byte{'\n'}) {
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return bad(fasthttp.StatusBadRequest, "folded header")
		}
		switch name, _, _ := bytes.Cut(line, []byte{':'}); strings.ToLower(string(name)) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			chunked = true
		}
	}
	if lengths > 1 || lengths == 1 && chunked {
		return bad(fasthttp.StatusBadRequest, "more than one length")
	}
	return nil
}

// class is the first part of the path.
func (s *snapshot) class(path []byte) (int, bool) {
	name, _, _ := strings.Cut(strings.TrimPrefix(string(path), "/"), "/")
	i, ok := s.classes[name]
	return i, ok
}

// method checks that the request comes as its class does.
func (s *snapshot) method(h *fasthttp.RequestHeader, class int) *fault {
	switch s.settings.Classes[class].Semantics {
	case decide.Idempotent:
		if !h.IsGet() {
			return bad(fasthttp.StatusMethodNotAllowed, "expected GET")
		}
	case decide.Deduplicated:
		if !h.IsPost() {
			return bad(fasthttp.StatusMethodNotAllowed, "expected POST")
		}
		if len(h.Peek("Idempotency-Key")) == 0 {
			return bad(fasthttp.StatusBadRequest, "Idempotency-Key: missing")
		}
	default:
		if !h.IsPost() {
			return bad(fasthttp.StatusMethodNotAllowed, "expected POST")
		}
	}
	return nil
}

// key is what the request is about.
func key(query []byte) string {
	for pair := range bytes.SplitSeq(query, []byte{'&'}) {
		if v, ok := bytes.CutPrefix(pair, []byte("obj=")); ok {
			return string(v)
		}
	}
	return ""
}

// endsHere tells of the headers that are for one hop alone, and of the two that the sidecar writes itself.
func endsHere(header string) bool {
	switch header {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect":
		return true
	}
	return header == "content-length" || strings.EqualFold(header, upstream.DeadlineHeader)
}

// head makes the bytes that go on: request line and headers as they came, but for those that end here.
func head(h *fasthttp.RequestHeader, uri, body []byte) []byte {
	raw := h.RawHeaders()
	b := make([]byte, 0, len(raw)+len(uri)+64)
	b = append(append(b, h.Method()...), ' ')
	b = append(append(b, uri...), " HTTP/1.1\r\n"...)
	drop := strings.ToLower(string(h.Peek("Connection")))
	for line := range bytes.SplitSeq(raw, []byte{'\n'}) {
		line = bytes.TrimSuffix(line, []byte{'\r'})
		name, _, ok := bytes.Cut(line, []byte{':'})
		low := strings.ToLower(string(name))
		if !ok || endsHere(low) || named(drop, low) {
			continue
		}
		b = append(append(b, line...), "\r\n"...)
	}
	if len(body) > 0 || !h.IsGet() {
		b = append(b, "Content-Length: "...)
		b = append(strconv.AppendInt(b, int64(len(body)), 10), "\r\n"...)
	}
	return b
}

// named tells whether a Connection header names a header as one that ends here.
func named(connection, header string) bool {
	for token := range strings.SplitSeq(connection, ",") {
		if strings.TrimSpace(token) == header {
			return true
		}
	}
	return false
}
