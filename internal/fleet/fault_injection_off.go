//go:build !planted

package fleet

// faultsOfBuild is empty: deliberate faults exist only in builds with the tag "planted", for the laboratory's tests of itself.
func faultsOfBuild() injectedFaults { return injectedFaults{} }
