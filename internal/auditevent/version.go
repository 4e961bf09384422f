package auditevent

// ConfigVersion identifies the configuration that a member decided under. Segments contain it as a CBOR array: the order and types of its
// fields must not change.
type ConfigVersion struct {
	_        struct{} `cbor:",toarray"`
	Settings uint64   `json:"Settings"` // version number that the fleet assigned to the settings; 0 for the member's own file
	Digest   uint64   `json:"Digest"`   // first 8 bytes of the SHA-256 of the settings
	ListSeq  int64    `json:"List"`     // sequence number of the endpoint list; -1 before the first list
	Build    string   `json:"Build"`    // build of the program
	Protocol uint16   `json:"Protocol"` // protocol version of the fleet
}

// ConfigVersionID identifies a ConfigVersion within one process.
type ConfigVersionID uint32
