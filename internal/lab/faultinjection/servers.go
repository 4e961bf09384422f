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

// class is a kind of request, as the processes' settings have it.
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

// Execution is one run of a request at a server: it had come whole, and work on it began.
type Execution struct {
	Server string
	At     time.Time
	Repeat bool   // its key was known: no effect
	Answer string // what the server answers to it
	Actor  string // whose act its sending was, as the request says
}

// servers is the group of stand-ins, with what they did. Those of keyed work know each other's keys.
type servers struct {
	mu     sync.Mutex
	runs   map[string][]Execution // by request
	keys   map[string]string      // the answer, by key
	random *rand.Rand
	count  atomic.Int64
	list   discovery.Update // as discovery tells it
	ends   []io.Closer
}

func startServers(set []Server, seed uint64) (*servers, error) {
	s := &servers{
		runs: map[string][]Execution{}, keys: map[string]string{}, random: rand.New(rand.NewPCG(seed, 1)),
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
		s.ends = append(s.ends, h)
		s.list.Endpoints = append(s.list.Endpoints, discovery.Endpoint{
			Host: name, Address: ln.Addr().String(), Zone: "a", Health: discovery.Ready, Capacity: 1,
		})
	}
	return s, nil
}

func (s *servers) close() {
	for _, e := range s.ends {
		e.Close()
	}
}

// handler works on a request for the server's time, whether or not its asker waits.
func (s *servers) handler(name string, set Server) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health/live" {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // it never came whole
		}
		took, answer := s.begin(name, set, r, body)
		time.Sleep(took)
		io.WriteString(w, answer)
	}
}

// begin tallies a run. A safe request has one right answer; a key has the answer of its first run.
func (s *servers) begin(name string, set Server, r *http.Request, body []byte) (time.Duration, string) {
	id, key := r.Header.Get("Req-Id"), r.Header.Get("Idempotency-Key")
	c := strings.SplitN(strings.TrimPrefix(r.URL.Path, "/"), "/", 2)[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	run := Execution{Server: name, At: time.Now(), Actor: r.Header.Get(auditevent.RefHeader)}
	switch answer, known := s.keys[key]; {
	case r.Method == http.MethodGet:
		run.Answer = fmt.Sprintf("%s %s", c, id)
	case key != "" && known:
		run.Repeat, run.Answer = true, answer
	default:
		run.Answer = fmt.Sprintf("%s %s run %d at %s of %d bytes", c, id, s.count.Add(1), name, len(body))
		if len(body) > long {
			run.Answer += strings.Repeat(".", long)
		}
		if key != "" {
			s.keys[key] = run.Answer
		}
	}
	s.runs[id] = append(s.runs[id], run)
	return ms(set.LeastMs) + time.Duration(s.random.Float64()*float64(ms(set.MostMs-set.LeastMs))), run.Answer
}

// tally returns the runs by request.
func (s *servers) tally() map[string][]Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string][]Execution, len(s.runs))
	for id, runs := range s.runs {
		out[id] = append([]Execution(nil), runs...)
	}
	return out
}
