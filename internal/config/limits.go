package config

import "fmt"

// Limits are what the sidecar may use of its machine.
type Limits struct {
	Cores    float64 `json:"cores"`     // CPU cores; default 1
	MemoryMB int     `json:"memory_mb"` // MiB; default 192, at least 8
	Sockets  int     `json:"sockets"`   // file descriptors; default 1024, at least 32
}

const (
	defaultCores    = 1.0
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 8  // the runtime, and the buffers of a few connections
	minSockets      = 32 // the runtime's, a listener, a watch, and a few connections each way
)

// check applies defaults and names the first key that is invalid.
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
