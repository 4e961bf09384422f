package cells

// InjectedFault is a fault that tests inject to prove that the model checker detects it.
type InjectedFault uint8

// Injected faults.
const (
	NoFault               InjectedFault = iota
	EarlyDeparture                      // a member's departure is certified while its lease may be valid
	LeaseWhileSealing                   // a cell that is about to be sealed continues to grant leases
	FormerCellsDropped                  // a join does not record the former cells of the member
	FirstAttemptUnchecked               // the first attempt of a request just after a move is not looked up in the former cell
	StaleUpdateAccepted                 // a cell applies an update that is older than its state
	DigestIgnored                       // a relay does not compare its digest with the directory's
	TermIgnored                         // commands of a deposed leader of the directory are applied
	CertificateIgnored                  // a cell accepts a member of another cell without a certificate
)
