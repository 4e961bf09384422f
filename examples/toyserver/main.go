// Command toyserver is what a newcomer tries a sidecar with: a few servers of different speed on loopback, and
// a discovery service that lists them. An interrupt makes the last server drain; a second one ends the program.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"time"

	"damsonscale/internal/discovery"
	"damsonscale/internal/eventlog"
)

const (
	discoveryAddr = "127.0.0.1:8500"
	firstPort     = 9001
	servers       = 3
	latency       = 10 * time.Millisecond // of the fastest server; the next takes twice as long, and so on
	heartbeat     = 2 * time.Second       // of a watch
)

// serve answers each request after the server's own time, with its name.
func serve(i int) {
	h := func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		time.Sleep(time.Duration(float64(i+1) * (0.5 + rand.Float64()) * float64(latency)))
		fmt.Fprintf(w, "%s %s by %s\n", r.Method, r.RequestURI, name(i))
	}
	log.Fatal(http.ListenAndServe(addr(i), http.HandlerFunc(h)))
}

func name(i int) string { return fmt.Sprintf("s-%d", i+1) }

func addr(i int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+i) }

// endpoints is the full endpoint list; the last server drains once drained is closed.
func endpoints(drained <-chan struct{}) discovery.Update {
	l := discovery.Update{Seq: 1, Full: true}
	for i := range servers {
		e := discovery.Endpoint{Host: name(i), Address: addr(i), Zone: "a", Health: discovery.Ready, Capacity: 1}
		l.Endpoints = append(l.Endpoints, e)
	}
	select {
	case <-drained:
		l.Seq = 2
		l.Endpoints[servers-1].Health = discovery.Terminating
	default:
	}
	return l
}

// discoveryHandler answers with the endpoint list; a watch stays open, gets the list again when it changes, and a
// heartbeat in between.
func discoveryHandler(drained <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		out := json.NewEncoder(w)
		out.Encode(endpoints(drained))
		if r.URL.Query().Get("watch") != "1" {
			return
		}
		flush := w.(http.Flusher).Flush
		flush()
		changed := drained
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-r.Context().Done():
				return
			case <-tick.C:
				io.WriteString(w, "\n")
			case <-changed:
				out.Encode(endpoints(drained))
				changed = nil
			}
			flush()
		}
	}
}

func main() {
	drained := make(chan struct{})
	for i := range servers {
		go serve(i)
	}
	mux := http.NewServeMux()
	mux.Handle("/registry/instances", discoveryHandler(drained))
	go func() { log.Fatal(http.ListenAndServe(discoveryAddr, mux)) }()
	eventlog.Info("start", "discovery", discoveryAddr, "servers", servers, "first", addr(0))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt)
	<-stop
	eventlog.Info("drain", "server", name(servers-1))
	close(drained)
	<-stop
}
