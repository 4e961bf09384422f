package transport

import (
	"context"
	"net"
	"sync"
	"time"

	"damsonscale/internal/eventlog"
	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/frame"
	"damsonscale/internal/takeover"
)

// Names of log events.
const (
	eventSendFailed    = "fleet_send_failed"
	eventFrameRejected = "fleet_frame_rejected"
)

const (
	// logInterval is the minimum time between two log lines about one peer with one reason.
	logInterval = 10 * time.Second
	// maxLoggedReasons bounds the number of pairs of peer and reason whose last log time is stored.
	maxLoggedReasons = 1000
)

// Handlers are the functions of a member that its transport calls. They are called from several goroutines.
type Handlers struct {
	// Self returns this process's current incarnation.
	Self func() takeover.Member
	// AddressOf returns the current address of a member.
	AddressOf func(name string) string
	// HandleFrame processes a frame from another member.
	HandleFrame func(from takeover.Member, kind protocol.Kind, payload []byte)
	// HandleAdmin answers an administrative request on its connection, which is closed afterwards.
	HandleAdmin func(conn net.Conn, payload []byte)
}

// hello is the first frame of a connection between members.
type hello struct {
	_       struct{} `cbor:",toarray"`
	FleetID uint64
	From    takeover.Member
}

// Transport sends frames to peers and accepts their connections. Its methods may be called from any goroutine.
type Transport struct {
	codec    *protocol.Codec
	fleetID  uint64
	names    map[string]bool // of the configured members
	handlers Handlers

	mu               sync.Mutex
	peers            map[string]*peer
	connections      map[string]int       // open accepted connections by member name
	adminConnections int                  // administrative requests being answered
	loggedAt         map[string]time.Time // time of the last log line by peer and reason
}

// New returns a transport between the members with these names.
func New(codec *protocol.Codec, memberNames []string, handlers Handlers) *Transport {
	t := &Transport{
		codec: codec, fleetID: protocol.FleetID(memberNames), names: map[string]bool{}, handlers: handlers,
		peers: map[string]*peer{}, connections: map[string]int{}, loggedAt: map[string]time.Time{},
	}
	for _, name := range memberNames {
		t.names[name] = true
	}
	return t
}

// FleetID returns the identifier of the fleet that the transport connects.
func (t *Transport) FleetID() uint64 { return t.fleetID }

// Send queues a frame for a member without blocking, and drops the frame if the queue is full. Frames are sent to a member until
// the ctx of the first Send to that member ends.
func (t *Transport) Send(ctx context.Context, name string, kind protocol.Kind, payload []byte) {
	encoded, err := frame.Append(nil, byte(kind), payload)
	if err != nil {
		eventlog.Warn(eventSendFailed, err, "to", name)
		return
	}
	t.mu.Lock()
	p := t.peers[name]
	if p == nil {
		p = &peer{transport: t, name: name, queue: make(chan outgoing, peerQueueSize)}
		t.peers[name] = p
		go p.run(ctx)
	}
	t.mu.Unlock()
	select {
	case p.queue <- outgoing{t.handlers.Self(), encoded}:
	default:
	}
}

// LogRejected logs why frames from a peer were rejected, at most once per logInterval for each reason.
func (t *Transport) LogRejected(address, name string, cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := name + cause.Error()
	if len(t.loggedAt) > maxLoggedReasons {
		clear(t.loggedAt)
	}
	if time.Since(t.loggedAt[key]) < logInterval {
		return
	}
	t.loggedAt[key] = time.Now()
	eventlog.Warn(eventFrameRejected, cause, "peer", address, "from", name)
}
