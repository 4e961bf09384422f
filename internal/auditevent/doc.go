// Package auditevent defines the audit events that a sidecar records about requests, and the configuration version that each event was
// decided under. docs/audit.md explains the design.
//
// The package has no state. The sidecar's goroutine and the handlers of client connections record events through a Recorder, which
// internal/audit implements.
package auditevent
