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
	readyWithin = 20 * time.Second // of a start
	termWithin  = 10 * time.Second // after SIGTERM; past it a process is killed
	readyStep   = 10 * time.Millisecond
)

// Starter starts processes from one thread that lives as long as it does: the kernel ends them when that thread does,
// also where this program is killed. Guards against processes that are left behind.
type Starter struct {
	asks chan func()
	done chan struct{}
}

// NewStarter makes one. Close ends it, and with it all processes that it started.
func NewStarter() *Starter {
	s := &Starter{asks: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread()
		for {
			select {
			case f := <-s.asks:
				f()
			case <-s.done:
				return // the thread ends with it
			}
		}
	}()
	return s
}

// Start starts a process in a group of its own. It may not be called after Close.
func (s *Starter) Start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	back := make(chan error, 1)
	s.asks <- func() { back <- cmd.Start() }
	return <-back
}

// Close ends the thread.
func (s *Starter) Close() { close(s.done) }

// process is one sidecar; at times two processes of the program are it.
type process struct {
	name, binary, listen, dir string
	config                    map[string]any
	env                       []string
	starter                   *Starter
	log                       *os.File

	mu      sync.Mutex
	now     *started
	down    int // faults that keep it from running
	stopped int // faults that keep it stopped
	ups     []span
	over    bool
}

// started is one process of the operating system.
type started struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// span is a time during which a process ran and was not stopped; an open one has no end.
type span struct{ from, to time.Time }

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
	s := &started{cmd: cmd, done: make(chan struct{})}
	go func() { cmd.Wait(); close(s.done) }()
	p.now = s
	p.mark(true)
	return nil
}

// mark notes that the process runs from now on, or no longer.
func (p *process) mark(up bool) {
	open := len(p.ups) > 0 && p.ups[len(p.ups)-1].to.IsZero()
	switch {
	case up && !open:
		p.ups = append(p.ups, span{from: time.Now()})
	case !up && open:
		p.ups[len(p.ups)-1].to = time.Now()
	}
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.run()
}

// hold keeps the process down (or, with pause, stopped) until the matching release.
func (p *process) hold(pause bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pause {
		p.stopped++
		p.signal(syscall.SIGSTOP)
	} else {
		p.down++
		p.signal(syscall.SIGKILL)
		p.await()
	}
	p.mark(false)
}

func (p *process) release(pause bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		return nil
	}
	if pause {
		if p.stopped--; p.stopped == 0 && p.down == 0 {
			p.signal(syscall.SIGCONT)
			p.mark(true)
		}
		return nil
	}
	if p.down--; p.down > 0 {
		return nil
	}
	if err := p.run(); err != nil {
		return err
	}
	if p.stopped > 0 {
		p.signal(syscall.SIGSTOP)
		p.mark(false)
	}
	return nil
}

// term ends it with SIGTERM and starts it again.
func (p *process) term() error {
	p.mu.Lock()
	if p.down > 0 || p.stopped > 0 || p.over {
		p.mu.Unlock()
		return nil
	}
	p.down++
	old := p.now
	p.mark(false)
	p.signal(syscall.SIGTERM)
	p.mu.Unlock()
	old.end()
	return p.release(false)
}

// upgrade starts a second process beside the first, and ends the first once the second serves.
func (p *process) upgrade(ctx context.Context) error {
	p.mu.Lock()
	if p.down > 0 || p.stopped > 0 || p.over {
		p.mu.Unlock()
		return nil
	}
	old := p.now
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
	old.end()
	return nil
}

// end waits for a process that was told to end, and kills it where it does not.
func (s *started) end() {
	select {
	case <-s.done:
	case <-time.After(termWithin):
		s.cmd.Process.Kill()
		<-s.done
	}
}

func (p *process) signal(sig syscall.Signal) {
	if p.now != nil {
		p.now.cmd.Process.Signal(sig)
	}
}

func (p *process) await() {
	if p.now != nil {
		<-p.now.done
	}
}

// close ends it for good.
func (p *process) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = true
	p.signal(syscall.SIGKILL)
	p.await()
	p.mark(false)
	if p.log != nil {
		p.log.Close()
	}
}

// crashed tells whether it ended though nobody ended it.
func (p *process) crashed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now == nil || p.down > 0 || p.over {
		return false
	}
	select {
	case <-p.now.done:
		return true
	default:
		return false
	}
}

// used tells the CPU time that the process has used, and its resident memory in bytes, as far as the system tells them.
func (p *process) used() (cpu time.Duration, rss int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now == nil || p.down > 0 {
		return 0, 0
	}
	const tick = 10 * time.Millisecond // of the kernel's account
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.now.cmd.Process.Pid))
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

// ready waits until the process serves.
func (p *process) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
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
		case <-time.After(readyStep):
		}
	}
}
