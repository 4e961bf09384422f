package faultinjection

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readyTimeout      = 20 * time.Second // from the start of a process
	terminateTimeout  = 10 * time.Second // from SIGTERM; then the process is killed
	readyPollInterval = 10 * time.Millisecond
)

// ProcessStarter starts processes from one locked thread with a parent-death signal, so that the kernel kills them when this
// program ends, however it ends.
type ProcessStarter struct {
	requests chan func()
	done     chan struct{}
}

// NewProcessStarter returns a ProcessStarter. Close kills all processes that it started.
func NewProcessStarter() *ProcessStarter {
	s := &ProcessStarter{requests: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread()
		for {
			select {
			case f := <-s.requests:
				f()
			case <-s.done:
				return // a locked thread ends with its goroutine
			}
		}
	}()
	return s
}

// Start starts a process in a process group of its own. It must not be called after Close.
func (s *ProcessStarter) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	back := make(chan error, 1)
	s.requests <- func() { back <- cmd.Start() }
	return <-back
}

// Close ends the thread.
func (s *ProcessStarter) Close() { close(s.done) }

// process is one sidecar; during an upgrade it consists of two operating-system processes.
type process struct {
	name, binary, listen, dir string
	config                    map[string]any
	env                       []string
	starter                   *ProcessStarter
	log                       *os.File

	mu       sync.Mutex
	current  *osProcess
	killedBy int // number of active faults that keep it from running
	pausedBy int // number of active faults that keep it paused
	uptimes  []interval
	closed   bool
}

// osProcess is one process of the operating system.
type osProcess struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// interval is a time during which a process ran and was not paused; one that has not ended has a zero end.
type interval struct{ from, to time.Time }

func (p *process) prepare() error {
	if err := os.MkdirAll(p.dir, 0o755); err != nil {
		return err
	}
	text, err := json.Marshal(p.config)
	if err != nil {
		return err
	}
	path := filepath.Join(p.dir, "config.json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return err
	}
	p.env = append(p.env, "PROXY_CONFIG="+path, "TMPDIR="+p.dir)
	p.log, err = os.Create(filepath.Join(p.dir, "log"))
	return err
}

// run starts a process of the operating system. The caller holds mu.
func (p *process) run() error {
	cmd := exec.Command(p.binary)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.dir, p.log, p.log
	cmd.Env = append(os.Environ(), p.env...)
	if err := p.starter.Start(cmd); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	s := &osProcess{cmd: cmd, done: make(chan struct{})}
	go func() { cmd.Wait(); close(s.done) }()
	p.current = s
	p.markRunning(true)
	return nil
}

// markRunning records that the process runs from now on, or no longer.
func (p *process) markRunning(up bool) {
	open := len(p.uptimes) > 0 && p.uptimes[len(p.uptimes)-1].to.IsZero()
	switch {
	case up && !open:
		p.uptimes = append(p.uptimes, interval{from: time.Now()})
	case !up && open:
		p.uptimes[len(p.uptimes)-1].to = time.Now()
	}
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run()
}

// suspend kills the process (or, with pause, stops it) until the matching resume.
func (p *process) suspend(pause bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pause {
		p.pausedBy++
		p.signal(syscall.SIGSTOP)
	} else {
		p.killedBy++
		p.signal(syscall.SIGKILL)
		p.waitExit()
	}
	p.markRunning(false)
}

func (p *process) resume(pause bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	if pause {
		if p.pausedBy--; p.pausedBy == 0 && p.killedBy == 0 {
			p.signal(syscall.SIGCONT)
			p.markRunning(true)
		}
		return nil
	}
	if p.killedBy--; p.killedBy > 0 {
		return nil
	}
	if err := p.run(); err != nil {
		return err
	}
	if p.pausedBy > 0 {
		p.signal(syscall.SIGSTOP)
		p.markRunning(false)
	}
	return nil
}

// terminateAndRestart ends the process with SIGTERM and starts it again.
func (p *process) terminateAndRestart() error {
	p.mu.Lock()
	if p.killedBy > 0 || p.pausedBy > 0 || p.closed {
		p.mu.Unlock()
		return nil
	}
	p.killedBy++
	old := p.current
	p.markRunning(false)
	p.signal(syscall.SIGTERM)
	p.mu.Unlock()
	old.waitOrKill()
	return p.resume(false)
}

// upgrade starts a second process beside the first, and ends the first once the second serves.
func (p *process) upgrade(ctx context.Context) error {
	p.mu.Lock()
	if p.killedBy > 0 || p.pausedBy > 0 || p.closed {
		p.mu.Unlock()
		return nil
	}
	old := p.current
	err := p.run()
	p.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
	}
	old.cmd.Process.Signal(syscall.SIGTERM)
	old.waitOrKill()
	return nil
}

// waitOrKill waits for a process after SIGTERM, and kills it after terminateTimeout.
func (s *osProcess) waitOrKill() {
	select {
	case <-s.done:
	case <-time.After(terminateTimeout):
		s.cmd.Process.Kill()
		<-s.done
	}
}

func (p *process) signal(sig syscall.Signal) {
	if p.current != nil {
		p.current.cmd.Process.Signal(sig)
	}
}

func (p *process) waitExit() {
	if p.current != nil {
		<-p.current.done
	}
}

// close kills the process; it is not started again.
func (p *process) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.signal(syscall.SIGKILL)
	p.waitExit()
	p.markRunning(false)
	if p.log != nil {
		p.log.Close()
	}
}

// crashed reports whether the process exited without having been told to.
func (p *process) crashed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil || p.killedBy > 0 || p.closed {
		return false
	}
	select {
	case <-p.current.done:
		return true
	default:
		return false
	}
}

// usage returns the CPU time and the resident memory in bytes of the process; zeros where /proc can't be read.
func (p *process) usage() (cpu time.Duration, rss int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil || p.killedBy > 0 {
		return 0, 0
	}
	const tick = 10 * time.Millisecond // the kernel's unit
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.current.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	_, after, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(after)
	if len(f) < 22 {
		return 0, 0
	}
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	pages, _ := strconv.ParseInt(f[21], 10, 64)
	return time.Duration(user+system) * tick, pages * int64(os.Getpagesize())
}

// waitReady waits until the process reports readiness.
func (p *process) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		ask, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.listen+"/health/ready", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(ask)
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if p.crashed() {
			return errors.New(p.name + " ended at its start, see " + p.log.Name())
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", p.name, ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
}
