package rollout

import "crypto/sha256"

// Digest is the SHA-256 of a version's settings.
type Digest [sha256.Size]byte

// DigestOf returns the digest of settings.
func DigestOf(settings []byte) Digest { return sha256.Sum256(settings) }

// Version describes a numbered version of the settings. Snapshots and messages contain it as a CBOR array: the order and types of its fields
// must not change.
type Version struct {
	_          struct{} `cbor:",toarray"`
	Number     uint64   `json:"Number"` // from 1, never reused
	Digest     Digest   `json:"Digest"`
	SizeBytes  int      `json:"Size"`
	Author     string   `json:"Who"`
	Reason     string   `json:"Why"`
	RollbackOf uint64   `json:"Back"` // number of the version that first had these settings; 0 unless this version is a rollback
}
