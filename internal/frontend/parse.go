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

// Headers of a request.
const (
	idHeader             = "Req-Id"          // needed once; responses and the audit log go by it
	retryHeader          = "Req-Retry"       // "1": the client has sent the request before
	tenantHeader         = "Req-Owner"       // the tenant, if it has a quota
	idempotencyKeyHeader = "Idempotency-Key" // needed by classes that are idempotent with a key

	headerTrue = "1"

	maxIDBytes  = 128
	maxDeadline = time.Hour

	// objectKeyParameter is the parameter of the query that names what the request is about.
	objectKeyParameter = "obj="
)

// parsedRequest is what the head of a request says.
type parsedRequest struct {
	snapshot *settingsSnapshot // that the request is served by
	request  decide.Request
	timeLeft time.Duration // to the client's deadline, from the request's last byte on
	target   []byte        // path and query
}

// parseRequest checks a head, and reads the fields that decisions need.
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

// newCall makes the call of a request whose body is buffered; at is when its last bytes came.
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

// checkFraming rejects what servers could read differently than fasthttp does, folded lines and two lengths, since it
// could smuggle a second request.
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

// classOf returns the index of the class that the path's first segment names.
func (s *settingsSnapshot) classOf(path []byte) (int, bool) {
	name, _, _ := strings.Cut(strings.TrimPrefix(string(path), "/"), "/")
	i, ok := s.classes[name]
	return i, ok
}

// checkMethod rejects a request that doesn't come as its class does.
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

// objectKey returns what the request is about, empty if its query doesn't say.
func objectKey(query []byte) string {
	for pair := range bytes.SplitSeq(query, []byte{'&'}) {
		if v, ok := bytes.CutPrefix(pair, []byte(objectKeyParameter)); ok {
			return string(v)
		}
	}
	return ""
}
