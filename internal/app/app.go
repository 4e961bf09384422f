// Package app is the sidecar's program: it makes the parts, connects them, and starts and stops them in order.
//
// The parts have an owner of their state each: lifecycle the stage of the process, sidecar the balancer and all calls,
// frontend the clients' connections, SettingsManager the configuration in force, upgrade the listening socket. run
// starts their goroutines and waits for SIGTERM or for the first failure.
package app

import (
	"context"
	"fmt"
	"log"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"damsonscale/internal/auditevent"
	"damsonscale/internal/eventlog"
	"damsonscale/internal/frontend"
	"damsonscale/internal/options"
)

// Names of events. .ci/run waits for eventStart.
const (
	eventStart           = "start"
	eventReady           = "ready"
	eventTerminating     = "terminating"
	eventExit            = "exit"
	eventDescriptorLimit = "descriptor_limit"

	eventConfigReloaded  = "config_reloaded"
	eventReloadFailed    = "reload_failed"
	eventSettingsApplied = "settings_applied"

	eventHandoverFailed       = "handover_failed"
	eventHandoverMalformed    = "handover_message_malformed"
	eventHandoverUnavailable  = "handover_unavailable"
	eventHandoverNotifyFailed = "handover_notify_failed"
)

// FleetCommand is the argument by which the program talks to a fleet as an operator's tool instead of serving.
const FleetCommand = "fleet"

// fleetProgram is the name of the program with the fleet's libraries linked in, which stands beside this one. They more
// than double the program and the memory mapped by each sidecar, which one without a fleet doesn't pay for.
const fleetProgram = "damsonscale-fleet"

// FleetMember is a sidecar's membership of a fleet.
type FleetMember interface {
	frontend.RequestReplicator
	// AuditRecorder returns the audit log to record into; nil: none.
	AuditRecorder() auditevent.Recorder
	// SettingsDigest returns the digest of settings by which the audit log names them.
	SettingsDigest(text []byte) uint64
	// Start starts the membership, which ends with ctx. It returns once it listens.
	Start(ctx context.Context) error
	// Leave ends the membership, once no request is in flight.
	Leave()
}

// JoinFleet makes a membership, which is not started yet. maxDeadline is the longest deadline of a class.
type JoinFleet func(o *options.Options, name string, maxDeadline time.Duration, front *frontend.Frontend, settings *SettingsManager) (FleetMember, error)

// Main runs the program until SIGTERM, and exits with status 1 on an error. Where join is nil and the options want a
// fleet, fleetProgram takes this process over.
func Main(join JoinFleet) {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC) // of what libraries write
	if join == nil && len(os.Args) > 1 && os.Args[1] == FleetCommand {
		log.Fatal(execBeside(fleetProgram))
	}
	if err := run(join); err != nil {
		eventlog.Error(eventExit, err)
		os.Exit(1)
	}
}

// execBeside replaces this process by a program in the same directory, with its arguments, environment and process ID.
// It returns only with an error.
func execBeside(name string) error {
	here, err := os.Executable()
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	path := filepath.Join(filepath.Dir(here), name)
	if err := syscall.Exec(path, append([]string{path}, os.Args[1:]...), os.Environ()); err != nil {
		return fmt.Errorf("a fleet needs %s: %w", path, err)
	}
	return nil
}
