package frontend

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"damsonscale/decide"
	"damsonscale/internal/sidecar"
	"damsonscale/internal/upstream"
)

// Request headers.
const (
	idHeader             = "Req-Id"          // required exactly once; identifies the request in the audit log and the fleet
	retryHeader          = "Req-Retry"       // headerTrue if the client has sent the request before
	tenantHeader         = "Req-Owner"       // name of the tenant; only a tenant with a quota counts
	idempotencyKeyHeader = "Idempotency-Key" // required by classes that are idempotent with a key

	headerTrue = "1"

	maxIDBytes  = 128       // length of a request ID
	maxDeadline = time.Hour // a request with a longer deadline is rejected as malformed

	// objectKeyParameter is the query parameter with the key of the object that the request concerns.
	objectKeyParameter = "obj="
)

// parsedRequest contains the fields of a request's head.
type parsedRequest struct {
	snapshot *settingsSnapshot // settings for serving the request
	request  decide.Request
	timeLeft time.Duration // time until the client's deadline, counted from the last byte of the request
	target   []byte        // path and query
}

// parseRequest validates a head and parses the fields that package decide needs.
func (f *Frontend) parseRequest(h *fasthttp.RequestHeader) (*parsedRequest, *rejection) {
	if rejected := checkFraming(h); rejected != nil {
		return nil, rejected
	}
	snapshot := f.snapshot.Load()
	target := originForm(h)
	path, query, _ := bytes.Cut(target, []byte{'?'})
	class, ok := snapshot.classOf(path)
	if !ok {
		return nil, reject(fasthttp.StatusNotFound, "unknown class")
	}
	if rejected := snapshot.checkMethod(h, class); rejected != nil {
		return nil, rejected
	}
	id := h.Peek(idHeader)
	if len(id) == 0 || len(id) > maxIDBytes || len(h.PeekAll(idHeader)) > 1 {
		return nil, reject(fasthttp.StatusBadRequest, idHeader+": expected once, with 1 to %d bytes", maxIDBytes)
	}
	deadline, err := strconv.ParseInt(string(h.Peek(upstream.DeadlineHeader)), 10, 64)
	if err != nil || deadline <= 0 || deadline > maxDeadline.Milliseconds() || len(h.PeekAll(upstream.DeadlineHeader)) > 1 {
		return nil, reject(fasthttp.StatusBadRequest, "%s: expected 1 to %d", upstream.DeadlineHeader, maxDeadline.Milliseconds())
	}
	r := decide.Request{
		ID: string(id), Class: class, Tenant: -1, Key: objectKey(query), IsRetry: string(h.Peek(retryHeader)) == headerTrue,
	}
	if t, ok := snapshot.tenants[string(h.Peek(tenantHeader))]; ok {
		r.Tenant = t
	}
	return &parsedRequest{snapshot: snapshot, request: r, timeLeft: time.Duration(deadline) * time.Millisecond, target: target}, nil
}

// newCall returns the call for a request whose body is buffered. at is the time at which its last bytes arrived.
func (p *parsedRequest) newCall(h *fasthttp.RequestHeader, b *requestBody, at time.Time) *sidecar.Call {
	m := upstream.Message{Head: forwardedHead(h, p.target, b), Body: b.buffered, Remainder: b.remainder}
	return sidecar.NewCall(p.snapshot.settings, p.request, m, at, p.timeLeft)
}

// originForm returns the request's target without scheme and authority.
func originForm(h *fasthttp.RequestHeader) []byte {
	uri := h.RequestURI()
	if len(uri) > 0 && uri[0] == '/' {
		return uri
	}
	scheme, rest, ok := bytes.Cut(uri, []byte("://"))
	if !ok || !bytes.EqualFold(scheme, []byte("http")) && !bytes.EqualFold(scheme, []byte("https")) {
		return uri
	}
	switch i := bytes.IndexAny(rest, "/?"); {
	case i < 0:
		return []byte{'/'}
	case rest[i] == '?':
		return append([]byte{'/'}, rest[i:]...)
	default:
		return rest[i:]
	}
}

// checkFraming rejects folded header lines and requests with two lengths. A server could parse them differently than
// fasthttp does, which would allow request smuggling.
func checkFraming(h *fasthttp.RequestHeader) *rejection {
	lengths, chunked := 0, false
	for line := range bytes.SplitSeq(h.RawHeaders(), []byte{'\n'}) {
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return reject(fasthttp.StatusBadRequest, "folded header")
		}
		switch name, _, _ := bytes.Cut(line, []byte{':'}); strings.ToLower(string(name)) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			chunked = true
		}
	}
	if lengths > 1 || lengths == 1 && chunked {
		return reject(fasthttp.StatusBadRequest, "more than one length")
	}
	return nil
}

// classOf returns the index of the class that is named by the first segment of the path.
func (s *settingsSnapshot) classOf(path []byte) (int, bool) {
	name, _, _ := strings.Cut(strings.TrimPrefix(string(path), "/"), "/")
	i, ok := s.classes[name]
	return i, ok
}

// checkMethod rejects a request without the method or the idempotency key that its class requires.
func (s *settingsSnapshot) checkMethod(h *fasthttp.RequestHeader, class int) *rejection {
	switch s.settings.Classes[class].Semantics {
	case decide.Idempotent:
		if !h.IsGet() {
			return reject(fasthttp.StatusMethodNotAllowed, "expected GET")
		}
	case decide.IdempotencyKeyed:
		if !h.IsPost() {
			return reject(fasthttp.StatusMethodNotAllowed, "expected POST")
		}
		if len(h.Peek(idempotencyKeyHeader)) == 0 {
			return reject(fasthttp.StatusBadRequest, idempotencyKeyHeader+": missing")
		}
	default:
		if !h.IsPost() {
			return reject(fasthttp.StatusMethodNotAllowed, "expected POST")
		}
	}
	return nil
}

// objectKey returns the object key in a query, or "" if there is none.
func objectKey(query []byte) string {
	for pair := range bytes.SplitSeq(query, []byte{'&'}) {
		if v, ok := bytes.CutPrefix(pair, []byte(objectKeyParameter)); ok {
			return string(v)
		}
	}
	return ""
}
