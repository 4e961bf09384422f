// Command toyserver runs a few servers of different speed on the loopback interface, and a discovery service that lists
// them, to try out a sidecar. The first interrupt marks the last server as draining in the endpoint list; the second
// interrupt ends the program.
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
	latency       = 10 * time.Millisecond // mean latency of server 0; that of server i is i+1 times as long
	heartbeat     = 2 * time.Second       // interval of the blank lines that keep a watch open
)

// serve runs server i. It answers each request with its name after a random latency.
func serve(i int) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		time.Sleep(time.Duration(float64(i+1) * (0.5 + rand.Float64()) * float64(latency)))
		fmt.Fprintf(w, "%s %s by %s\n", r.Method, r.RequestURI, serverName(i))
	}
	log.Fatal(http.ListenAndServe(serverAddr(i), http.HandlerFunc(handler)))
}

func serverName(i int) string { return fmt.Sprintf("s-%d", i+1) }

func serverAddr(i int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+i) }

// endpoints returns the full endpoint list. Once drained is closed, the list says that the last server is draining.
func endpoints(drained <-chan struct{}) discovery.Update {
	list := discovery.Update{Seq: 1, Full: true}
	for i := range servers {
		e := discovery.Endpoint{Host: serverName(i), Address: serverAddr(i), Zone: "a", Health: discovery.Ready, Capacity: 1}
		list.Endpoints = append(list.Endpoints, e)
	}
	select {
	case <-drained:
		list.Seq = 2
		list.Endpoints[servers-1].Health = discovery.Terminating
	default:
	}
	return list
}

// discoveryHandler answers a request with the endpoint list. The response to a watch stays open: it gets the list again when
// it changes, and a heartbeat at regular intervals.
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
	eventlog.Info("start", "discovery", discoveryAddr, "servers", servers, "first", serverAddr(0))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt)
	<-stop
	eventlog.Info("drain", "server", serverName(servers-1))
	close(drained)
	<-stop
}
