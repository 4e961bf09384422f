package cells

// InjectedFault is a fault that tests inject to show that the model checker finds it.
type InjectedFault uint8

// Injected faults.
const (
	NoFault               InjectedFault = iota
	EarlyDeparture                      // a member's departure is certified while its lease may be valid
	LeaseWhileSealing                   // a cell that is to be sealed goes on granting leases
	FormerCellsDropped                  // a join forgets from which cells the member came
	FirstAttemptUnchecked               // a first attempt just after a move does not ask the former cell
	StaleUpdateAccepted                 // a cell accepts an older update of the directory
	DigestIgnored                       // a relay does not compare digests
	TermIgnored                         // commands of a deposed leader of the directory are applied
	CertificateIgnored                  // a cell accepts a member of another one without its certificate
)
