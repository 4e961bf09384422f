package auditevent

// ConfigVersion is what a member decided an event by. It travels in segments: order and types of its fields stay.
type ConfigVersion struct {
	_        struct{} `cbor:",toarray"`
	Settings uint64   `json:"Settings"` // number that the fleet gave the settings; 0: the member's own file
	Digest   uint64   `json:"Digest"`   // first 8 bytes of the SHA-256 of the settings
	ListSeq  int64    `json:"List"`     // sequence number of the endpoint list; -1: none yet
	Build    string   `json:"Build"`    // of the program
	Protocol uint16   `json:"Protocol"` // of the fleet
}

// ConfigVersionID is the number of a ConfigVersion within one process.
type ConfigVersionID uint32
