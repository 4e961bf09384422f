package simwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"damsonscale/decide"
)

const (
	readBufferBytes  = 1 << 18
	writeBufferBytes = 1 << 16

	listSlots = 16 // endpoint lists that a batch can refer to by number

	noInstance = -1 // in place of an instance's number
)

// adapter is the state of one Run.
type adapter struct {
	in        *bufio.Reader
	longLine  []byte // a line longer than the reader's buffer
	lineCount int
	out       replyWriter
	now       int64 // of the batch, µs

	instances map[int64]*instance
	current   *instance // that the batch's events are about; nil: none that runs
	currentID int64     // noInstance until the batch names one

	lists      [listSlots][]decide.Endpoint
	listFilled [listSlots]bool

	fields    [][]byte          // of the present line; reused
	gossip    []byte            // of the present event; reused
	addresses map[string]string // of servers, so that each is allocated once
}

// instance is one balancer with the numbers of the classes and tenants in its settings.
type instance struct {
	*decide.Balancer
	classes, tenants map[string]int
}

// Run serves the protocol until in ends, and returns nil then. A malformed line ends it with an error that names the line.
func Run(in io.Reader, out io.Writer) error {
	a := &adapter{
		in:        bufio.NewReaderSize(in, readBufferBytes),
		out:       replyWriter{w: bufio.NewWriterSize(out, writeBufferBytes), instance: noInstance},
		instances: map[int64]*instance{},
		addresses: map[string]string{},
	}
	for {
		err := a.batch()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", a.lineCount, err)
		}
	}
}

// errTruncated is returned where the input ends inside a batch.
var errTruncated = errors.New("input ended inside a batch, expected " + wordBatchEnd)

// batch reads one batch, reporting its events as they come, and writes the reply.
func (a *adapter) batch() error {
	line, err := a.nextLine()
	if err != nil {
		return err
	}
	if len(line) == 0 { // blank lines may stand between batches
		return nil
	}
	rest, ok := bytes.CutPrefix(line, []byte(wordBatch+string(fieldSeparator)))
	if !ok {
		return fmt.Errorf("expected "+wordBatch+" with the clock, got %q", clip(line))
	}
	now, err := parseInt(rest)
	if err != nil {
		return fmt.Errorf(wordBatch+": %w", err)
	}
	if now < a.now {
		return fmt.Errorf(wordBatch+": clock went back from %d to %d", a.now, now)
	}
	a.now, a.current, a.currentID, a.out.instance = now, nil, noInstance, noInstance
	for {
		line, err := a.nextLine()
		if err == io.EOF {
			return errTruncated
		}
		if err != nil {
			return err
		}
		if string(line) == wordBatchEnd {
			return a.out.endReply()
		}
		if err := a.event(line); err != nil {
			return err
		}
	}
}

// nextLine returns the next line without its end, valid until the next call.
func (a *adapter) nextLine() ([]byte, error) {
	line, err := a.in.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		a.longLine = append(a.longLine[:0], line...)
		for err == bufio.ErrBufferFull {
			line, err = a.in.ReadSlice('\n')
			a.longLine = append(a.longLine, line...)
		}
		line = a.longLine
	}
	a.lineCount++
	switch {
	case err == io.EOF && len(line) > 0:
		return nil, errors.New("input ended inside a line")
	case err != nil:
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}), nil
}

// split cuts a line at its separators into at most n fields; the last takes the rest.
func (a *adapter) split(line []byte, n int) [][]byte {
	f := a.fields[:0]
	for len(f) < n-1 {
		i := bytes.IndexByte(line, fieldSeparator)
		if i < 0 {
			break
		}
		f, line = append(f, line[:i]), line[i+1:]
	}
	a.fields = append(f, line)
	return a.fields
}

// address returns the one string for a server's address.
func (a *adapter) address(b []byte) (string, error) {
	if s, ok := a.addresses[string(b)]; ok {
		return s, nil
	}
	if absent(b) || len(b) == 0 {
		return "", errors.New("expected a server's address")
	}
	s := string(b)
	a.addresses[s] = s
	return s, nil
}
