package takeover

// MessageKind is what a message asks for or replies.
type MessageKind uint8

// Kinds of messages: Write and Prepare go to replicas, all others are their replies. The numbers are part of the wire format.
const (
	Write           MessageKind = 0  // store this record under this ballot
	Prepare         MessageKind = 1  // promise this ballot, and return what is known
	Accepted        MessageKind = 2  // the record is stored
	Promised        MessageKind = 3  // with HasRecord, Record is what is known
	OwnerAlive      MessageKind = 4  // the owner is a member and has no response yet: wait for it
	HigherBallot    MessageKind = 5  // PromisedBallot is higher
	SenderNotMember MessageKind = 6  // the sender is no member
	StaleEpoch      MessageKind = 7  // the replica does not know the sender's epoch yet
	ReplicaTooNew   MessageKind = 8  // the replica became one after the request may have been claimed: it can't tell
	OutOfCapacity   MessageKind = 9  // the replica stores as much as it may
	IDInUse         MessageKind = 10 // the id is that of another request
	RecordExpired   MessageKind = 11 // the request was known, and its record has expired
)

// Message is one between an owner and a replica. Replies repeat the ID and the Ballot of what they answer.
type Message struct {
	_              struct{} `cbor:",toarray"`
	Kind           MessageKind
	ReplyTo        MessageKind // with a reply: Write or Prepare
	ID             string
	Ballot         Ballot
	Epoch          uint64 // of the sender's view
	Digest         uint64 // with Prepare
	Seq            uint32 // with Write; with Accepted, that of the stored record
	PromisedBallot Ballot // with HigherBallot
	HasRecord      bool   // with Promised
	RecordBallot   Ballot // under which Record was accepted, with HasRecord
	Record         *Record
}

// Envelope is a message with the name of the member that it goes to.
type Envelope struct {
	To string
	Message
}
