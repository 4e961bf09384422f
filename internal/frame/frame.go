// Package frame cuts a stream between members of a fleet into checked, bounded pieces.
//
// A frame is 16 bytes of head and a payload: "DF", version, kind, the payload's length (4 bytes, big endian), and the
// 64-bit xxHash of the first 8 bytes and the payload (8 bytes, big endian).
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

const (
	Version    = 2
	HeaderSize = 16      // bytes
	MaxPayload = 4 << 20 // bytes of a payload
)

// Errors of a stream that can't be read on.
var (
	ErrNotFrame = errors.New("no frame of a fleet")
	ErrTooLong  = fmt.Errorf("payload over %d bytes", MaxPayload)
	ErrChecksum = errors.New("checksum does not fit")
)

// VersionError is a frame of another version of the protocol.
type VersionError struct{ Version byte }

func (e VersionError) Error() string {
	return fmt.Sprintf("frame of version %d, this build speaks %d", e.Version, Version)
}

// PayloadSize tells the payload's bytes from a head.
func PayloadSize(head []byte) (int, error) {
	if len(head) < HeaderSize || head[0] != 'D' || head[1] != 'F' {
		return 0, ErrNotFrame
	}
	if head[2] != Version {
		return 0, VersionError{head[2]}
	}
	n := binary.BigEndian.Uint32(head[4:])
	if n > MaxPayload {
		return 0, ErrTooLong
	}
	return int(n), nil
}

// Append adds a frame to b. A payload over Most is the caller's mistake and returns ErrTooLong.
func Append(b []byte, kind byte, payload []byte) ([]byte, error) {
	if len(payload) > MaxPayload {
		return b, ErrTooLong
	}
	at := len(b)
	b = append(b, 'D', 'F', Version, kind)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint64(b, sum(b[at:at+8], payload))
	return append(b, payload...), nil
}

func sum(head, payload []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.Write(head)
	d.Write(payload)
	return d.Sum64()
}

// Read reads one frame. Its memory grows with what has come, not with what the head promises. An end before the first
// byte is io.EOF, a later one io.ErrUnexpectedEOF.
func Read(in io.Reader) (kind byte, payload []byte, err error) {
	var head [HeaderSize]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return 0, nil, err
	}
	n, err := PayloadSize(head[:])
	if err != nil {
		return 0, nil, err
	}
	const step = 64 << 10
	for len(payload) < n {
		at := len(payload)
		payload = append(payload, make([]byte, min(step, n-at))...)
		if _, err := io.ReadFull(in, payload[at:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return 0, nil, err
		}
	}
	if sum(head[:8], payload) != binary.BigEndian.Uint64(head[8:]) {
		return 0, nil, ErrChecksum
	}
	return head[3], payload, nil
}
