package fleetscale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"damsonscale/internal/lab/faultinjection"
)

const (
	stopTimeout     = 10 * time.Second // from the close of its input until a process is killed
	logPollInterval = 20 * time.Millisecond
)

// child is a process started by the run.
type child struct {
	name        string
	cmd         *exec.Cmd
	stdin       io.WriteCloser // of a worker; nil for a real member
	log         *os.File
	members     []int
	exited      chan struct{}
	countsReply chan Event
	killed      bool // stopped by a fault or at the end of the run
	isRelay     bool
}

// children starts and stops processes and passes their events to observe.
type children struct {
	starter    *faultinjection.ProcessStarter
	dir        string
	observe    func(*child, Event)
	all        []*child
	logReaders sync.WaitGroup
	stop       chan struct{} // closed to stop the log readers
}

func newChildren(dir string, observe func(*child, Event)) *children {
	return &children{starter: faultinjection.NewProcessStarter(), dir: dir, observe: observe, stop: make(chan struct{})}
}

func (c *children) start(name string, members []int, cmd *exec.Cmd) (*child, error) {
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &child{name: name, cmd: cmd, log: log, members: members, exited: make(chan struct{}), countsReply: make(chan Event, 1)}
	cmd.Stderr = log
	if err := c.starter.Start(cmd); err != nil {
		log.Close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	c.all = append(c.all, p)
	return p, nil
}

// startWorker starts a process with hollow members or relays.
func (c *children) startWorker(name string, members []int, command []string, w *workerSpec) (*child, error) {
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), "TMPDIR="+c.dir)
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p, err := c.start(name, members, cmd)
	if err != nil {
		return nil, err
	}
	p.stdin = in
	go func() {
		lines := bufio.NewReader(out)
		for {
			text, err := lines.ReadBytes('\n')
			if err != nil {
				break
			}
			var e Event
			if json.Unmarshal(text, &e) == nil {
				c.handle(p, e)
			}
		}
		cmd.Wait()
		close(p.exited)
	}()
	text, err := json.Marshal(w)
	if err != nil {
		return nil, err
	}
	if _, err := in.Write(append(text, '\n')); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return p, nil
}

func (c *children) handle(p *child, e Event) {
	if e.Kind == EventLinkCounts {
		select {
		case p.countsReply <- e:
		default:
		}
		return
	}
	c.observe(p, e)
}

// startReal starts the program as a real member and follows its log.
func (c *children) startReal(name string, member int, binary string, env []string) (*child, error) {
	cmd := exec.Command(binary)
	cmd.Dir, cmd.Env = c.dir, append(append(os.Environ(), "TMPDIR="+c.dir), env...)
	p, err := c.start(name, []int{member}, cmd)
	if err != nil {
		return nil, err
	}
	go func() { cmd.Wait(); close(p.exited) }()
	c.logReaders.Go(func() { c.followLog(p) })
	return p, nil
}

// followLog passes on the events in a log as the log grows.
func (c *children) followLog(p *child) {
	in, err := os.Open(p.log.Name())
	if err != nil {
		return
	}
	defer in.Close()
	lines, part := bufio.NewReader(in), ""
	for {
		text, err := lines.ReadString('\n')
		part += text
		if err == nil {
			if e, ok := parseLogLine(part); ok {
				c.observe(p, e)
			}
			part = ""
			continue
		}
		select {
		case <-c.stop:
			return
		case <-time.After(logPollInterval):
		}
	}
}

var errUnexpectedExit = errors.New("a process of the run exited unexpectedly")

// checkAlive returns an error that names a process that has exited without being stopped by the run.
func (c *children) checkAlive() error {
	for _, p := range c.all {
		if p.killed {
			continue
		}
		select {
		case <-p.exited:
			return fmt.Errorf("%w: %s%s", errUnexpectedExit, p.name, logTail(p.log.Name()))
		default:
		}
	}
	return nil
}

// logTail returns the last 300 bytes of a log, to be appended to an error message.
func logTail(path string) string {
	text, err := os.ReadFile(path)
	if err != nil || len(text) == 0 {
		return ""
	}
	return ": " + string(text[max(0, len(text)-300):])
}

// linkCounts requests the counts of all relay processes. It returns their sums by member, and the number of open connections.
func (c *children) linkCounts(ctx context.Context) (all map[string]FrameCounts, open int64, err error) {
	all = map[string]FrameCounts{}
	for _, p := range c.all {
		if !p.isRelay {
			continue
		}
		if _, err := io.WriteString(p.stdin, "\n"); err != nil {
			return nil, 0, fmt.Errorf("%s: %w", p.name, err)
		}
		select {
		case e := <-p.countsReply:
			open += e.Number
			for name, t := range e.Counts { // the frames that a member sends pass the relays of many receivers
				sum := all[name]
				sum.add(t)
				all[name] = sum
			}
		case <-p.exited:
			return nil, 0, fmt.Errorf("%w: %s", errUnexpectedExit, p.name)
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	return all, open, nil
}

// residentBytes returns the resident memory of all started processes and of this process.
func (c *children) residentBytes() (sum int64) {
	pids := []int{os.Getpid()}
	for _, p := range c.all {
		pids = append(pids, p.cmd.Process.Pid)
	}
	for _, pid := range pids {
		if u, err := usageOf(pid); err == nil {
			sum += u.RSS
		}
	}
	return sum
}

// close stops all processes.
func (c *children) close() {
	c.stopProcesses(func(*child) bool { return true })
	close(c.stop)
	c.logReaders.Wait()
	c.starter.Close()
}

// stopProcesses stops the selected processes. Real members are killed at once, because they have no requests in flight. Workers end when
// their input is closed, and are killed after stopTimeout.
func (c *children) stopProcesses(selected func(*child) bool) {
	var all []*child
	for _, p := range c.all {
		if selected(p) {
			all = append(all, p)
		}
	}
	for _, p := range all {
		p.killed = true
		p.cmd.Process.Signal(syscall.SIGCONT)
		if p.stdin != nil {
			p.stdin.Close()
		} else {
			p.cmd.Process.Kill()
		}
	}
	timeout := time.After(stopTimeout)
	for _, p := range all {
		select {
		case <-p.exited:
		case <-timeout:
			p.cmd.Process.Kill()
			<-p.exited
			timeout = time.After(0)
		}
		p.log.Close()
	}
}
