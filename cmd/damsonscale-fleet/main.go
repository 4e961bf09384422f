// Command damsonscale-fleet is damsonscale with fleet membership. Users do not start it directly: damsonscale executes it if its
// options configure a fleet.
package main

import (
	"os"
	"time"

	"damsonscale/internal/app"
	"damsonscale/internal/fleet"
	"damsonscale/internal/frontend"
	"damsonscale/internal/operator"
	"damsonscale/internal/options"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == app.FleetCommand {
		os.Exit(operator.Main(os.Args[2:], os.Stdout, os.Stderr))
	}
	app.Main(func(o *options.Options, name string, maxDeadline time.Duration, front *frontend.Frontend, settings *app.SettingsManager) (app.FleetMember, error) {
		return fleet.New(o, name, maxDeadline, front, settings)
	})
}
