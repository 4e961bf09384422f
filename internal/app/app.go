// Package app is the sidecar's program. It creates the components, connects them, and starts and stops them in order.
//
// Each component owns a part of the state: lifecycle owns the stage of the process, sidecar the balancer and all calls,
// frontend the clients' connections, SettingsManager the configuration in force, and upgrade the listening socket. The
// function run starts their goroutines and waits for SIGTERM, SIGINT or the first failure.
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

// Names of log events. The script .ci/run waits for eventStart.
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

// FleetCommand is the first argument that selects the operator's commands for a fleet instead of serving requests.
const FleetCommand = "fleet"

// fleetProgram is the file name of the variant of this program that includes the fleet's libraries, in the same directory.
// The libraries more than double the size of the program and the memory mapped by each sidecar. The separate program
// spares sidecars without a fleet that cost.
const fleetProgram = "damsonscale-fleet"

// FleetMember is a sidecar's membership in a fleet.
type FleetMember interface {
	frontend.RequestReplicator
	// AuditRecorder returns the recorder of the audit log; nil: no audit log.
	AuditRecorder() auditevent.Recorder
	// SettingsDigest returns the digest that identifies the settings in the audit log.
	SettingsDigest(text []byte) uint64
	// Start starts the membership, which ends with ctx. It returns once the member's listener is open.
	Start(ctx context.Context) error
	// Leave ends the membership. It is called at the end of a shutdown; other members take over requests that remain.
	Leave()
}

// JoinFleet creates a membership without starting it. maxDeadline is the longest deadline of a class.
type JoinFleet func(o *options.Options, name string, maxDeadline time.Duration, front *frontend.Frontend, settings *SettingsManager) (FleetMember, error)

// Main runs the program until SIGTERM or SIGINT, and exits with status 1 on an error. If the options enable a fleet and
// join is nil, the process executes fleetProgram instead.
func Main(join JoinFleet) {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC) // for log lines of libraries
	if join == nil && len(os.Args) > 1 && os.Args[1] == FleetCommand {
		log.Fatal(execSibling(fleetProgram))
	}
	if err := run(join); err != nil {
		eventlog.Error(eventExit, err)
		os.Exit(1)
	}
}

// execSibling replaces the program of this process by another program in the same directory. Arguments, environment and
// process ID stay. It returns only on an error.
func execSibling(name string) error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	path := filepath.Join(filepath.Dir(self), name)
	if err := syscall.Exec(path, append([]string{path}, os.Args[1:]...), os.Environ()); err != nil {
		return fmt.Errorf("a fleet needs %s: %w", path, err)
	}
	return nil
}
