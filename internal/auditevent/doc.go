// Package auditevent defines what an audited sidecar records about its work: events, and the version of the configuration that each
// one was decided under. docs/audit.md explains the design.
//
// The package has no state. Events are recorded through Recorder by the sidecar's goroutine and by the handlers of client connections;
// internal/audit implements it.
package auditevent
