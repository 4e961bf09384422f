//go:build planted

package fleet

import (
	"os"
	"strconv"

	"damsonscale/internal/audit"
	"damsonscale/internal/takeover"
)

// faultVariable is the environment variable with the number of the fault to inject, in builds with the tag "planted".
const faultVariable = "DAMSONSCALE_PLANT"

// Numbers of faults. Numbers below auditFaults are takeover.InjectedFault; numbers from there to below ignoreFenceFault are
// audit.InjectedFault after subtraction of auditFaults.
const (
	auditFaults        = 10
	ignoreFenceFault   = 20
	guardOffByOneFault = 21
)

// faultsOfBuild returns the fault that the environment selects.
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
