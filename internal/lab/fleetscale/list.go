package fleetscale

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"damsonscale/internal/discovery"
)

const (
	heartbeatInterval = 2 * time.Second // of a watch
	maxDeltas         = 1024            // changes that a watch may begin behind; one further behind gets the whole list
)

// listService is the stand-in of discovery's list: whole lists first, then what changes.
type listService struct {
	addr   string
	server *http.Server

	calls, messages, bytesIn, bytesOut atomic.Int64 // watches asked for; lists and beats told; bytes both ways
	openWatches                        atomic.Int64 // watches
	deltasSent                         atomic.Int64 // changes told, each to each watch

	mu        sync.Mutex
	list      discovery.Update
	deltas    []discovery.Update // the latest, in order
	changed   chan struct{}      // closed and replaced at each change
	changedAt map[int64]time.Time
}

// startList serves a list of so many servers, all of which are at dial.
func startList(servers int, dial string) (*listService, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &listService{addr: ln.Addr().String(), changed: make(chan struct{}), changedAt: map[int64]time.Time{}}
	s.list = discovery.Update{Seq: 1, Full: true}
	for i := range servers {
		s.list.Endpoints = append(s.list.Endpoints, discovery.Endpoint{
			Host: fmt.Sprintf("server-%05d", i), Address: dial, Zone: "a", Health: discovery.Ready, Capacity: 1, MachineKind: "plain",
		})
	}
	s.server = &http.Server{Handler: s}
	go s.server.Serve(&countingListener{ln, s})
	return s, nil
}

func (s *listService) close() { s.server.Close() }

// fullList copies the list.
func (s *listService) fullList() *discovery.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.list
	l.Endpoints = slices.Clone(l.Endpoints)
	return &l
}

// changeOne changes the share of one server, and returns the list's new number.
func (s *listService) changeOneServer() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Seq++
	one := &s.list.Endpoints[int(s.list.Seq)%len(s.list.Endpoints)]
	one.Capacity = 1 + float64(s.list.Seq%7)/10
	s.deltas = append(s.deltas, discovery.Update{Seq: s.list.Seq, Endpoints: []discovery.Endpoint{*one}})
	if len(s.deltas) > maxDeltas {
		s.deltas = slices.Clone(s.deltas[len(s.deltas)-maxDeltas:])
	}
	s.changedAt[s.list.Seq] = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
	return s.list.Seq
}

// changes tells when each change was made.
func (s *listService) changes() map[int64]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.changedAt)
}

// updatesSince returns what a watch that has seen from is to be told, and what is closed at the next change.
func (s *listService) updatesSince(from int64) (out []discovery.Update, next <-chan struct{}, seq int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch behind := int(s.list.Seq - from); {
	case from < 0 || behind < 0 || behind > len(s.deltas):
		l := s.list
		l.Endpoints = slices.Clone(l.Endpoints)
		out = []discovery.Update{l}
	default:
		out = slices.Clone(s.deltas[len(s.deltas)-behind:])
	}
	return out, s.changed, s.list.Seq
}

// ServeHTTP answers one watch.
func (s *listService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	s.calls.Add(1)
	s.openWatches.Add(1)
	defer s.openWatches.Add(-1)
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	out := json.NewEncoder(w)
	for {
		news, next, seq := s.updatesSince(from)
		from = seq
		for i := range news {
			s.messages.Add(1)
			if !news[i].Full {
				s.deltasSent.Add(1)
			}
			if out.Encode(&news[i]) != nil {
				return
			}
		}
		w.(http.Flusher).Flush()
		if r.URL.Query().Get("watch") != "1" {
			return
		}
		for quiet := true; quiet; {
			select {
			case <-r.Context().Done():
				return
			case <-next:
				quiet = false
			case <-tick.C:
				s.messages.Add(1)
				io.WriteString(w, "\n")
				w.(http.Flusher).Flush()
			}
		}
	}
}

// counted counts the bytes of its connections.
type countingListener struct {
	net.Listener
	s *listService
}

// Accept accepts a connection whose bytes are counted.
func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, c.s}, nil
}

type countingConn struct {
	net.Conn
	s *listService
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.s.bytesIn.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.s.bytesOut.Add(int64(n))
	return n, err
}
