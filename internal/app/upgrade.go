package app

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"damsonscale/internal/config"
	"damsonscale/internal/eventlog"
	"damsonscale/internal/frontend"
	"damsonscale/internal/handover"
	"damsonscale/internal/lifecycle"
	"damsonscale/internal/sidecar"
)

// transferBuffer is the maximum number of transfers from the predecessor that are queued in this process.
const transferBuffer = 16

const (
	// memoryReleaseTime is the time that a predecessor has to release the memory that this process is to use.
	memoryReleaseTime = 500 * time.Millisecond

	maxServingDelay     = 300 * time.Millisecond // longest wait at a shutdown for the word of a successor that is connected
	servingPollInterval = 2 * time.Millisecond
)

// upgrade owns the socket that listens for clients. It takes the socket over from the predecessor, which is the running
// process of the same sidecar, and offers it to the successor, which is the process that replaces this one.
type upgrade struct {
	id          handover.ID
	path        string                // path of the Unix socket through which the processes hand over
	predecessor *handover.Predecessor // nil: no process has handed its socket over
	transfers   chan handover.Transfer

	// addressShared is true if another process listens at the address and did not hand its socket over. Each process then
	// accepts from a socket and queue of its own.
	addressShared bool

	sidecar   *sidecar.Sidecar
	frontend  *frontend.Frontend
	lifecycle *lifecycle.Tracker
	shares    *resourceShares
	failed    chan<- error // receives errors that end the process

	mu       sync.Mutex
	listener net.Listener // nil: the process does not accept clients yet
	server   *handover.Server
}

// predecessorState is the state that a process sends its successor with the socket.
type predecessorState struct {
	Draining bool `json:"drained"` // an operator drains the process
}

// inFlightNotice is the notice that a process sends its successor while both serve and when it shuts down.
type inFlightNotice struct {
	RequestIDs       []string                 `json:"open"`             // IDs of the requests in flight
	PossiblyExecuted map[string]time.Duration `json:"recent,omitempty"` // see sidecar.PossiblyExecuted; ages in ns
}

// noticeInterval is the time between two notices while both processes serve.
const noticeInterval = 100 * time.Millisecond

// notifyInFlight sends a notice to the successor. The last one has answered requests, too.
func (u *upgrade) notifyInFlight(server *handover.Server, last bool) {
	notice := inFlightNotice{RequestIDs: u.sidecar.InFlightIDs(), PossiblyExecuted: u.sidecar.PossiblyExecuted(last)}
	if err := server.Notify(notice); err != nil {
		eventlog.Warn(eventHandoverNotifyFailed, err)
	}
}

// notifyWhileServing sends notices while both processes serve, until this one shuts down: a request that comes again may come to
// the other process.
func (u *upgrade) notifyWhileServing() {
	for u.lifecycle.Stage() != lifecycle.Terminating {
		u.mu.Lock()
		server := u.server
		u.mu.Unlock()
		if server.Successor() != handover.SuccessorServing {
			return
		}
		u.notifyInFlight(server, false)
		time.Sleep(noticeInterval)
	}
}

// onSuccessor records the state of the successor.
func (u *upgrade) onSuccessor(state handover.SuccessorState) {
	u.shares.setSuccessor(state)
	if state == handover.SuccessorServing {
		go u.notifyWhileServing()
	}
}

// acquireSocket takes the listening socket over from the running process of the same sidecar, if there is one.
func acquireSocket(ctx context.Context, conf *config.Config) *upgrade {
	u := &upgrade{id: handover.ID{Name: conf.Name, Listen: conf.Listen}, transfers: make(chan handover.Transfer, transferBuffer)}
	u.path = u.id.SocketPath(os.TempDir())
	var err error
	u.predecessor, err = handover.Acquire(ctx, u.path, u.id, func(t handover.Transfer) { u.transfers <- t })
	if err == nil {
		return u
	}
	if !errors.Is(err, handover.ErrNoPredecessor) {
		eventlog.Warn(eventHandoverFailed, err)
	}
	u.addressShared = handover.AddressInUse(u.id.Listen)
	return u
}

// connect sets the components that the upgrade uses. It must be called before start.
func (u *upgrade) connect(p *program, shares *resourceShares) {
	u.sidecar, u.frontend, u.lifecycle, u.failed = p.sidecar, p.frontend, p.lifecycle, p.failed
	u.shares = shares
}

// start accepts clients at once if no other process listens at the address. Otherwise clients are accepted later, by
// becomeReady.
func (u *upgrade) start(ctx context.Context) error {
	switch {
	case u.predecessor != nil:
		u.followPredecessor()
	case u.addressShared:
		u.sidecar.SetPeerProcessActive(true) // permanently, because the other process's exit cannot be detected
	default:
		if err := u.listen(ctx); err != nil {
			return err
		}
	}
	go func() {
		if err := u.becomeReady(ctx); err != nil {
			u.failed <- err
		}
	}()
	return nil
}

// followPredecessor starts draining if the predecessor drains, and shares resources with the predecessor until the
// predecessor exits.
func (u *upgrade) followPredecessor() {
	var state predecessorState
	if err := json.Unmarshal(u.predecessor.State, &state); err != nil {
		eventlog.Warn(eventHandoverMalformed, err)
	} else if state.Draining {
		u.lifecycle.StartDraining()
	}
	u.shares.setPredecessor(true)
	u.sidecar.SetPeerProcessActive(true)
	u.sidecar.SetPeerClaimFunc(func(id string) (sidecar.PeerClaim, bool) {
		claim, ok := u.predecessor.Claim(id)
		return sidecar.PeerClaim(claim), ok
	})
	go func() {
		<-u.predecessor.Done()
		close(u.transfers) // the predecessor's last transfer is queued before its exit is reported
	}()
	go func() {
		for t := range u.transfers {
			u.receive(t)
		}
		u.frontend.SetExpectsStreams(false)
		u.sidecar.SetPeerProcessInFlightIDs(nil)
		u.sidecar.SetPeerClaimFunc(nil)
		u.sidecar.SetPeerProcessActive(false)
		u.shares.setPredecessor(false)
	}()
}

// receive handles one transfer of the predecessor: it resumes a stream of the predecessor or records the predecessor's requests in
// flight.
func (u *upgrade) receive(t handover.Transfer) {
	u.frontend.SetExpectsStreams(true)
	if t.Client != nil {
		u.frontend.ResumeStream(t.Payload, t.Client, t.Server)
		return
	}
	var notice inFlightNotice
	if err := json.Unmarshal(t.Payload, &notice); err != nil {
		eventlog.Warn(eventHandoverMalformed, err)
		return
	}
	u.sidecar.SetPeerProcessInFlightIDs(notice.RequestIDs)
	u.sidecar.AddPossiblyExecuted(notice.PossiblyExecuted)
}

// becomeReady accepts clients from the predecessor's socket once this process can serve or the predecessor has exited. Once
// this process can serve, becomeReady binds a shared address, notifies the predecessor and marks this process as ready.
func (u *upgrade) becomeReady(ctx context.Context) error {
	if u.predecessor != nil {
		released := time.After(memoryReleaseTime)
		select {
		case <-u.sidecar.EndpointsKnown():
		case <-u.predecessor.Done():
		}
		select {
		case <-released:
		case <-u.predecessor.Done():
		}
		u.accept(u.predecessor.Listener)
	}
	select {
	case <-u.sidecar.EndpointsKnown():
	case <-ctx.Done():
		return nil
	}
	if u.addressShared {
		if err := u.listen(ctx); err != nil {
			return err
		}
	}
	u.predecessor.NotifyServing()
	eventlog.Info(eventReady, "stage", u.lifecycle.MarkReady().String(),
		"socket_handed_over", u.predecessor != nil, "address_shared", u.addressShared)
	return nil
}

// listen binds the address and accepts clients from it.
func (u *upgrade) listen(ctx context.Context) error {
	ln, err := handover.Listen(ctx, u.id.Listen)
	if err == nil {
		u.accept(ln)
	}
	return err
}

// accept accepts clients from ln and offers ln to a successor.
func (u *upgrade) accept(ln net.Listener) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.listener = ln
	go func() { u.failed <- u.frontend.Serve(ln) }()
	socket, ok := ln.(*net.TCPListener)
	if !ok {
		return
	}
	var err error
	u.server, err = handover.NewServer(u.path, u.id, socket, func() any {
		return predecessorState{Draining: u.lifecycle.Stage() == lifecycle.Draining}
	}, u.onSuccessor)
	u.server.SetClaimHandler(func(id string) handover.Claim { return handover.Claim(u.sidecar.ClaimForPeer(id)) })
	if err != nil { // a successor will then share the address by SO_REUSEPORT
		eventlog.Warn(eventHandoverUnavailable, err)
	}
}

// shutdown returns when no request is in flight or ctx ends. Once a successor accepts from the socket, this process stops
// accepting and hands its streams over.
func (u *upgrade) shutdown(ctx context.Context) {
	u.mu.Lock()
	ln, server := u.listener, u.server
	u.mu.Unlock()
	server.Close()
	awaitServing(ctx, server)
	u.frontend.Shutdown(ctx, ln, func() frontend.Successor {
		if server.Successor() != handover.SuccessorServing {
			return nil
		}
		u.notifyInFlight(server, true)
		return server
	})
}

// awaitServing waits for a connected successor's word that it serves. The operator has seen that it is ready, but this process
// may not have read the word yet if it gets little CPU; without a successor it would close connections early.
func awaitServing(ctx context.Context, server *handover.Server) {
	ctx, cancel := context.WithTimeout(ctx, maxServingDelay)
	defer cancel()
	tick := time.NewTicker(servingPollInterval)
	defer tick.Stop()
	for server.Successor() == handover.SuccessorStarting {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
