// Package frame encodes and decodes frames of bounded length with a checksum, in which members of a fleet send and store data.
//
// A frame is a header of 16 bytes and a payload. The header consists of "DF", the version (1 byte), the kind (1 byte), the
// payload's length (4 bytes, big endian), and the 64-bit xxHash of the header's first 8 bytes and the payload (8 bytes, big
// endian). The kinds are defined by the packages that use frames.
//
// The functions have no state and may be called from any goroutine.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Version is the version of the protocol between members. It covers both frames and payloads.
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

// readStep is the number of bytes by which Read grows its buffer.
const readStep = 64 << 10

// Errors after which a stream cannot be read any further.
var (
	ErrNotFrame = errors.New("data does not start with a frame header")
	ErrTooLong  = fmt.Errorf("payload is longer than %d bytes", MaxPayload)
	ErrChecksum = errors.New("frame checksum does not match")
)

// VersionError reports a frame of another protocol version.
type VersionError struct{ Version byte }

func (e VersionError) Error() string {
	return fmt.Sprintf("frame has protocol version %d, this build supports version %d", e.Version, Version)
}

// PayloadSize returns the length in bytes of the payload that follows a header. The error is ErrNotFrame, a VersionError or
// ErrTooLong.
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

// Append appends a frame to b. It returns ErrTooLong for a payload longer than MaxPayload.
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

// Read reads one frame. It allocates memory as bytes arrive, so that a false length in a header does not exhaust memory. The error
// is io.EOF at the end of the stream, io.ErrUnexpectedEOF at the end within a frame, an error of PayloadSize, or ErrChecksum.
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
