package takeover

// MessageKind is the kind of a request to a replica or of its reply.
type MessageKind uint8

// Kinds of messages. Write and Prepare are sent to replicas; all others are replies. The numbers are part of the wire format.
const (
	Write           MessageKind = 0  // requests that the replica stores Record under Ballot
	Prepare         MessageKind = 1  // requests a promise for Ballot and the stored record
	Accepted        MessageKind = 2  // the record is stored
	Promised        MessageKind = 3  // the ballot is promised; Record is the stored record if HasRecord is set
	OwnerAlive      MessageKind = 4  // the owner is a member and has no response yet: the sender waits for it
	HigherBallot    MessageKind = 5  // the replica has promised or accepted PromisedBallot, which is higher
	SenderNotMember MessageKind = 6  // the sender is not a member, or its message is invalid
	StaleEpoch      MessageKind = 7  // the replica's view is older than the sender's epoch
	ReplicaTooNew   MessageKind = 8  // the replica joined too recently to know whether the request was claimed before
	OutOfCapacity   MessageKind = 9  // the replica has no room for the record
	IDInUse         MessageKind = 10 // the id belongs to another request
	RecordExpired   MessageKind = 11 // the replica had a record of the request, which has expired
)

// Message is a message between an owner and a replica. A reply repeats the ID and the Ballot of the message that it answers.
type Message struct {
	_              struct{} `cbor:",toarray"`
	Kind           MessageKind
	ReplyTo        MessageKind // of a reply: Write or Prepare
	ID             string
	Ballot         Ballot
	Epoch          uint64 // of the sender's view
	Digest         uint64 // of the request, with Prepare
	Seq            uint32 // of the record, with Write; of the stored record, with Accepted
	PromisedBallot Ballot // with HigherBallot
	HasRecord      bool   // with Promised
	RecordBallot   Ballot // ballot under which Record was accepted, with HasRecord
	Record         *Record
}

// Envelope is a message with the name of its recipient.
type Envelope struct {
	To string
	Message
}
