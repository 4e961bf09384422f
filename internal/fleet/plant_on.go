//go:build planted

package fleet

import (
	"os"
	"strconv"

	"damsonscale/internal/custody"
)

// planted is the fault that this build is to have.
func planted() custody.Plant {
	n, _ := strconv.Atoi(os.Getenv("DAMSONSCALE_PLANT"))
	return custody.Plant(n)
}
