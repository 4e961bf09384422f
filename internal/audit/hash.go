package audit

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest returns the first 8 bytes of the SHA-256 of a settings file as a big-endian integer.
func Digest(settings []byte) uint64 {
	sum := sha256.Sum256(settings)
	return binary.BigEndian.Uint64(sum[:8])
}

// Hash is the SHA-256 of an encoded segment.
type Hash [sha256.Size]byte

// String returns the first 6 bytes of the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:6]) }
