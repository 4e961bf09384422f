package takeover

// Config is the configuration of a Node. Times are in µs.
type Config struct {
	Self              Member
	MemberNames       []string // of all configured members, running or not
	ReplicationFactor int      // replicas of each record
	MaxRecords        int      // bound on the entries that this process stores as a replica
	MaxBytes          int      // bound on the size of these entries in bytes
	Retention         int64    // how long a final response is stored
	MaxRequestAge     int64    // age after which a request is not resumed
	LateRequestSlack  int64    // bound on how late a resume may be processed after MaxRequestAge
	QuorumTimeout     int64    // how long a claim waits for a quorum
	ResendInterval    int64    // between messages to a replica that has not replied
	TakeoverStagger   int64    // delay from one replica to the next before it takes over a request without its client
	Fault             InjectedFault
}

// Quorum returns how many replicas have to agree.
func (c *Config) Quorum() int { return c.ReplicationFactor/2 + 1 }

// InjectedFault is a deliberate fault. The model checker and the fault-injection lab have to detect each of them.
type InjectedFault uint8

// Injected faults. Builds with the tag "planted" select them by number.
const (
	NoFault          InjectedFault = 0
	IgnoreLease      InjectedFault = 1 // the caller does not check its lease; the Node itself is unaffected
	SendBeforeQuorum InjectedFault = 2 // a request is sent before a quorum stores its record
	InvertMembership InjectedFault = 3 // a replica treats members as evicted, and evicted processes as members
	ForgetResponse   InjectedFault = 4 // a new owner ignores the response that the replicas store
)
