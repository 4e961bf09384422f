//go:build !planted

package fleet

import "damsonscale/internal/custody"

// planted faults exist in builds for the rig alone, by the tag "planted".
func planted() custody.Plant { return custody.Sound }
