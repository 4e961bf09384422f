// Package app is the sidecar's program: it serves its client on sockets and sends each request to a server.
package app

import (
	"context"
	"fmt"
	"log"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"damsonscale/decide"
	"damsonscale/internal/admin"
	"damsonscale/internal/auditevent"
	"damsonscale/internal/config"
	"damsonscale/internal/discovery"
	"damsonscale/internal/frontend"
	"damsonscale/internal/lifecycle"
	"damsonscale/internal/options"
	"damsonscale/internal/sidecar"
)

const (
	heapPart   = 0.6                      // of the memory limit: the rest is for stacks, the runtime and the program itself
	bodyPart   = 0.2                      // of the heap, for bodies that are held
	ownSockets = 8 + discovery.MaxSockets // the runtime's, the log, the listener; the list
	clientPart = 0.5                      // of the other sockets: each request out holds one on either side

	drainMore = 600 * time.Millisecond // past the longest deadline, after SIGTERM
	drainMost = 3 * time.Second        // of that deadline: operators wait no longer before SIGKILL. Guards against a class of
	// longer deadlines, whose open requests were cut off by it unanswered
)

// fleetProgram stands beside the program. It is the same one with the fleet's libraries linked in, which more than double
// the program and the memory mapped by each sidecar; without a fleet nobody pays for them.
const fleetProgram = "damsonscale-fleet"

// Membership is a sidecar's part in a fleet.
type Membership interface {
	frontend.Keeper
	Ledger() auditevent.Recorder   // the account to keep; nil: none
	Digest(text []byte) uint64     // of settings, for the account
	Run(ctx context.Context) error // returns once it listens
	Leave()                        // ends the membership, once the work is done
}

// Join makes a membership. longest is the longest deadline of a class.
type Join func(o *options.Options, name string, longest time.Duration, front *frontend.Frontend, tuning *Tuning) (Membership, error)

// Main runs the program until SIGTERM. Where join is nil and the options want a fleet, fleetProgram takes this process over.
func Main(join Join) {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC)
	if join == nil && len(os.Args) > 1 && os.Args[1] == Fleet {
		log.Fatal(become(fleetProgram))
	}
	if err := run(join); err != nil {
		log.Fatalf("event=exit err=%q", err)
	}
}

func run(join Join) error {
	hup := make(chan os.Signal, 1) // one that comes while the file is read makes it be read again
	signal.Notify(hup, syscall.SIGHUP)
	conf, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	opts, err := options.Load(os.Getenv, conf.Name)
	if err != nil {
		return err
	}
	together := opts != nil && opts.Takeover.Enabled
	if together && join == nil {
		return become(fleetProgram)
	}
	limits := conf.Limits
	runtime.GOMAXPROCS(max(1, min(runtime.NumCPU(), int(limits.Cores+0.5))))
	own := ownSockets
	if conf.Admin != "" {
		own += 1 + admin.Conns
	}
	clients, servers := divide(descriptors(limits.Sockets), own)
	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	life, failed := &lifecycle.Owner{}, make(chan error, 2)
	if conf.Admin != "" { // first: operators see it start
		door, err := net.Listen("tcp", conf.Admin)
		if err != nil {
			return fmt.Errorf("admin %s: %w", conf.Admin, err)
		}
		go func() { failed <- admin.New(life).Serve(door) }()
	}
	up := takeOver(term, conf)
	side := sidecar.New(conf, servers)
	heap := heapPart * float64(limits.MemoryMB) * (1 << 20)
	front := frontend.New(side, life, &conf.Settings, clients, int64(bodyPart*heap))
	up.side, up.front, up.life, up.failed = side, front, life, failed
	up.share = &share{
		front: front, side: side, clients: clients, servers: servers,
		memory: heap,
	}
	up.share.set()
	var most atomic.Int64 // the longest deadline of any settings so far
	most.Store(longest(conf.Settings.Classes))
	tuning := newTuning(conf, side, front, &most)
	var members Membership
	if together {
		if members, err = join(opts, conf.Name, time.Duration(most.Load())*time.Microsecond, front, tuning); err != nil {
			return err
		}
		if ledger := members.Ledger(); ledger != nil {
			tuning.sum = members.Digest
			conf.SettingsDigest = tuning.digest(conf)
			side.SetRecorder(ledger)
			front.Audit(ledger)
		}
		if err := members.Run(context.Background()); err != nil {
			return err
		}
		front.Join(members)
	}
	go side.Run(context.Background())
	if err := up.begin(term); err != nil {
		return err
	}
	go front.Tend(term)
	go func() { // also while draining
		for range hup {
			tuning.reload()
		}
	}()
	log.Printf("event=start name=%s listen=%s discovery=%s", conf.Name, conf.Listen, conf.Discovery)
	select {
	case err := <-failed:
		return err
	case <-term.Done():
	}
	life.End()
	log.Printf("event=term name=%s", conf.Name)
	ctx, cancel := context.WithTimeout(context.Background(), drainFor(most.Load()))
	defer cancel()
	up.drain(ctx)
	if members != nil {
		members.Leave()
	}
	return nil
}

// descriptors is how many of those told this process may hold. Guards against a limit of the system below them: clients would
// take all, and the calls to discovery and to servers would find none.
func descriptors(told int) int {
	var l syscall.Rlimit // its soft limit, which the runtime has raised to the hard one
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Cur >= uint64(told) {
		return told
	}
	log.Printf("event=descriptors allowed=%d told=%d", l.Cur, told)
	return int(l.Cur)
}

// divide gives clients and servers their connections, one at least, of so many descriptors, own of which are the program's.
func divide(all, own int) (clients, servers int) {
	clients = max(1, int(clientPart*float64(all-own)))
	return clients, max(1, all-own-clients)
}

// Fleet is the argument by which the program speaks with a fleet instead of serving.
const Fleet = "fleet"

// become has a program that stands beside this one take this process over, with its environment and number.
func become(name string) error {
	here, err := os.Executable()
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	path := filepath.Join(filepath.Dir(here), name)
	if err := syscall.Exec(path, append([]string{path}, os.Args[1:]...), os.Environ()); err != nil {
		return fmt.Errorf("a fleet needs %s: %w", path, err)
	}
	return nil
}

// drainFor is how long SIGTERM's drain may last, where the longest deadline is so many µs.
func drainFor(longest int64) time.Duration {
	return min(time.Duration(longest)*time.Microsecond, drainMost) + drainMore
}

// longest is the longest deadline of a class, in µs.
func longest(classes []decide.Class) (most int64) {
	for _, c := range classes {
		most = max(most, c.Deadline)
	}
	return most
}
