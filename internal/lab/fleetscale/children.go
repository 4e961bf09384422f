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
	stopTimeout     = 10 * time.Second // of the end of its input; past it a process is killed
	logPollInterval = 20 * time.Millisecond
)

// child is one process that the run started.
type child struct {
	name    string
	cmd     *exec.Cmd
	stdin   io.WriteCloser // of a worker
	log     *os.File
	members []int
	done    chan struct{}
	counted chan Event
	killed  bool // by a fault, or at the end
	links   bool
}

// children starts processes and hands on what is seen of them.
type children struct {
	starter *faultinjection.ProcessStarter
	dir     string
	observe func(*child, Event)
	all     []*child
	tails   sync.WaitGroup
	stop    chan struct{} // ends the readers of logs
}

func newChildren(dir string, see func(*child, Event)) *children {
	return &children{starter: faultinjection.NewProcessStarter(), dir: dir, observe: see, stop: make(chan struct{})}
}

func (c *children) start(name string, members []int, cmd *exec.Cmd) (*child, error) {
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	one := &child{name: name, cmd: cmd, log: log, members: members, done: make(chan struct{}), counted: make(chan Event, 1)}
	cmd.Stderr = log
	if err := c.starter.Start(cmd); err != nil {
		log.Close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	c.all = append(c.all, one)
	return one, nil
}

// startWorker starts a process with hollow members or links.
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
	one, err := c.start(name, members, cmd)
	if err != nil {
		return nil, err
	}
	one.stdin = in
	go func() {
		lines := bufio.NewReader(out)
		for {
			text, err := lines.ReadBytes('\n')
			if err != nil {
				break
			}
			var e Event
			if json.Unmarshal(text, &e) == nil {
				c.handle(one, e)
			}
		}
		cmd.Wait()
		close(one.done)
	}()
	text, err := json.Marshal(w)
	if err != nil {
		return nil, err
	}
	if _, err := in.Write(append(text, '\n')); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return one, nil
}

func (c *children) handle(one *child, e Event) {
	if e.Kind == EventLinkCounts {
		select {
		case one.counted <- e:
		default:
		}
		return
	}
	c.observe(one, e)
}

// startReal starts the program, and reads its log.
func (c *children) startReal(name string, member int, binary string, env []string) (*child, error) {
	cmd := exec.Command(binary)
	cmd.Dir, cmd.Env = c.dir, append(append(os.Environ(), "TMPDIR="+c.dir), env...)
	one, err := c.start(name, []int{member}, cmd)
	if err != nil {
		return nil, err
	}
	go func() { cmd.Wait(); close(one.done) }()
	c.tails.Go(func() { c.tail(one) })
	return one, nil
}

// tail reads a log as it grows.
func (c *children) tail(one *child) {
	in, err := os.Open(one.log.Name())
	if err != nil {
		return
	}
	defer in.Close()
	lines, part := bufio.NewReader(in), ""
	for {
		text, err := lines.ReadString('\n')
		part += text
		if err == nil {
			if e, ok := eventOf(part); ok {
				c.observe(one, e)
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

var errEnded = errors.New("a process of the run has ended by itself")

// alive tells which process has ended though nobody ended it.
func (c *children) alive() error {
	for _, one := range c.all {
		if one.killed {
			continue
		}
		select {
		case <-one.done:
			return fmt.Errorf("%w: %s%s", errEnded, one.name, lastLine(one.log.Name()))
		default:
		}
	}
	return nil
}

// lastLine quotes the end of a log.
func lastLine(path string) string {
	text, err := os.ReadFile(path)
	if err != nil || len(text) == 0 {
		return ""
	}
	return ": " + string(text[max(0, len(text)-300):])
}

// counts asks all processes of links for their counts, and tells how many connections are open there.
func (c *children) counts(ctx context.Context) (all map[string]FrameCounts, open int64, err error) {
	all = map[string]FrameCounts{}
	for _, one := range c.all {
		if !one.links {
			continue
		}
		if _, err := io.WriteString(one.stdin, "\n"); err != nil {
			return nil, 0, fmt.Errorf("%s: %w", one.name, err)
		}
		select {
		case e := <-one.counted:
			open += e.Number
			for name, t := range e.Counts { // a member's outgoing frames pass the links of many
				sum := all[name]
				sum.add(t)
				all[name] = sum
			}
		case <-one.done:
			return nil, 0, fmt.Errorf("%w: %s", errEnded, one.name)
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	return all, open, nil
}

// resident is the memory of all processes and of this one.
func (c *children) resident() (sum int64) {
	pids := []int{os.Getpid()}
	for _, one := range c.all {
		pids = append(pids, one.cmd.Process.Pid)
	}
	for _, pid := range pids {
		if u, err := usageOf(pid); err == nil {
			sum += u.RSS
		}
	}
	return sum
}

// close ends all processes.
func (c *children) close() {
	c.stopProcesses(func(*child) bool { return true })
	close(c.stop)
	c.tails.Wait()
	c.starter.Close()
}

// stopProcesses ends some processes: real ones at once, for nothing is in their hands.
func (c *children) stopProcesses(some func(*child) bool) {
	var all []*child
	for _, one := range c.all {
		if some(one) {
			all = append(all, one)
		}
	}
	for _, one := range all {
		one.killed = true
		one.cmd.Process.Signal(syscall.SIGCONT)
		if one.stdin != nil {
			one.stdin.Close()
		} else {
			one.cmd.Process.Kill()
		}
	}
	late := time.After(stopTimeout)
	for _, one := range all {
		select {
		case <-one.done:
		case <-late:
			one.cmd.Process.Kill()
			<-one.done
			late = time.After(0)
		}
		one.log.Close()
	}
}
