package app

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"damsonscale/internal/admin"
	"damsonscale/internal/config"
	"damsonscale/internal/eventlog"
	"damsonscale/internal/frontend"
	"damsonscale/internal/lifecycle"
	"damsonscale/internal/memory"
	"damsonscale/internal/options"
	"damsonscale/internal/sidecar"
)

// Bounds of the time that a shutdown takes. Operators send SIGKILL 700 ms after the longest deadline of a class, and count
// a deadline over 3 s as 3 s. Requests that are still open then are cut off without a response, so the shutdown must end
// earlier.
const (
	shutdownMargin      = 600 * time.Millisecond // after the longest deadline
	maxShutdownDeadline = 3 * time.Second        // longest deadline that a shutdown waits for
)

// program is the sidecar's components.
type program struct {
	config    *config.Config
	lifecycle *lifecycle.Tracker
	sidecar   *sidecar.Sidecar
	frontend  *frontend.Frontend
	settings  *SettingsManager
	upgrade   *upgrade
	member    FleetMember // nil: no fleet
	failed    chan error  // errors of the listeners' goroutines
}

// run serves until SIGTERM or SIGINT, then shuts down and returns nil. It returns the first error that ends serving.
func run(join JoinFleet) error {
	reload := make(chan os.Signal, 1) // buffered: a signal during a reload causes another reload
	signal.Notify(reload, syscall.SIGHUP)
	conf, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	opts, err := options.Load(os.Getenv, conf.Name)
	if err != nil {
		return err
	}
	inFleet := opts != nil && opts.Takeover.Enabled
	if inFleet && join == nil {
		return execSibling(fleetProgram)
	}
	runtime.GOMAXPROCS(max(1, min(runtime.NumCPU(), int(conf.Limits.Cores+0.5))))
	limits := planResources(conf)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	p := &program{config: conf, lifecycle: &lifecycle.Tracker{}, failed: make(chan error, 2)}
	if err := p.startAdmin(); err != nil {
		return err
	}
	p.build(ctx, limits)
	if inFleet {
		if err := p.joinFleet(join, opts); err != nil {
			return err
		}
	}
	if err := p.start(ctx, reload); err != nil {
		return err
	}
	select {
	case err := <-p.failed:
		return err
	case <-ctx.Done():
	}
	p.shutdown()
	return nil
}

// startAdmin serves the admin API if it is configured. It runs before all other components so that operators can query the
// process while it starts.
func (p *program) startAdmin() error {
	if p.config.Admin == "" {
		return nil
	}
	ln, err := net.Listen("tcp", p.config.Admin)
	if err != nil {
		return fmt.Errorf("admin %s: %w", p.config.Admin, err)
	}
	go func() { p.failed <- admin.New(p.lifecycle).Serve(ln) }()
	return nil
}

// build creates the components and takes over the listening socket of a running process, if there is one. No component
// serves yet.
func (p *program) build(ctx context.Context, limits resources) {
	p.upgrade = acquireSocket(ctx, p.config)
	alone := limits.clientLimits(1)
	account := memory.NewAccount(alone.requestBytes)
	p.sidecar = sidecar.New(p.config, limits.serverSockets, account)
	p.frontend = frontend.New(p.sidecar, p.lifecycle, &p.config.Settings, alone.connections, account)
	shares := &resourceShares{frontend: p.frontend, sidecar: p.sidecar, account: account, total: limits}
	shares.apply()
	p.upgrade.connect(p, shares)
	p.settings = newSettingsManager(p.config, p.sidecar, p.frontend)
}

// joinFleet creates and starts the membership of this process in its fleet.
func (p *program) joinFleet(join JoinFleet, opts *options.Options) error {
	member, err := join(opts, p.config.Name, p.settings.maxDeadline(), p.frontend, p.settings)
	if err != nil {
		return err
	}
	if recorder := member.AuditRecorder(); recorder != nil {
		p.settings.digestOf = member.SettingsDigest
		p.config.SettingsDigest = p.settings.digest(p.config)
		p.sidecar.SetRecorder(recorder)
		p.frontend.SetRecorder(recorder)
	}
	if err := member.Start(context.Background()); err != nil {
		return err
	}
	p.frontend.SetReplicator(member)
	p.member = member
	return nil
}

// start starts the components. From then on SIGHUP reloads the configuration, also during the shutdown.
func (p *program) start(ctx context.Context, reload <-chan os.Signal) error {
	go p.sidecar.Run(context.Background())
	if err := p.upgrade.start(ctx); err != nil {
		return err
	}
	go p.frontend.RunOperatorDrain(ctx)
	go p.frontend.RunShedLog(ctx)
	go p.frontend.RunPauseMonitor(context.Background())
	go func() {
		for range reload {
			p.settings.reload()
		}
	}()
	eventlog.Info(eventStart, "name", p.config.Name, "listen", p.config.Listen, "discovery", p.config.Discovery)
	return nil
}

// shutdown waits for the requests in flight, hands streams over to a successor, and leaves the fleet.
func (p *program) shutdown() {
	p.lifecycle.Terminate()
	eventlog.Info(eventTerminating, "name", p.config.Name)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout(p.settings.maxDeadline()))
	defer cancel()
	p.upgrade.shutdown(ctx)
	if p.member != nil {
		p.member.Leave()
	}
}

// shutdownTimeout returns the maximum duration of a shutdown; maxDeadline is the longest deadline of a class.
func shutdownTimeout(maxDeadline time.Duration) time.Duration {
	return min(maxDeadline, maxShutdownDeadline) + shutdownMargin
}
