//go:build !planted

package fleet

// faultsOfBuild returns no faults: faults are injected only in builds with the tag "planted", by which the lab checks that its
// tests detect them.
func faultsOfBuild() injectedFaults { return injectedFaults{} }
