package frontend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"damsonscale/decide"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/lifecycle"
	"damsonscale/internal/sidecar"
	"damsonscale/internal/upstream"
)

// Names of events.
const (
	eventAcceptFailed         = "accept_failed"
	eventDrained              = "drained"
	eventStreamHandoverFailed = "stream_handover_failed"
	eventResumedStreamFailed  = "resumed_stream_failed"
)

// Limits of a request. What exceeds one is rejected, see response.go.
const (
	maxHeadBytes     = 8 << 10
	headTimeout      = 2500 * time.Millisecond // for the whole head, from the connection's start or the head's first byte
	bodyStartTimeout = 1500 * time.Millisecond // for the first 8 KiB of a body
	bodyStallTimeout = 1200 * time.Millisecond // without a byte of a body

	// idleTimeout is more than the 2 s for which clients may rely on an idle connection.
	idleTimeout = 2200 * time.Millisecond

	// writeStallTimeout is how long a client may take nothing of its response before it counts as disconnected.
	writeStallTimeout = 5 * time.Second
)

// Frontend accepts connections of clients and answers their requests. Its setters may be called from any goroutine but
// where they say otherwise.
type Frontend struct {
	sidecar    *sidecar.Sidecar
	lifecycle  *lifecycle.Tracker
	replicator RequestReplicator   // nil: requests aren't replicated
	recorder   auditevent.Recorder // nil: no audit log
	httpServer *fasthttp.Server

	snapshot       atomic.Pointer[settingsSnapshot]
	bodyBudget     byteBudget                     // of all buffered bodies
	streamHandover atomic.Pointer[StreamHandover] // to the successor, during a shutdown
	resumedStreams atomic.Int64                   // streams of the predecessor that aren't finished

	// softLimit is the number of connections above which a new one evicts an idle one.
	softLimit atomic.Int64
	// slots is a semaphore with a token for each connection that may not be accepted: open ones and withheld ones.
	slots chan struct{}
	// acceptLoopDone is set once the listener is closed and its last connection is among conns.
	acceptLoopDone atomic.Bool

	mu            sync.Mutex
	conns         map[*clientConn]bool
	withheldSlots int // by which the limit on connections is under the one given to New
	lastAccept    time.Time

	acceptErrorLoggedAt time.Time // belongs to the accept loop
}

// settingsSnapshot is an immutable set of settings, with the indexes of classes and tenants by name.
type settingsSnapshot struct {
	settings *decide.Settings
	classes  map[string]int
	tenants  map[string]int
}

// New makes a frontend that holds at most maxConns client connections, and at most bodyBytes bytes of bodies that are
// still coming.
func New(side *sidecar.Sidecar, life *lifecycle.Tracker, settings *decide.Settings, maxConns int, bodyBytes int64) *Frontend {
	f := &Frontend{
		sidecar: side, lifecycle: life, conns: map[*clientConn]bool{}, slots: make(chan struct{}, maxConns),
	}
	f.SetConnectionLimit(maxConns)
	f.ApplySettings(settings)
	f.bodyBudget.release(bodyBytes)
	f.httpServer = &fasthttp.Server{
		Handler:            f.handle,
		ErrorHandler:       rejectMalformed,
		StreamRequestBody:  true,
		MaxRequestBodySize: upstream.MaxBufferedBytes, // beyond it fasthttp reads nothing ahead
		ReadBufferSize:     maxHeadBytes,
		ReadTimeout:        headTimeout,
		IdleTimeout:        idleTimeout,
		HeaderReceived: func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
			return fasthttp.RequestConfig{ReadTimeout: bodyStartTimeout}
		},
		Concurrency:                  1 << 20, // never reached: its 503 would count as a rejection of ours
		DisablePreParseMultipartForm: true,    // bodies are forwarded as they came
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		Logger:                       discardLogger{},
	}
	return f
}

// discardLogger drops the line that fasthttp would log for each connection with an error.
type discardLogger struct{}

// Printf drops a line.
func (discardLogger) Printf(string, ...any) {}

// ApplySettings puts settings in force for requests that are parsed from now on. The caller must not change them any
// more.
func (f *Frontend) ApplySettings(settings *decide.Settings) {
	s := &settingsSnapshot{settings: settings, classes: map[string]int{}, tenants: map[string]int{}}
	for i, c := range settings.Classes {
		s.classes[c.Name] = i
	}
	for i, t := range settings.Tenants {
		s.tenants[t.Name] = i
	}
	f.snapshot.Store(s)
}

// SetReplicator has requests replicated. It must be called before Serve.
func (f *Frontend) SetReplicator(r RequestReplicator) { f.replicator = r }

// SetRecorder has responses recorded in the audit log. It must be called before Serve.
func (f *Frontend) SetRecorder(r auditevent.Recorder) { f.recorder = r }

// Serve accepts connections from ln until Shutdown closes it.
func (f *Frontend) Serve(ln net.Listener) error {
	return f.httpServer.Serve(&listener{Listener: ln, frontend: f})
}
