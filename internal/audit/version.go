// Package audit keeps account of what a sidecar did under which version of what it goes by. It does no input or output
// and reads no clock; docs/audit.md tells how and why.
package audit

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest is that of the bytes of a settings file: the first 8 of its SHA-256.
func Digest(text []byte) uint64 {
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:8])
}

// Hash is that of a segment.
type Hash [sha256.Size]byte

// String is its first bytes, which tell segments apart for a reader.
func (h Hash) String() string { return hex.EncodeToString(h[:6]) }
