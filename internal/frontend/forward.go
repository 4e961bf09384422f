package frontend

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"damsonscale/internal/auditevent"
	"damsonscale/internal/upstream"
)

// isHopByHop reports whether a header, given in lower case, is not forwarded because it is a hop-by-hop header or because
// the sidecar sets it itself.
func isHopByHop(header string) bool {
	switch header {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect":
		return true
	}
	return header == "content-length" || strings.EqualFold(header, upstream.DeadlineHeader) || strings.EqualFold(header, auditevent.RefHeader)
}

// forwardedHead returns the head that is sent to servers: the request line with the target in origin form, and the
// client's headers without hop-by-hop headers. If there is no Host header, as is allowed in HTTP/1.0, it adds an empty
// one, because HTTP/1.1 requires it.
func forwardedHead(h *fasthttp.RequestHeader, target []byte, body *requestBody) []byte {
	raw := h.RawHeaders()
	b := make([]byte, 0, len(raw)+len(target)+64)
	b = append(append(b, h.Method()...), ' ')
	b = append(append(b, target...), " HTTP/1.1\r\n"...)
	named := connectionNames(h)
	hasHost := false
	for line := range bytes.SplitSeq(raw, []byte{'\n'}) {
		line = bytes.TrimSuffix(line, []byte{'\r'})
		name, _, ok := bytes.Cut(line, []byte{':'})
		lower := strings.ToLower(string(name))
		hasHost = hasHost || lower == "host"
		if !ok || isHopByHop(lower) || named[lower] {
			continue
		}
		b = append(append(b, line...), "\r\n"...)
	}
	if !hasHost {
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

// appendContentLength appends a Content-Length header.
func appendContentLength(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	return append(strconv.AppendInt(b, n, 10), "\r\n"...)
}

// connectionNames returns the headers, in lower case, that Connection headers list as hop-by-hop.
func connectionNames(h *fasthttp.RequestHeader) map[string]bool {
	names := map[string]bool{}
	for _, value := range h.PeekAll("Connection") {
		for token := range bytes.SplitSeq(value, []byte{','}) {
			names[strings.ToLower(string(bytes.TrimSpace(token)))] = true
		}
	}
	return names
}
