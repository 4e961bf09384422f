//go:build !planted

package fleet

// planted faults exist in builds for the rig alone, by the tag "planted".
func planted() plants { return plants{} }
