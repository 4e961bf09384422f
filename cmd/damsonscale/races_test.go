package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"damsonscale/internal/lab/standin"
)

func (p *program) signal(all ...syscall.Signal) {
	for _, s := range all {
		p.cmd.Process.Signal(s)
	}
}

func (p *program) waitExit(t *testing.T) {
	t.Helper()
	select {
	case err := <-p.done:
		if err != nil {
			t.Fatalf("process exited with %v, want 0\n%s", err, p.log.String())
		}
	case <-time.After(testTimeout):
		t.Fatalf("process did not exit within %v\n%s", testTimeout, p.log.String())
	}
}

// SIGTERM and SIGHUP that arrive during the start, during a reload or right after each other: the program completes the request in
// flight and exits with 0.
func TestOverlappingSignals(t *testing.T) {
	t.Run("before the first list", func(t *testing.T) {
		called := make(chan bool, 8)
		p := start(t, standin.ListenDiscovery(t, func(w *standin.Watch) { called <- true; w.WaitForClose() }), nil, nil)
		<-called
		p.signal(syscall.SIGTERM)
		p.waitExit(t)
	})
	for name, signals := range map[string][]syscall.Signal{
		"twice":               {syscall.SIGTERM, syscall.SIGTERM},
		"with a reload after": {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM},
		"with reloads before": {syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			arrived, finish := make(chan bool, 1), make(chan bool)
			p, _ := startWithServer(t, func(w http.ResponseWriter, _ *http.Request) {
				arrived <- true
				<-finish
				io.WriteString(w, "yes")
			})
			answered := make(chan int, 1)
			r := newRequest(t, p.addr, "GET", "/look", "")
			go func() {
				status := 0
				if resp, err := http.DefaultClient.Do(r); err == nil {
					status = resp.StatusCode
					resp.Body.Close()
				}
				answered <- status
			}()
			<-arrived
			p.signal(signals...)
			p.waitForLog(t, "event=terminating")
			p.signal(signals[len(signals)-1])
			close(finish)
			if s := <-answered; s != 200 {
				t.Fatalf("request in flight: got status %d, want 200\n%s", s, p.log.String())
			}
			p.waitExit(t)
		})
	}
}

// A reload during a request renames one class and makes the class of that request at_most_once. The request in flight keeps the old
// settings, and later requests get the new ones.
func TestRequestKeepsItsSettingsAcrossReload(t *testing.T) {
	arrived, finish := make(chan string, 4), make(chan bool)
	p, _ := startWithServer(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- r.Header.Get("Req-Id")
		<-finish
		io.WriteString(w, "yes")
	})
	r := newRequest(t, p.addr, "POST", "/make", "x")
	answered := make(chan int, 1)
	go func() {
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			answered <- 0
			return
		}
		resp.Body.Close()
		answered <- resp.StatusCode
	}()
	<-arrived
	p.conf["settings"] = json.RawMessage(strings.NewReplacer(`"Name":"look"`, `"Name":"gaze"`,
		`"Semantics":"deduplicated"`, `"Semantics":"at_most_once"`).Replace(settings))
	p.configure(t)
	p.signal(syscall.SIGHUP)
	p.waitForLog(t, "event=config_reloaded version=2")
	if s, _ := doRequest(t, newRequest(t, p.addr, "GET", "/look", "")); s != 404 {
		t.Errorf("request of a removed class: got status %d, want 404", s)
	}
	close(finish)
	if s := <-answered; s != 200 {
		t.Errorf("request in flight across the reload: got status %d, want 200", s)
	}
	if s, _ := doRequest(t, newRequest(t, p.addr, "POST", "/make", "x")); s != 200 {
		t.Errorf("request after the reload: got status %d, want 200", s)
	}
}

// A list pushed by an agent replaces the configured known list before the first request is sent.
func TestPushedListReplacesKnownListAtStart(t *testing.T) {
	gone := refusingAddr(t)
	here := standin.NewServer(t, standin.EchoRequestID)
	agent := standin.ListenDiscovery(t, func(w *standin.Watch) {
		w.WriteHeaders()
		w.WriteChunk("{\n \"seq\": 3,\n \"whole\": true,\n \"hosts\": [\n  {\"host\":\"s2\",\"dial\":\"" + here.Addr + "\",\"health\":\"Ready\"}\n ]\n}\n")
		w.WaitForClose()
	})
	p := start(t, agent, &list{Seq: 41, Whole: true, Hosts: []host{hostAt("s1", gone, "Ready")}}, func(c map[string]any) {
		c["settings"] = json.RawMessage(strings.Replace(settings, `"on_request"`, `"pushed"`, 1))
	})
	p.waitReady(t)
	if s, _ := p.sendRequest(t); s != 200 {
		t.Fatalf("got status %d, want 200\n%s", s, p.log.String())
	}
	if strings.Contains(p.log.String(), "s1") {
		t.Fatalf("log mentions s1, a server of the known list only:\n%s", p.log.String())
	}
}
