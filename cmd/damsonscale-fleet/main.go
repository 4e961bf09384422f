// Command damsonscale-fleet is damsonscale as a member of a fleet. Nobody starts it by hand: damsonscale becomes it where
// its options want a fleet.
package main

import (
	"time"

	"damsonscale/internal/app"
	"damsonscale/internal/fleet"
	"damsonscale/internal/frontend"
	"damsonscale/internal/options"
)

func main() {
	app.Main(func(o *options.Options, name string, longest time.Duration, front *frontend.Frontend) (app.Membership, error) {
		return fleet.New(o, name, longest, front)
	})
}
