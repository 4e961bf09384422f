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

// fault is why a request can't be taken.
type fault struct {
	status int
	text   string
}

func bad(status int, format string, args ...any) *fault {
	return &fault{status, fmt.Sprintf(format, args...)}
}

// parsed is what the head of a request tells.
type parsed struct {
	now     *snapshot
	request decide.Request
	left    time.Duration
	uri     []byte
}

// parse takes out the fields that decisions need.
func (f *Frontend) parse(h *fasthttp.RequestHeader) (*parsed, *fault) {
	if wrong := framing(h); wrong != nil {
		return nil, wrong
	}
	now := f.now.Load()
	uri := target(h)
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
	return &parsed{now: now, request: r, left: time.Duration(left) * time.Millisecond, uri: uri}, nil
}

// call makes the call of a request whose body is held as far as it will be; at is when its last byte had come.
func (p *parsed) call(h *fasthttp.RequestHeader, b *body, at time.Time) *sidecar.Call {
	m := upstream.Message{Head: head(h, p.uri, b), Body: b.held, Remainder: b.rest}
	return sidecar.NewCall(p.now.settings, p.request, m, at, p.left)
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
	case decide.IdempotencyKeyed:
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

// endsHere tells of the headers that are for one hop alone, and of those that the sidecar writes itself.
func endsHere(header string) bool {
	switch header {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect":
		return true
	}
	return header == "content-length" || strings.EqualFold(header, upstream.DeadlineHeader) || strings.EqualFold(header, auditevent.RefHeader)
}

// head makes the bytes that go on: request line and headers as they came, but for those that end here. The target goes on
// in origin form; a request of HTTP/1.0 that names no host goes on with an empty name, as one of HTTP/1.1 must have it.
func head(h *fasthttp.RequestHeader, uri []byte, body *body) []byte {
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
		if !ok || endsHere(low) || named(drop, low) {
			continue
		}
		b = append(append(b, line...), "\r\n"...)
	}
	if !host {
		b = append(b, "Host:\r\n"...)
	}
	switch {
	case body.rest != nil && body.length < 0:
		return append(b, "Transfer-Encoding: chunked\r\n"...)
	case body.rest != nil:
		return length(b, body.length)
	case len(body.held) > 0 || !h.IsGet():
		return length(b, int64(len(body.held)))
	}
	return b
}

func length(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	return append(strconv.AppendInt(b, n, 10), "\r\n"...)
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
