package rollout

import "crypto/sha256"

// Digest is the SHA-256 of a version's settings.
type Digest [sha256.Size]byte

// DigestOf returns the digest of settings.
func DigestOf(settings []byte) Digest { return sha256.Sum256(settings) }

// Version is a version of the settings that was given a number. It is part of the fleet's log: order and types of its fields stay.
type Version struct {
	_          struct{} `cbor:",toarray"`
	Number     uint64   `json:"Number"` // from 1, never reused
	Digest     Digest   `json:"Digest"`
	SizeBytes  int      `json:"Size"`
	Author     string   `json:"Who"`
	Reason     string   `json:"Why"`
	RollbackOf uint64   `json:"Back"` // the version whose settings it has; 0: its own
}
