package frontend

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"damsonscale/internal/auditevent"
	"damsonscale/internal/upstream"
)

// isHopByHop returns whether a header, in lower case, isn't forwarded: those of one hop, and those that the sidecar
// writes itself.
func isHopByHop(header string) bool {
	switch header {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect":
		return true
	}
	return header == "content-length" || strings.EqualFold(header, upstream.DeadlineHeader) || strings.EqualFold(header, auditevent.RefHeader)
}

// forwardedHead returns the head that servers get: request line and headers as they came, but for hop-by-hop ones, with
// the target in origin form. A request of HTTP/1.0 without a host gets an empty Host, which HTTP/1.1 needs.
func forwardedHead(h *fasthttp.RequestHeader, target []byte, body *requestBody) []byte {
	raw := h.RawHeaders()
	b := make([]byte, 0, len(raw)+len(target)+64)
	b = append(append(b, h.Method()...), ' ')
	b = append(append(b, target...), " HTTP/1.1\r\n"...)
	connection := strings.ToLower(string(bytes.Join(h.PeekAll("Connection"), []byte{','})))
	hasHost := false
	for line := range bytes.SplitSeq(raw, []byte{'\n'}) {
		line = bytes.TrimSuffix(line, []byte{'\r'})
		name, _, ok := bytes.Cut(line, []byte{':'})
		lower := strings.ToLower(string(name))
		hasHost = hasHost || lower == "host"
		if !ok || isHopByHop(lower) || isNamedIn(connection, lower) {
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

// isNamedIn returns whether a Connection header, in lower case, names a header as one of this hop.
func isNamedIn(connection, header string) bool {
	for token := range strings.SplitSeq(connection, ",") {
		if strings.TrimSpace(token) == header {
			return true
		}
	}
	return false
}
