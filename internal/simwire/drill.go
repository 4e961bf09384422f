// Package simwire speaks the simulator's wire and hosts one decide.Balancer for each instance on it.
// It decides nothing.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"io"

	"damsonscale/decide"
)

// host is the adapter's state: the instances, the lists in their slots and the reply being written.
type host struct {
	in        *bufio.Reader
	long      []byte // a line longer than the reader's buffer
	line      int
	fields    [][]byte
	word      []byte // scratch of a message
	out       writer
	instances map[int64]*instance
	about     *instance
	aboutID   int64 // -1 until ABOUT names an instance in the batch
	slots     [16][]decide.Endpoint
	filled    [16]bool
	servers   map[string]string // addresses met, so that each is allocated once
	now       int64
}

// instance is one balancer with the names its settings gave to numbers.
type instance struct {
	*decide.Balancer
	classes, tenants map[string]int
}

// Run serves the wire until in ends. A malformed line ends it with an error that names the line.
func Run(in io.Reader, out io.Writer) error {
	h := &host{
		in:        bufio.NewReaderSize(in, 1<<18),
		out:       writer{w: bufio.NewWriterSize(out, 1<<16), on: -1},
		instances: map[int64]*instance{},
		servers:   map[string]string{},
	}
	for {
		err := h.batch()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", h.line, err)
		}
	}
}

var errTruncated = errors.New("input ended inside a batch, expected YOUR_TURN")

// batch reads one batch, reporting its events as they come, and writes the reply.
func (h *host) batch() error {
	line, err := h.next()
	if err != nil {
		return err
	}
	if len(line) == 0 { // the wire page shows a blank line between batches
		return nil
	}
	rest, ok := bytes.CutPrefix(line, []byte("ROUND\t"))
	if !ok {
		return fmt.Errorf("expected ROUND with the clock, got %q", clip(line))
	}
	now, err := number(rest)
	if err != nil {
		return fmt.Errorf("ROUND: %w", err)
	}
	if now < h.now {
		return fmt.Errorf("ROUND: clock went back from %d to %d", h.now, now)
	}
	h.now, h.about, h.aboutID, h.out.on = now, nil, -1, -1
	for {
		line, err := h.next()
		if err == io.EOF {
			return errTruncated
		}
		if err != nil {
			return err
		}
		if string(line) == "YOUR_TURN" {
			return h.out.done()
		}
		if err := h.event(line); err != nil {
			return err
		}
	}
}

// next returns the next line without its end, valid until the call after it.
func (h *host) next() ([]byte, error) {
	line, err := h.in.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		h.long = append(h.long[:0], line...)
		for err == bufio.ErrBufferFull {
			line, err = h.in.ReadSlice('\n')
			h.long = append(h.long, line...)
		}
		line = h.long
	}
	h.line++
	switch {
	case err == io.EOF && len(line) > 0:
		return nil, errors.New("input ended inside a line")
	case err != nil:
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}), nil
}

// split cuts a line at its tabs into at most n fields; the last takes the rest.
func (h *host) split(line []byte, n int) [][]byte {
	f := h.fields[:0]
	for len(f) < n-1 {
		i := bytes.IndexByte(line, '\t')
		if i < 0 {
			break
		}
		f, line = append(f, line[:i]), line[i+1:]
	}
	h.fields = append(f, line)
	return h.fields
}

// address returns the one string kept for a server.
func (h *host) address(b []byte) (string, error) {
	if s, ok := h.servers[string(b)]; ok {
		return s, nil
	}
	if absent(b) || len(b) == 0 {
		return "", errors.New("expected a server's address")
	}
	s := string(b)
	h.servers[s] = s
	return s, nil
}

// writer renders actions; on is the instance that the reply last named.
type writer struct {
	w   *bufio.Writer
	buf []byte
	on  int64
}

func (w *writer) done() error {
	w.w.WriteString("ACK\n")
	return w.w.Flush()
}

// voice is one instance's Actions.
type voice struct {
	out *writer
	id  int64
}

func (v voice) start(name string) []byte {
	b := v.out.buf[:0]
	if v.out.on != v.id {
		v.out.on = v.id
		b = append(b, "ON_BEHALF\t"...)
		b = append(appendInt(b, v.id), '\n')
	}
	return append(b, name...)
}

func (v voice) end(b []byte) {
	b = append(b, '\n')
	v.out.buf = b
	v.out.w.Write(b)
}

func (v voice) SendAttempt(request, server string, timeout int64) {
	b := append(append(v.start("SEND\t"), request...), '\t')
	b = append(append(b, server...), '\t')
	v.end(appendInt(b, timeout))
}

func (v voice) CancelAttempt(request string, attempt int) {
	b := append(append(v.start("RETRACT\t"), request...), '\t')
	v.end(appendInt(b, int64(attempt)))
}

func (v voice) Reject(request string, retryAfter int64) {
	b := append(append(v.start("NOT_NOW\t"), request...), '\t')
	v.end(appendInt(b, retryAfter))
}

func (v voice) Fail(request string) { v.end(append(v.start("SURRENDER\t"), request...)) }

func (v voice) CheckHealth(server string) { v.end(append(v.start("HEALTH_CHECK\t"), server...)) }

func (v voice) CloseIdleConnections(server string) { v.end(append(v.start("CLOSE_IDLE\t"), server...)) }

func (v voice) SendGossip(peer int, word []byte) {
	b := v.start("NOTIFY\t")
	if peer < 0 {
		b = append(b, '*')
	} else {
		b = appendInt(b, int64(peer))
	}
	v.end(hex.AppendEncode(append(b, '\t'), word))
}

func (v voice) WatchEndpoints(on bool) {
	if on {
		v.end(v.start("OBSERVE\t1"))
	} else {
		v.end(v.start("OBSERVE\t0"))
	}
}

func (v voice) SetTimer(in, token int64) {
	b := append(appendInt(v.start("ARM\t"), in), '\t')
	v.end(appendInt(b, token))
}

func (v voice) Log(line string) { v.end(append(v.start("PRINT\t"), line...)) }
