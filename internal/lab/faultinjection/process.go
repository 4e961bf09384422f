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
	readyTimeout      = 20 * time.Second      // from the start of a process until it reports readiness
	terminateTimeout  = 10 * time.Second      // from SIGTERM until the process is killed
	readyPollInterval = 10 * time.Millisecond // between two readiness checks
)

// ProcessStarter starts processes with a parent-death signal, so that the kernel kills them when this program ends, however it ends. The
// signal is bound to the thread that starts a process, so a single locked thread starts all of them.
type ProcessStarter struct {
	requests chan func() // functions to run on the thread
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
				return // the thread ends with the goroutine that has locked it
			}
		}
	}()
	return s
}

// Start starts a process in a process group of its own. It must not be called after Close.
func (s *ProcessStarter) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	result := make(chan error, 1)
	s.requests <- func() { result <- cmd.Start() }
	return <-result
}

// Close ends the thread, so that the kernel kills the processes.
func (s *ProcessStarter) Close() { close(s.done) }

// process is one sidecar. During an upgrade it consists of two operating-system processes.
type process struct {
	name, binary, listen, dir string
	config                    map[string]any
	env                       []string
	starter                   *ProcessStarter
	log                       *os.File

	mu       sync.Mutex
	current  *osProcess // the one started last
	killedBy int        // number of active faults that keep the process killed
	pausedBy int        // number of active faults that keep the process stopped by SIGSTOP
	uptimes  []interval
	closed   bool
}

// osProcess is one process of the operating system.
type osProcess struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has exited
}

// interval is a time during which a process ran and was not paused. The end is zero while the interval lasts.
type interval struct{ from, to time.Time }

// prepare creates the directory, the configuration file and the log file of the process.
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

// run starts an operating-system process as the current one. The caller holds mu.
func (p *process) run() error {
	cmd := exec.Command(p.binary)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.dir, p.log, p.log
	cmd.Env = append(os.Environ(), p.env...)
	if err := p.starter.Start(cmd); err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	started := &osProcess{cmd: cmd, done: make(chan struct{})}
	go func() { cmd.Wait(); close(started.done) }()
	p.current = started
	p.markRunning(true)
	return nil
}

// markRunning starts an uptime interval, or ends the current one.
func (p *process) markRunning(running bool) {
	open := len(p.uptimes) > 0 && p.uptimes[len(p.uptimes)-1].to.IsZero()
	switch {
	case running && !open:
		p.uptimes = append(p.uptimes, interval{from: time.Now()})
	case !running && open:
		p.uptimes[len(p.uptimes)-1].to = time.Now()
	}
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run()
}

// suspend kills the process, or pauses it with SIGSTOP, until the matching resume.
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

// resume ends a suspension. The process is started or continued when no fault keeps it killed or paused.
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

// terminateAndRestart ends the process with SIGTERM and restarts it. It does nothing if the process is killed, paused or closed.
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

// upgrade starts a second process, and ends the first one with SIGTERM a second later. It does nothing if the process is killed, paused or
// closed.
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

// waitOrKill waits until the process has exited after SIGTERM, and kills it after terminateTimeout.
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

// close kills the process, which cannot be resumed afterwards.
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

// crashed reports whether the process exited although no fault and no call of close ended it.
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

// usage returns the CPU time and the resident memory in bytes of the process, or zeros if the process is killed or /proc cannot be read.
func (p *process) usage() (cpu time.Duration, rss int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil || p.killedBy > 0 {
		return 0, 0
	}
	const clockTick = 10 * time.Millisecond // unit of CPU times in /proc
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.current.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	_, afterName, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(afterName)
	if len(fields) < 22 {
		return 0, 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return time.Duration(user+system) * clockTick, pages * int64(os.Getpagesize())
}

// waitReady waits until the process reports readiness, for up to readyTimeout.
func (p *process) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.listen+"/health/ready", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(request)
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if p.crashed() {
			return errors.New(p.name + " exited before it was ready; its log is " + p.log.Name())
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s did not report readiness: %w", p.name, ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
}
