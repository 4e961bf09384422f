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

	listSlots = 16 // number of endpoint lists that events can refer to

	noInstance = -1 // used instead of the number of an instance if there is none
)

// adapter is the state of one Run.
type adapter struct {
	in        *bufio.Reader
	longLine  []byte // buffer for a line that is longer than the reader's buffer
	lineCount int
	out       replyWriter
	now       int64 // time of the current batch, µs

	instances map[int64]*instance // running instances by number
	current   *instance           // instance that the following events are for; nil: it is not running
	currentID int64               // number of that instance; noInstance until the batch names one

	lists      [listSlots][]decide.Endpoint
	listFilled [listSlots]bool

	fields    [][]byte          // fields of the current line; reused
	gossip    []byte            // message of the current event; reused
	addresses map[string]string // one string for each server address, so that it is allocated once
}

// instance is a balancer with the indexes of the classes and tenants in its settings, by name.
type instance struct {
	*decide.Balancer
	classes, tenants map[string]int
}

// Run serves the protocol until the input ends, and then returns nil. For a malformed line it returns an error with the
// number of the line.
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

// errTruncated is returned if the input ends inside a batch.
var errTruncated = errors.New("input ended inside a batch, expected " + wordBatchEnd)

// batch reads a batch, passes each event to its instance as it is read, and writes the reply.
func (a *adapter) batch() error {
	line, err := a.nextLine()
	if err != nil {
		return err
	}
	if len(line) == 0 { // blank lines are allowed between batches
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

// nextLine returns the next line without its line ending. The line is valid until the next call.
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

// split splits a line at its separators into at most n fields. The last field is the rest of the line.
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

// address returns the server address in a field. Equal addresses share one string.
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
