// Command drill runs the balancer's decisions for a simulator. It reads the simulator's protocol from standard input and
// writes the replies to standard output; see package simwire.
package main

import (
	"fmt"
	"os"

	"damsonscale/internal/simwire"
)

func main() {
	if err := simwire.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
