package fleet

import (
	"cmp"
	"runtime/debug"
)

const (
	unknownBuild    = "unknown"
	maxRevisionSize = 12 // characters of the commit hash
)

// buildRevision returns the commit that the program was built from, else the module's version.
func buildRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownBuild
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(maxRevisionSize, len(s.Value))]
		}
	}
	return cmp.Or(info.Main.Version, unknownBuild)
}
