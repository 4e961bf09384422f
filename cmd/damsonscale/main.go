// Command damsonscale is one sidecar: it serves its client on sockets and sends each request to a server.
package main

import "damsonscale/internal/app"

func main() { app.Main(nil) }
