//go:build planted

package fleet

import (
	"os"
	"strconv"

	"damsonscale/internal/audit"
	"damsonscale/internal/takeover"
)

// faultVariable names the environment variable whose number chooses the fault of a build with the tag "planted".
const faultVariable = "DAMSONSCALE_PLANT"

// Numbers of faults: below auditFaults one of takeover, below ignoreFenceFault one of audit.
const (
	auditFaults        = 10
	ignoreFenceFault   = 20
	guardOffByOneFault = 21
)

// faultsOfBuild reads which fault this process is to have.
func faultsOfBuild() (faults injectedFaults) {
	switch n, _ := strconv.Atoi(os.Getenv(faultVariable)); {
	case n < auditFaults:
		faults.takeover = takeover.InjectedFault(n)
	case n < ignoreFenceFault:
		faults.audit = audit.InjectedFault(n - auditFaults)
	case n == ignoreFenceFault:
		faults.ignoreFence = true
	case n == guardOffByOneFault:
		faults.guardOffByOne = true
	}
	return faults
}
