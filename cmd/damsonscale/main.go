// Command damsonscale is a sidecar load balancer: it accepts a client's HTTP requests and forwards each one to a server.
package main

import "damsonscale/internal/app"

func main() { app.Main(nil) }
