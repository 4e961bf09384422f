//go:build review

// Package rig has the stand-ins of the second review: servers, a discovery service, clients and links, all on loopback, and the
// processes of the project that a case starts with the command of the deploy file.
package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0 // the rule held
	broken    = 1 // the rule was broken
	cannotRun = 2 // the case could not run
)

// Rig is one run of a case.
type Rig struct {
	Trouble bool   // whether the disruption takes place
	Dir     string // temporary folder, removed at the end

	start   time.Time
	command string // of the deploy file
	mu      sync.Mutex
	record  *os.File
	procs   []*Process
	starts  chan func() // run on one thread, whose end ends the processes
}

// Verdict is what a case has found.
type Verdict struct {
	Broken  bool
	Summary string
}

// Main runs a case and exits with its code. The first argument is the case's folder; the working directory is the root of the
// repository.
func Main(run func(*Rig) (Verdict, error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		os.Exit(cannotRun)
	}
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	r := &Rig{Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, start: time.Now(), record: record, starts: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for f := range r.starts {
			f()
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	time.AfterFunc(115*time.Second, func() { r.exit(cannotRun, "the case took too long") })
	go func() { <-stop; r.exit(cannotRun, "interrupted") }()
	if r.command, err = deployCommand(); err != nil {
		r.exit(cannotRun, err.Error())
	}
	verdict, err := run(r)
	switch {
	case err != nil:
		r.exit(cannotRun, err.Error())
	case verdict.Broken:
		r.exit(broken, "broken: "+verdict.Summary)
	default:
		r.exit(held, "held: "+verdict.Summary)
	}
}

// deployCommand returns the command of the deploy file that starts a sidecar.
func deployCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if m == nil {
		return "", fmt.Errorf("no run in deploy/balancer.toml")
	}
	return string(m[1]), nil
}

func (r *Rig) exit(code int, summary string) {
	for _, p := range r.procs {
		p.end()
	}
	r.Logf("%s", summary)
	fmt.Println(summary)
	r.mu.Lock() // nothing is recorded after the summary
	r.record.Close()
	os.RemoveAll(r.Dir)
	os.Exit(code)
}

// Logf writes a line to the record.
func (r *Rig) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// FreeAddr returns a free loopback address.
func FreeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer ln.Close()
	return ln.Addr().String()
}

// Process is a process of the project.
type Process struct {
	Name, Listen, Admin string

	rig    *Rig
	cmd    *exec.Cmd
	done   chan struct{} // closed when the process has exited
	ended  bool          // whether the case has ended it
	config string        // path of its configuration file
}

// Sidecar describes a process to start.
type Sidecar struct {
	Name, Listen, Admin, Discovery string
	Settings                       map[string]any
	Options                        string // path of the options file; empty: none
	Folder                         string // $TMPDIR; empty: one of its own
	MemoryMB                       int    // 0: 192
}

// Start starts a sidecar with the deploy file's command.
func (r *Rig) Start(s Sidecar) (*Process, error) {
	if s.Folder == "" {
		s.Folder = filepath.Join(r.Dir, s.Name)
	}
	if err := os.MkdirAll(s.Folder, 0o755); err != nil {
		return nil, err
	}
	if s.Admin == "" {
		s.Admin = FreeAddr()
	}
	p := &Process{Name: s.Name, Listen: s.Listen, Admin: s.Admin, rig: r, done: make(chan struct{}), config: filepath.Join(s.Folder, "config.json")}
	if s.MemoryMB == 0 {
		s.MemoryMB = 192
	}
	text, err := json.Marshal(map[string]any{
		"name": s.Name, "listen": s.Listen, "discovery": s.Discovery, "seed": fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": s.MemoryMB, "sockets": 512}, "settings": s.Settings,
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(p.config, text, 0o644); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.Folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command("/bin/sh", "-c", r.command)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	p.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+p.config, "PROXY_ADMIN="+s.Admin, "TMPDIR="+s.Folder, "DAMSONSCALE_OPTIONS="+s.Options)
	started := make(chan error)
	r.starts <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return nil, err
	}
	go func() { p.cmd.Wait(); close(p.done) }()
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	r.Logf("started %s, pid %d", s.Name, p.cmd.Process.Pid)
	return p, nil
}

// AwaitReady waits until the process says yes to both readiness calls.
func (p *Process) AwaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if isYes("http://"+p.Admin+"/healthcheck") && isYes("http://"+p.Listen+"/health/ready") {
			p.rig.Logf("%s is ready", p.Name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after 20 s", p.Name)
}

func isYes(url string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Signal sends the process a signal.
func (p *Process) Signal(s syscall.Signal) {
	p.rig.Logf("%s gets %v", p.Name, s)
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.ended = true
	}
	p.cmd.Process.Signal(s)
}

// Wait waits until the process has exited.
func (p *Process) Wait() { <-p.done }

// Crashed reports whether the process has exited by itself.
func (p *Process) Crashed() bool {
	select {
	case <-p.done:
		return !p.ended
	default:
		return false
	}
}

func (p *Process) end() {
	p.ended = true
	select {
	case <-p.done:
		return
	default:
	}
	p.cmd.Process.Kill()
	<-p.done
}

// Memory returns the resident memory of the process in MiB, or 0 if it has exited.
func (p *Process) Memory() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// Log returns the lines of the process's log that contain a text.
func (p *Process) Log(part string) (lines []string) {
	text, _ := os.ReadFile(filepath.Join(filepath.Dir(p.config), "log"))
	for line := range bytes.SplitSeq(text, []byte{'\n'}) {
		if bytes.Contains(line, []byte(part)) {
			lines = append(lines, string(line))
		}
	}
	return lines
}

// Pid returns the process's id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }
