package faultinjection

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"damsonscale/internal/auditevent"
	"damsonscale/internal/discovery"
)

// class is a request class of the settings.
type class struct {
	name      string
	semantics string
	post, key bool
}

var classes = []class{
	{name: "look", semantics: "idempotent"},
	{name: "make", semantics: "deduplicated", post: true, key: true},
	{name: "once", semantics: "at_most_once", post: true},
}

// Execution is one execution of a request at a server, from when its body was complete.
type Execution struct {
	Server   string
	At       time.Time
	Repeat   bool   // its idempotency key was known: no effect
	Response string // body of the server's response
	AuditRef string // the audit reference in the request
}

// servers is a group of test servers that share a store of idempotency keys, and record every execution.
type servers struct {
	mu         sync.Mutex
	executions map[string][]Execution // by request ID
	keys       map[string]string      // by key: the first response
	random     *rand.Rand
	count      atomic.Int64
	list       discovery.Update // the endpoint list that discovery serves
	closers    []io.Closer
}

func startServers(set []ServerConfig, seed uint64) (*servers, error) {
	s := &servers{
		executions: map[string][]Execution{}, keys: map[string]string{}, random: rand.New(rand.NewPCG(seed, 1)),
		list: discovery.Update{Seq: 1, Full: true},
	}
	for i, one := range set {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.close()
			return nil, err
		}
		name := fmt.Sprintf("s-%d", i+1)
		h := &http.Server{Handler: s.handler(name, one)}
		go h.Serve(ln)
		s.closers = append(s.closers, h)
		s.list.Endpoints = append(s.list.Endpoints, discovery.Endpoint{
			Host: name, Address: ln.Addr().String(), Zone: "a", Health: discovery.Ready, Capacity: 1,
		})
	}
	return s, nil
}

func (s *servers) close() {
	for _, e := range s.closers {
		e.Close()
	}
}

// handler serves a request for the configured service time, whether or not the client is still connected.
func (s *servers) handler(name string, set ServerConfig) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health/live" {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the request is incomplete
		}
		took, answer := s.beginExecution(name, set, r, body)
		time.Sleep(took)
		io.WriteString(w, answer)
	}
}

// beginExecution records an execution. A safe request has one correct response; a key has the response of its first execution.
func (s *servers) beginExecution(name string, set ServerConfig, r *http.Request, body []byte) (time.Duration, string) {
	id, key := r.Header.Get("Req-Id"), r.Header.Get("Idempotency-Key")
	c := strings.SplitN(strings.TrimPrefix(r.URL.Path, "/"), "/", 2)[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	run := Execution{Server: name, At: time.Now(), AuditRef: r.Header.Get(auditevent.RefHeader)}
	switch answer, known := s.keys[key]; {
	case r.Method == http.MethodGet:
		run.Response = fmt.Sprintf("%s %s", c, id)
	case key != "" && known:
		run.Repeat, run.Response = true, answer
	default:
		run.Response = fmt.Sprintf("%s %s run %d at %s of %d bytes", c, id, s.count.Add(1), name, len(body))
		if len(body) > largeBytes {
			run.Response += strings.Repeat(".", largeBytes)
		}
		if key != "" {
			s.keys[key] = run.Response
		}
	}
	s.executions[id] = append(s.executions[id], run)
	return ms(set.MinMs) + time.Duration(s.random.Float64()*float64(ms(set.MaxMs-set.MinMs))), run.Response
}

// executionsByRequest returns a copy of all executions, by request ID.
func (s *servers) executionsByRequest() map[string][]Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string][]Execution, len(s.executions))
	for id, runs := range s.executions {
		out[id] = append([]Execution(nil), runs...)
	}
	return out
}
