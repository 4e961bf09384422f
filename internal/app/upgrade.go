package app

import (
	"context"
	"encoding/json"
	"errors"
	"log"
	"net"
	"os"
	"runtime/debug"
	"sync"

	"damsonscale/internal/config"
	"damsonscale/internal/frontend"
	"damsonscale/internal/handover"
	"damsonscale/internal/lifecycle"
	"damsonscale/internal/sidecar"
)

// upgrade is this process's part in one: what it takes from the process before, and gives to the one after.
type upgrade struct {
	id     handover.ID
	path   string
	before *handover.Before // nil: nobody hands anything over
	held   bool             // somebody has the address all the same
	side   *sidecar.Sidecar
	front  *frontend.Frontend
	life   *lifecycle.Owner
	share  *share
	failed chan<- error
	works  chan handover.Work // that the process before hands over

	mu    sync.Mutex
	ln    net.Listener // nil: it does not accept yet
	offer *handover.Offer
}

// told is what a process tells the one after it.
type told struct {
	Drained bool `json:"drained"` // by operators
}

// ends is what a process that SIGTERM ends tells the one after it.
type ends struct {
	Open []string `json:"open"` // ids of the requests that it still has under way
}

// takeOver asks the process that is there for its socket.
func takeOver(ctx context.Context, conf *config.Config) *upgrade {
	u := &upgrade{id: handover.ID{Name: conf.Name, Listen: conf.Listen}, works: make(chan handover.Work, 16)}
	u.path = u.id.Path(os.TempDir())
	var err error
	if u.before, err = handover.Take(ctx, u.path, u.id, func(w handover.Work) { u.works <- w }); err == nil {
		return u
	}
	if !errors.Is(err, handover.ErrNone) {
		log.Printf("event=handover_failed err=%q", err)
	}
	u.held = handover.Held(u.id.Listen)
	return u
}

// begin takes the clients' address: at once where nobody has it, else as soon as this process can serve.
func (u *upgrade) begin(ctx context.Context) error {
	if u.before != nil {
		var t told
		if err := json.Unmarshal(u.before.State, &t); err != nil {
			log.Printf("event=handover_unreadable err=%q", err)
		} else if t.Drained {
			u.life.Drain()
		}
		u.share.other(true)
		u.side.SetPeerProcessActive(true)
		go func() {
			for w := range u.works {
				u.goOn(w)
			}
		}()
		go func() {
			<-u.before.Gone()
			u.side.SetPeerInFlight(nil)
			u.side.SetPeerProcessActive(false)
			u.share.other(false)
		}()
	} else if u.held {
		u.side.SetPeerProcessActive(true) // for good: that process does not tell when it ends
	} else if err := u.bind(ctx); err != nil {
		return err
	}
	go func() {
		if err := u.follow(ctx); err != nil {
			u.failed <- err
		}
	}()
	return nil
}

// goOn takes what the process before hands over or tells.
func (u *upgrade) goOn(w handover.Work) {
	if w.Client != nil {
		u.front.GoOn(w.About, w.Client, w.Server)
		return
	}
	var e ends
	if err := json.Unmarshal(w.About, &e); err != nil {
		log.Printf("event=handover_unreadable err=%q", err)
		return
	}
	u.side.SetPeerInFlight(e.Open)
	select {
	case <-u.before.Gone(): // perhaps before they were named: what it had under way has ended
		u.side.SetPeerInFlight(nil)
	default:
	}
}

// follow accepts once this process can serve, or the one that did has gone, and tells that it serves.
func (u *upgrade) follow(ctx context.Context) error {
	if u.before != nil {
		select {
		case <-u.side.EndpointsKnown():
		case <-u.before.Gone():
		}
		u.serve(u.before.Listener)
	}
	select {
	case <-u.side.EndpointsKnown():
	case <-ctx.Done():
		return nil
	}
	if u.held {
		if err := u.bind(ctx); err != nil {
			return err
		}
	}
	u.before.Serving()
	log.Printf("event=ready stage=%s handed_over=%t beside=%t", u.life.Serve(), u.before != nil, u.held)
	return nil
}

func (u *upgrade) bind(ctx context.Context) error {
	ln, err := handover.Listen(ctx, u.id.Listen)
	if err == nil {
		u.serve(ln)
	}
	return err
}

// serve accepts from ln, and offers it to a process that starts beside this one.
func (u *upgrade) serve(ln net.Listener) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ln = ln
	go func() { u.failed <- u.front.Serve(ln) }()
	socket, ok := ln.(*net.TCPListener)
	if !ok {
		return
	}
	var err error
	u.offer, err = handover.NewOffer(u.path, u.id, socket, func() any {
		return told{Drained: u.life.Stage() == lifecycle.Drained}
	}, u.share.heir)
	if err != nil { // an upgrade then shares the address
		log.Printf("event=handover_not_offered err=%q", err)
	}
}

// drain answers what is taken and returns when nothing is left or ctx ends. Where another process accepts from the
// socket this one stops at once.
func (u *upgrade) drain(ctx context.Context) {
	u.mu.Lock()
	ln, offer := u.ln, u.offer
	u.mu.Unlock()
	var pass frontend.Pass
	if offer.Heir() == handover.Serves {
		pass = offer.Pass
		if err := offer.Tell(ends{Open: u.side.InFlight()}); err != nil {
			log.Printf("event=handover_not_told err=%q", err)
		}
	}
	offer.Close()
	u.front.Drain(ctx, ln, pass)
}

// share divides what the machine grants between this process and others of the same sidecar.
type share struct {
	front            *frontend.Frontend
	side             *sidecar.Sidecar
	clients, servers int
	memory           float64 // bytes of the heap

	mu     sync.Mutex
	others int
	after  bool // one of them is the heir
}

// other tells of a process beside this one that comes or goes.
func (s *share) other(comes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if comes {
		s.others++
	} else {
		s.others--
	}
	s.set()
}

// heir tells how far the process after this one has come.
func (s *share) heir(h handover.Heir) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.after = h != handover.NoHeir
	s.set()
}

func (s *share) set() {
	parts := 1 + s.others
	if s.after {
		parts++
	}
	s.front.Hold(max(1, s.clients/parts))
	s.side.SetSocketLimit(max(1, s.servers/parts))
	debug.SetMemoryLimit(int64(s.memory / float64(parts)))
}
