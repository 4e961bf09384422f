package config

import "fmt"

// Limits are the resources of the machine that the sidecar may use.
type Limits struct {
	Cores    float64 `json:"cores"`     // CPU cores; default 1
	MemoryMB int     `json:"memory_mb"` // MiB; default 192, at least 8
	Sockets  int     `json:"sockets"`   // file descriptors; default 1024, at least 32
}

const (
	defaultCores    = 1.0
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 8  // enough for the Go runtime and the buffers of a few connections
	minSockets      = 32 // enough for the Go runtime, a listener, a discovery watch and a few connections on either side
)

// check applies defaults and validates the limits. Its error names the first key that is invalid.
func (l *Limits) check() error {
	if l.Cores == 0 {
		l.Cores = defaultCores
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	switch {
	case !(l.Cores > 0):
		return fmt.Errorf("config: limits.cores: expected more than 0, got %v", l.Cores)
	case l.MemoryMB < minMemoryMB:
		return fmt.Errorf("config: limits.memory_mb: expected at least %d, got %d", minMemoryMB, l.MemoryMB)
	case l.Sockets < minSockets:
		return fmt.Errorf("config: limits.sockets: expected at least %d, got %d", minSockets, l.Sockets)
	}
	return nil
}
