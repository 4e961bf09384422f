package faultinjection

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"damsonscale/internal/discovery"
)

const heartbeatInterval = 2 * time.Second // between the empty lines that keep a watch alive

// registry is a discovery service whose endpoint list does not change.
type registry struct {
	addr string
	*http.Server
}

func startRegistry(list *discovery.Update) (*registry, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	serve := func(w http.ResponseWriter, r *http.Request) {
		json.NewEncoder(w).Encode(list)
		if r.URL.Query().Get("watch") != "1" {
			return
		}
		tick := time.NewTicker(heartbeatInterval)
		defer tick.Stop()
		for {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-tick.C:
				io.WriteString(w, "\n")
			}
		}
	}
	g := &registry{addr: ln.Addr().String(), Server: &http.Server{Handler: http.HandlerFunc(serve)}}
	go g.Serve(ln)
	return g, nil
}
