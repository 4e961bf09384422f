// Command damsonscale is one sidecar: it serves its client on sockets and sends each request to a server.
package main

import (
	"context"
	"log"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"damsonscale/internal/config"
	"damsonscale/internal/frontend"
	"damsonscale/internal/sidecar"
)

const (
	heapPart     = 0.6 // of the memory limit: the rest is for stacks, the runtime and the program itself
	ownSockets   = 24  // the runtime's, the log, the listener, the watch
	clientPart   = 0.6 // of the other sockets
	drainLongest = 3500 * time.Millisecond
)

func main() {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC)
	if err := run(); err != nil {
		log.Fatalf("event=exit err=%q", err)
	}
}

func run() error {
	conf, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	limits := conf.Limits
	debug.SetMemoryLimit(int64(heapPart * float64(limits.MemoryMB) * (1 << 20)))
	runtime.GOMAXPROCS(max(1, min(runtime.NumCPU(), int(limits.Cores+0.5))))
	clients := max(2, int(clientPart*float64(limits.Sockets-ownSockets))*10/11)
	servers := max(2, int((1-clientPart)*float64(limits.Sockets-ownSockets)))
	ln, err := net.Listen("tcp", conf.Listen)
	if err != nil {
		return err
	}
	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	side := sidecar.New(conf, servers)
	go side.Run(context.Background())
	front := frontend.New(side, &conf.Settings, clients)
	failed := make(chan error, 1)
	go func() { failed <- front.Serve(ln) }()
	log.Printf("event=start name=%s listen=%s discovery=%s", conf.Name, conf.Listen, conf.Discovery)
	select {
	case err := <-failed:
		return err
	case <-term.Done():
	}
	log.Printf("event=term name=%s", conf.Name)
	ctx, cancel := context.WithTimeout(context.Background(), drainLongest)
	defer cancel()
	front.Drain(ctx, ln)
	return nil
}
