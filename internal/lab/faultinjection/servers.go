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

// class is a request class: a service in the settings of the sidecars, and the first segment of the request path.
type class struct {
	name           string
	semantics      string // as the settings name it
	isPost, hasKey bool   // whether requests use POST, and whether they have an idempotency key
}

var classes = []class{
	{name: "look", semantics: "idempotent"},
	{name: "make", semantics: "deduplicated", isPost: true, hasKey: true},
	{name: "once", semantics: "at_most_once", isPost: true},
}

// Execution is one execution of a request by a server. It starts when the server has read the request body.
type Execution struct {
	Server   string
	At       time.Time
	Repeat   bool   // whether the idempotency key was already known, so that the execution had no effect
	Response string // body of the response
	AuditRef string // audit reference in the header of the request
}

// servers is a group of test servers that share a store of idempotency keys and record every execution.
type servers struct {
	mu            sync.Mutex
	executions    map[string][]Execution // by request ID
	responseByKey map[string]string      // body of the first response, by idempotency key
	random        *rand.Rand
	count         atomic.Int64
	list          discovery.Update // endpoint list that discovery serves
	closers       []io.Closer
}

func startServers(set []ServerConfig, seed uint64) (*servers, error) {
	s := &servers{
		executions: map[string][]Execution{}, responseByKey: map[string]string{}, random: rand.New(rand.NewPCG(seed, 1)),
		list: discovery.Update{Seq: 1, Full: true},
	}
	for i, config := range set {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.close()
			return nil, err
		}
		name := fmt.Sprintf("s-%d", i+1)
		h := &http.Server{Handler: s.handler(name, config)}
		go h.Serve(ln)
		s.closers = append(s.closers, h)
		s.list.Endpoints = append(s.list.Endpoints, discovery.Endpoint{
			Host: name, Address: ln.Addr().String(), Zone: "a", Health: discovery.Ready, Capacity: 1,
		})
	}
	return s, nil
}

func (s *servers) close() {
	for _, c := range s.closers {
		c.Close()
	}
}

// handler executes each request for a random service time within the configured range, even if the client disconnects.
func (s *servers) handler(name string, config ServerConfig) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health/live" {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the request is incomplete and is not executed
		}
		serviceTime, response := s.recordExecution(name, config, r, body)
		time.Sleep(serviceTime)
		io.WriteString(w, response)
	}
}

// recordExecution records an execution and returns its service time and response body. All executions of a safe request have equal
// responses. A request with a known idempotency key gets the response of the first execution with that key.
func (s *servers) recordExecution(name string, config ServerConfig, r *http.Request, body []byte) (time.Duration, string) {
	id, key := r.Header.Get("Req-Id"), r.Header.Get("Idempotency-Key")
	className := strings.SplitN(strings.TrimPrefix(r.URL.Path, "/"), "/", 2)[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	run := Execution{Server: name, At: time.Now(), AuditRef: r.Header.Get(auditevent.RefHeader)}
	switch response, known := s.responseByKey[key]; {
	case r.Method == http.MethodGet:
		run.Response = fmt.Sprintf("%s %s", className, id)
	case key != "" && known:
		run.Repeat, run.Response = true, response
	default:
		run.Response = fmt.Sprintf("%s %s run %d at %s of %d bytes", className, id, s.count.Add(1), name, len(body))
		if len(body) > largeBytes {
			run.Response += strings.Repeat(".", largeBytes)
		}
		if key != "" {
			s.responseByKey[key] = run.Response
		}
	}
	s.executions[id] = append(s.executions[id], run)
	return ms(config.MinMs) + time.Duration(s.random.Float64()*float64(ms(config.MaxMs-config.MinMs))), run.Response
}

// executionsByRequest returns a copy of the recorded executions, by request ID.
func (s *servers) executionsByRequest() map[string][]Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string][]Execution, len(s.executions))
	for id, runs := range s.executions {
		out[id] = append([]Execution(nil), runs...)
	}
	return out
}
