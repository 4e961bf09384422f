// Package frame splits the byte stream between members of a fleet into frames of bounded length with a checksum.
//
// A frame is a header of 16 bytes and a payload. The header has "DF", the version, the kind, the payload's length (4 bytes,
// big endian), and the 64-bit xxHash of the header's first 8 bytes and the payload (8 bytes, big endian). Kinds belong to the
// packages that use frames.
//
// The functions have no state: they may be called from any goroutine.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Version is the version of the fleet's protocol: of the frame and of all that members send in it.
const Version = 2

// Sizes in bytes.
const (
	HeaderSize = 16
	MaxPayload = 4 << 20
)

// Offsets in a header.
const (
	versionOffset  = 2
	kindOffset     = 3
	lengthOffset   = 4
	checksumOffset = 8
)

// readStep is by how many bytes Read grows its buffer at a time.
const readStep = 64 << 10

// Errors after which a stream can't be read any further.
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

// PayloadSize returns the length in bytes of the payload behind a header, or ErrNotFrame, a VersionError or ErrTooLong.
func PayloadSize(header []byte) (int, error) {
	if len(header) < HeaderSize || header[0] != 'D' || header[1] != 'F' {
		return 0, ErrNotFrame
	}
	if header[versionOffset] != Version {
		return 0, VersionError{header[versionOffset]}
	}
	n := binary.BigEndian.Uint32(header[lengthOffset:])
	if n > MaxPayload {
		return 0, ErrTooLong
	}
	return int(n), nil
}

// Append appends a frame to b. It returns ErrTooLong for a payload over MaxPayload.
func Append(b []byte, kind byte, payload []byte) ([]byte, error) {
	if len(payload) > MaxPayload {
		return b, ErrTooLong
	}
	at := len(b)
	b = append(b, 'D', 'F', Version, kind)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint64(b, checksum(b[at:at+checksumOffset], payload))
	return append(b, payload...), nil
}

// checksum hashes the header up to its checksum field, and the payload.
func checksum(header, payload []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.Write(header)
	d.Write(payload)
	return d.Sum64()
}

// Read reads one frame. Its memory grows with the bytes that have arrived, not with the length that the header claims. It
// returns io.EOF at the end of the stream, io.ErrUnexpectedEOF within a frame, and the errors of PayloadSize or ErrChecksum.
func Read(in io.Reader) (kind byte, payload []byte, err error) {
	var header [HeaderSize]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return 0, nil, err
	}
	n, err := PayloadSize(header[:])
	if err != nil {
		return 0, nil, err
	}
	for len(payload) < n {
		at := len(payload)
		payload = append(payload, make([]byte, min(readStep, n-at))...)
		if _, err := io.ReadFull(in, payload[at:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return 0, nil, err
		}
	}
	if checksum(header[:checksumOffset], payload) != binary.BigEndian.Uint64(header[checksumOffset:]) {
		return 0, nil, ErrChecksum
	}
	return header[kindOffset], payload, nil
}
