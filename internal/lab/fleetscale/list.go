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
	heartbeatInterval = 2 * time.Second // between the empty lines sent on an idle watch
	maxDeltas         = 1024            // number of latest changes kept; a watch that starts further behind gets the full list
)

// listService is a stand-in for a discovery service. A watch gets the full list first and then the changes.
type listService struct {
	addr   string
	server *http.Server

	calls, messages, bytesIn, bytesOut atomic.Int64 // requests; lists, changes and heartbeats sent; bytes received and sent
	openWatches                        atomic.Int64
	deltasSent                         atomic.Int64 // changes sent, counted once per watch

	mu        sync.Mutex
	list      discovery.Update
	deltas    []discovery.Update // latest changes, in order
	changed   chan struct{}      // closed and replaced at each change
	changedAt map[int64]time.Time
}

// startList starts a list service with the given number of endpoints, all at the address dial.
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

// fullList returns a copy of the list.
func (s *listService) fullList() *discovery.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.list
	l.Endpoints = slices.Clone(l.Endpoints)
	return &l
}

// changeOneServer changes the capacity of one endpoint and returns the new sequence number of the list.
func (s *listService) changeOneServer() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Seq++
	endpoint := &s.list.Endpoints[int(s.list.Seq)%len(s.list.Endpoints)]
	endpoint.Capacity = 1 + float64(s.list.Seq%7)/10
	s.deltas = append(s.deltas, discovery.Update{Seq: s.list.Seq, Endpoints: []discovery.Endpoint{*endpoint}})
	if len(s.deltas) > maxDeltas {
		s.deltas = slices.Clone(s.deltas[len(s.deltas)-maxDeltas:])
	}
	s.changedAt[s.list.Seq] = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
	return s.list.Seq
}

// changes returns the time of each change, by sequence number.
func (s *listService) changes() map[int64]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.changedAt)
}

// updatesSince returns the updates for a watch that has seen version from, a channel that is closed at the next change, and the current
// sequence number.
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

// ServeHTTP sends the list and, on a watch, its changes and heartbeats.
func (s *listService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	s.calls.Add(1)
	s.openWatches.Add(1)
	defer s.openWatches.Add(-1)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	out := json.NewEncoder(w)
	for {
		updates, next, seq := s.updatesSince(from)
		from = seq
		for i := range updates {
			s.messages.Add(1)
			if !updates[i].Full {
				s.deltasSent.Add(1)
			}
			if out.Encode(&updates[i]) != nil {
				return
			}
		}
		w.(http.Flusher).Flush()
		if r.URL.Query().Get("watch") != "1" {
			return
		}
		for idle := true; idle; {
			select {
			case <-r.Context().Done():
				return
			case <-next:
				idle = false
			case <-heartbeat.C:
				s.messages.Add(1)
				io.WriteString(w, "\n")
				w.(http.Flusher).Flush()
			}
		}
	}
}

// countingListener counts the bytes of its connections for the list service.
type countingListener struct {
	net.Listener
	s *listService
}

// Accept returns the next connection, with its bytes counted.
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
