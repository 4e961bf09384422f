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
	"damsonscale/internal/memory"
	"damsonscale/internal/sidecar"
	"damsonscale/internal/upstream"
)

// Names of log events.
const (
	eventAcceptFailed         = "accept_failed"
	eventClientStalled        = "client_stalled"
	eventClientsShed          = "clients_shed"
	eventDrained              = "drained"
	eventStreamHandoverFailed = "stream_handover_failed"
	eventResumedStreamFailed  = "resumed_stream_failed"
)

// Limits on requests and connections. A request that exceeds a limit is rejected, see response.go.
const (
	maxHeadBytes     = 8 << 10
	headTimeout      = 2500 * time.Millisecond // time limit for the complete head, from the accept or from the head's first byte
	bodyStartTimeout = 1500 * time.Millisecond // time limit for the first 8 KiB of a body
	bodyStallTimeout = 1200 * time.Millisecond // maximum time without a byte of a body that has not ended

	// idleTimeout exceeds the 2 s for which clients may rely on an idle connection. A longer timeout would keep sockets
	// that other clients need.
	idleTimeout = 2200 * time.Millisecond
)

// Frontend accepts connections from clients and answers their requests. Its setters may be called from any goroutine
// unless they say otherwise.
type Frontend struct {
	sidecar    *sidecar.Sidecar
	lifecycle  *lifecycle.Tracker
	replicator RequestReplicator   // nil if requests are not replicated
	recorder   auditevent.Recorder // nil if there is no audit log
	httpServer *fasthttp.Server

	snapshot       atomic.Pointer[settingsSnapshot]
	memory         *memory.Account           // of all requests, beyond what each connection is counted for
	receiveBuffers *memory.Account           // of the system's buffers for streamed bodies
	successor      atomic.Pointer[Successor] // set during a shutdown with a successor process
	expectsStreams atomic.Bool               // whether the predecessor may hand streams over, see SetExpectsStreams

	// softLimit is the number of connections above which each new connection evicts an idle one.
	softLimit atomic.Int64
	// connectionLimit is the number of connections that may be open.
	connectionLimit atomic.Int64
	// streams is the number of streamed responses that are being written. Resumed streams count, but are never refused.
	streams atomic.Int64
	shed    shedCounts
	pauses  pauseMonitor
	// slots is a semaphore that limits connections. It contains a token for each open connection and each withheld slot.
	slots chan struct{}
	// acceptLoopDone is set when the listener is closed and its last connection has been added to conns.
	acceptLoopDone atomic.Bool

	mu              sync.Mutex
	conns           map[*clientConn]bool
	owedSlots       int // number of connections in conns without a slot of their own, see adoptConn
	withheldSlots   int // number of slots that no connection may take
	slotsToWithhold int // number of slots by which the connection limit is below the limit given to New
	lastAccept      time.Time

	acceptErrorLoggedAt time.Time // used only by the accept loop
}

// settingsSnapshot contains immutable settings and the indexes of their classes and tenants by name.
type settingsSnapshot struct {
	settings *decide.Settings
	classes  map[string]int
	tenants  map[string]int
}

// New returns a frontend that allows at most maxConns client connections, whose requests reserve what they hold from account.
func New(side *sidecar.Sidecar, life *lifecycle.Tracker, settings *decide.Settings, maxConns int, account *memory.Account) *Frontend {
	f := &Frontend{
		sidecar: side, lifecycle: life, memory: account, receiveBuffers: memory.NewAccount(receiveBufferBudget), conns: map[*clientConn]bool{}, slots: make(chan struct{}, maxConns),
	}
	f.SetConnectionLimit(maxConns)
	f.ApplySettings(settings)
	f.httpServer = &fasthttp.Server{
		Handler:            f.handle,
		ErrorHandler:       rejectMalformed,
		StreamRequestBody:  true,
		MaxRequestBodySize: upstream.MaxBufferedBytes, // fasthttp reads no more than this ahead
		ReadBufferSize:     maxHeadBytes,
		ReadTimeout:        headTimeout,
		IdleTimeout:        idleTimeout,
		HeaderReceived: func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
			return fasthttp.RequestConfig{ReadTimeout: bodyStartTimeout}
		},
		Concurrency:                  1 << 20, // never reached; clients would read fasthttp's 503 as a rejection by the sidecar
		DisablePreParseMultipartForm: true,    // bodies are forwarded unchanged
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		Logger:                       discardLogger{},
	}
	return f
}

// discardLogger drops fasthttp's log, which has a line for each connection error.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// ApplySettings sets the settings for requests that are parsed from now on. The caller must not change settings
// afterwards.
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

// SetReplicator sets the replicator of requests. It must be called before Serve.
func (f *Frontend) SetReplicator(r RequestReplicator) { f.replicator = r }

// SetRecorder sets the recorder of the audit log. It must be called before Serve.
func (f *Frontend) SetRecorder(r auditevent.Recorder) { f.recorder = r }

// SetExpectsStreams sets whether the predecessor is shutting down and may hand streams over. Shutdown waits for them.
func (f *Frontend) SetExpectsStreams(expects bool) { f.expectsStreams.Store(expects) }

// Serve accepts connections from ln until Shutdown closes it.
func (f *Frontend) Serve(ln net.Listener) error {
	queuedSince := time.Now().Add(-maxQueueTime) // the socket may be one that the predecessor listened on
	return f.httpServer.Serve(&listener{Listener: ln, frontend: f, queuedSince: queuedSince})
}
