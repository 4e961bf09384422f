//go:build planted

package fleet

import (
	"os"
	"strconv"

	"damsonscale/internal/audit"
	"damsonscale/internal/takeover"
)

// planted is the fault that this build is to have.
func planted() (p plants) {
	switch n, _ := strconv.Atoi(os.Getenv("DAMSONSCALE_PLANT")); {
	case n < 10:
		p.custody = takeover.InjectedFault(n)
	case n < 20:
		p.audit = audit.InjectedFault(n - 10)
	case n == 20:
		p.noFence = true
	case n == 21:
		p.looseGuard = true
	}
	return p
}
