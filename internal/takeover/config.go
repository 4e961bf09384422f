package takeover

// Config is what a Node is made with. Times are in µs.
type Config struct {
	Self              Member
	MemberNames       []string // of all configured members, alive or not
	ReplicationFactor int      // replicas of each record
	MaxRecords        int      // entries that this process stores as a replica
	MaxBytes          int      // bytes of these entries
	Retention         int64    // how long a final response is stored
	MaxRequestAge     int64    // no request is resumed after this age
	LateRequestSlack  int64    // by how much a resume may come after MaxRequestAge all the same
	QuorumTimeout     int64    // how long a claim waits for a quorum
	ResendInterval    int64    // between messages to a replica that has not replied
	TakeoverStagger   int64    // between replicas that take a request over without being asked
	Fault             InjectedFault
}

// Quorum is how many replicas have to agree.
func (c *Config) Quorum() int { return c.ReplicationFactor/2 + 1 }

// InjectedFault is a deliberate fault. The model checker and the fault-injection lab have to find each of them.
type InjectedFault uint8

// Injected faults. Builds with the tag "planted" choose them by these numbers.
const (
	NoFault          InjectedFault = 0
	IgnoreLease      InjectedFault = 1 // the caller does not check its lease; a Node itself behaves as usual
	SendBeforeQuorum InjectedFault = 2 // a request is sent before a quorum has its record
	InvertMembership InjectedFault = 3 // a replica takes members for evicted, and evicted processes for members
	ForgetResponse   InjectedFault = 4 // a new owner ignores the response that the replicas know
)
