//go:build review

// Package standin has what the cases of the review share: sidecars started as the deploy file says, a discovery service,
// servers, clients and the record of a run. Everything listens on loopback addresses.
package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	Void   = 2 // the case could not run
)

const (
	host          = "127.0.0.1"
	heartbeat     = 1800 * time.Millisecond // a watch has a line at least every 2 s
	readyTimeout  = 30 * time.Second
	pollInterval  = 20 * time.Millisecond
	maxHeadLines  = 100
	deployFile    = "deploy/balancer.toml"
	recordMode    = 0o644
	directoryMode = 0o755
)

// Case is one run of a case.
type Case struct {
	Root    string // the repository's root
	Dir     string // temporary folder of the run
	Trouble bool   // whether the disruption is made

	start  time.Time
	mu     sync.Mutex
	record *os.File
	nodes  []*Node
}

// Run runs a case and exits with its result. folder is the case's folder below the root.
func Run(folder string, body func(c *Case) (code int, verdict string)) {
	root, err := os.Getwd()
	if err != nil {
		fmt.Println(err)
		os.Exit(Void)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		os.Exit(Void)
	}
	record, err := os.Create(filepath.Join(root, folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(Void)
	}
	c := &Case{Root: root, Dir: dir, Trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
	c.Logf("case %s, trouble %v", folder, c.Trouble)
	code, verdict := func() (code int, verdict string) {
		defer func() {
			if p := recover(); p != nil {
				code, verdict = Void, fmt.Sprint("the case could not run: ", p)
			}
		}()
		return body(c)
	}()
	for _, n := range c.nodes {
		n.Kill()
	}
	c.Logf("exit %d: %s", code, verdict)
	fmt.Printf("%s: exit %d: %s\n", folder, code, verdict)
	record.Close()
	os.RemoveAll(dir)
	os.Exit(code)
}

// Logf writes a line to the record, with the seconds since the start.
func (c *Case) Logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// Must panics on an error, which ends the case as void.
func Must(err error) {
	if err != nil {
		panic(err)
	}
}

// FreeAddress returns a loopback address with a port that is free now.
func FreeAddress() string {
	l, err := net.Listen("tcp", host+":0")
	Must(err)
	defer l.Close()
	return l.Addr().String()
}

// Object is a JSON object.
type Object = map[string]any

// Settings returns the settings of a small deployment with the given classes.
func Settings(balancers int, classes ...Object) Object {
	return Object{
		"Balancers": balancers, "Me": 0, "Zone": "", "RegistryMode": "on_request", "WeightSource": "nominal", "TickUs": 5000,
		"Services":   classes,
		"Realms":     []Object{{"Name": "acme", "AllowancePerS": 1000.0, "Share": 1.0}},
		"ScoringMix": Object{"Whole": 0.6, "WorstWindow": 0.2, "WorstClass": 0.1, "WorstTenant": 0.1},
		"Limits": Object{
			"Cancel": true, "RetryAfter": true, "MaxAttempts": 4, "MaxRetryAfterUs": 1000000, "ConnIdleUs": 10000000,
			"DialTimeoutUs": 250000, "ParallelTries": false,
		},
		"Guarantees": Object{
			"AnswerSlackUs": 20000, "AskEveryUs": 10000000, "StopSendingWithinUs": 2000000, "ColdFrom": 0.3, "ColdUs": 8000000,
			"OverloadFactor": 3.0, "FallUs": 3000000,
		},
	}
}

// Node is one sidecar.
type Node struct {
	Name, Listen string

	c       *Case
	log     string // path of the log
	command *exec.Cmd
	done    chan struct{}
}

// Start starts a sidecar with the run command of the deploy file, in a process group of its own. options, if not empty, is the
// text of its fleet options.
func (c *Case) Start(name, listen, discovery string, settings Object, options string) *Node {
	return c.StartProcess(name, name, listen, "", discovery, settings, options)
}

// StartProcess starts a process of a sidecar. process distinguishes the processes of one sidecar, which share the temporary folder,
// as in an upgrade. admin, if not empty, is the address of the operators' API.
func (c *Case) StartProcess(process, name, listen, admin, discovery string, settings Object, options string) *Node {
	text, err := os.ReadFile(filepath.Join(c.Root, deployFile))
	Must(err)
	run := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if run == nil {
		panic("no run in " + deployFile)
	}
	dir := filepath.Join(c.Dir, name)
	temporary := filepath.Join(dir, "tmp")
	if process != name && admin == "" { // a restart: the folder is empty at each start
		Must(os.RemoveAll(temporary))
	}
	Must(os.MkdirAll(temporary, directoryMode))
	config := Object{
		"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%x", seed(name)),
		"limits": Object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": Object{"seq": 0, "whole": true, "hosts": []Object{}},
		"settings": settings,
	}
	encoded, err := json.Marshal(config)
	Must(err)
	configPath := filepath.Join(dir, process+".json")
	Must(os.WriteFile(configPath, encoded, recordMode))
	logPath := filepath.Join(dir, process+".log")
	log, err := os.Create(logPath)
	Must(err)
	n := &Node{Name: process, Listen: listen, c: c, log: logPath, command: exec.Command("/bin/sh", "-c", string(run[1])), done: make(chan struct{})}
	n.command.Dir, n.command.Stdout, n.command.Stderr = c.Root, log, log
	n.command.Env = append(os.Environ(), "TMPDIR="+temporary, "PROXY_CONFIG="+configPath, "PROXY_NAME="+name,
		"PROXY_LISTEN="+listen, "PROXY_DISCOVERY="+discovery, "PROXY_ADMIN="+admin)
	if options != "" {
		optionsPath := filepath.Join(dir, "options.toml")
		Must(os.WriteFile(optionsPath, []byte(options), recordMode))
		n.command.Env = append(n.command.Env, "DAMSONSCALE_OPTIONS="+optionsPath)
	}
	n.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	Must(n.command.Start())
	go func() {
		n.command.Wait()
		log.Close()
		close(n.done)
	}()
	c.nodes = append(c.nodes, n)
	c.Logf("sidecar %s started", process)
	return n
}

// seed returns a seed that differs between sidecars.
func seed(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// Signal sends a signal to the sidecar.
func (n *Node) Signal(s syscall.Signal) {
	n.c.Logf("sidecar %s gets %v", n.Name, s)
	n.command.Process.Signal(s)
}

// Kill ends the sidecar and waits for its end.
func (n *Node) Kill() {
	syscall.Kill(-n.command.Process.Pid, syscall.SIGKILL)
	<-n.done
}

// Running reports whether the sidecar's process has not ended.
func (n *Node) Running() bool {
	select {
	case <-n.done:
		return false
	default:
		return true
	}
}

// Done returns a channel that is closed when the sidecar's process has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// WaitReady waits until the sidecar says to clients that it is ready.
func (n *Node) WaitReady() { n.WaitYes("http://" + n.Listen + "/health/ready") }

// WaitYes waits until a call is answered with 200.
func (n *Node) WaitYes(url string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyTimeout); ; time.Sleep(pollInterval) {
		if response, err := client.Get(url); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				n.c.Logf("sidecar %s is ready", n.Name)
				return
			}
		}
		if time.Now().After(end) || !n.Running() {
			panic("sidecar " + n.Name + " does not become ready")
		}
	}
}

// Log returns the lines of the sidecar's log that contain one of the words.
func (n *Node) Log(words ...string) (lines []string) {
	text, _ := os.ReadFile(n.log)
	for line := range strings.Lines(string(text)) {
		for _, w := range words {
			if strings.Contains(line, w) {
				lines = append(lines, strings.TrimSpace(line))
				break
			}
		}
	}
	return lines
}

// Host returns an entry of the list for a server that has been ready for long.
func Host(name, address, zone string, cell int) Object {
	return Object{
		"host": name, "dial": address, "site": zone, "class": "m", "block": cell, "health": "Ready", "share": 1.0, "born_ms": 0,
	}
}

// Discovery starts a discovery service that has one list, and returns its address.
func (c *Case) Discovery(hosts ...Object) string {
	list, err := json.Marshal(Object{"seq": 1, "whole": true, "hosts": hosts})
	Must(err)
	l, err := net.Listen("tcp", host+":0")
	Must(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "%s\n", list)
		if r.URL.Query().Get("watch") == "" {
			return
		}
		for flusher := w.(http.Flusher); ; {
			flusher.Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(heartbeat):
				fmt.Fprint(w, "\n")
			}
		}
	})}
	go server.Serve(l)
	return l.Addr().String()
}

// Request is a request as a server has read it.
type Request struct {
	Method, Target string
	Header         map[string]string // by lower-case name
	Body           []byte
}

// ID returns the request's Req-Id.
func (r *Request) ID() string { return r.Header["req-id"] }

// ReadHead reads the head of a request.
func ReadHead(br *bufio.Reader) (*Request, error) {
	line, err := br.ReadString('\n')
	if err != nil {
		return nil, err
	}
	method, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
	target, _, _ := strings.Cut(rest, " ")
	r := &Request{Method: method, Target: target, Header: map[string]string{}}
	for range maxHeadLines {
		line, err := br.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimSpace(line)
		if line == "" {
			return r, nil
		}
		name, value, _ := strings.Cut(line, ":")
		r.Header[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	return nil, errors.New("head is too long")
}

// ReadRequest reads a whole request with a Content-Length or without a body.
func ReadRequest(br *bufio.Reader) (*Request, error) {
	r, err := ReadHead(br)
	if err != nil {
		return nil, err
	}
	if length := r.Header["content-length"]; length != "" {
		n, err := strconv.Atoi(length)
		if err != nil {
			return nil, err
		}
		r.Body = make([]byte, n)
		if _, err := io.ReadFull(br, r.Body); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Listen accepts connections on a loopback address and calls serve for each on a goroutine of its own.
func Listen(serve func(c *net.TCPConn)) (address string) {
	l, err := net.Listen("tcp", host+":0")
	Must(err)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				serve(nc.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// WriteAnswer writes a 200 with a body.
func WriteAnswer(w io.Writer, body string) error {
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err
}

// Answer is what a client got.
type Answer struct {
	Status int // 0: no answer
	Body   string
	Err    error // why there is no whole answer
}

// String returns the answer for the record.
func (a Answer) String() string {
	if a.Err != nil {
		return "no answer: " + a.Err.Error()
	}
	return fmt.Sprintf("%d %q", a.Status, a.Body)
}

// ReadAnswer reads a whole answer.
func ReadAnswer(br *bufio.Reader) Answer {
	response, err := http.ReadResponse(br, nil)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{Err: err}
	}
	return Answer{Status: response.StatusCode, Body: strings.TrimSpace(string(body))}
}
