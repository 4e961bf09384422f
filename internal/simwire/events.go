package simwire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"

	"damsonscale/decide"
	"damsonscale/internal/config"
)

// event parses a line of a batch and passes it to the current instance.
func (a *adapter) event(line []byte) error {
	word, rest := line, []byte(nil)
	if i := bytes.IndexByte(line, fieldSeparator); i >= 0 {
		word, rest = line[:i], line[i+1:]
	}
	switch string(word) {
	case wordInstance:
		id, err := parseInt(rest)
		if err != nil || id < 0 {
			return fmt.Errorf(wordInstance+": expected an instance's number, got %q", clip(rest))
		}
		a.currentID, a.current = id, a.instances[id]
		return nil
	case wordEndpoints:
		return withKeyword(wordEndpoints, a.endpoints(rest))
	case wordCreate:
		return withKeyword(wordCreate, a.create(rest))
	}
	h, ok := handlers[string(word)]
	if !ok {
		return fmt.Errorf("expected an event or "+wordBatchEnd+", got %q", clip(word))
	}
	if a.current == nil {
		return fmt.Errorf("%s: no live instance named by "+wordInstance, word)
	}
	var f [][]byte
	if h.fields > 0 {
		if f = a.split(rest, h.fields); len(f) != h.fields {
			return fmt.Errorf("%s: expected %d fields, got %d", word, h.fields, len(f))
		}
	}
	return withKeyword(string(word), h.report(a, a.current, f))
}

// withKeyword adds the keyword of a line to its error.
func withKeyword(word string, err error) error {
	if err == nil || err == errTruncated {
		return err
	}
	return fmt.Errorf("%s: %w", word, err)
}

// create starts the current instance. It replaces a running instance that has this number.
func (a *adapter) create(rest []byte) error {
	if a.currentID < 0 {
		return errors.New("no instance named by " + wordInstance)
	}
	f := a.split(rest, 2)
	if len(f) != 2 {
		return errors.New("expected a seed and the settings")
	}
	seed, err := strconv.ParseUint(string(f[0]), 10, 64)
	if err != nil {
		return fmt.Errorf("expected a seed, got %q", clip(f[0]))
	}
	settings, err := config.ParseSettings(f[1])
	if err != nil {
		return err
	}
	in := &instance{classes: map[string]int{}, tenants: map[string]int{}}
	for i, c := range settings.Classes {
		in.classes[c.Name] = i
	}
	for i, t := range settings.Tenants {
		in.tenants[t.Name] = i
	}
	in.Balancer = decide.New(settings, seed, actions{&a.out, a.currentID})
	in.Start(a.now)
	a.instances[a.currentID], a.current = in, in
	return nil
}

// handler parses an event of one kind and passes it to its instance.
type handler struct {
	fields int // number of fields after the keyword; 0: any number, and they are ignored
	report func(*adapter, *instance, [][]byte) error
}

// handlers are the handlers of events by keyword.
var handlers = map[string]handler{
	wordEndpointList:      {3, (*adapter).endpointList},
	wordRequest:           {8, (*adapter).request},
	wordOutcome:           {7, (*adapter).outcome},
	wordTimer:             {1, (*adapter).timer},
	wordHealthCheckResult: {4, (*adapter).healthCheckResult},
	wordStreamStarted:     {4, (*adapter).streamStarted},
	wordClientDisconnected: {1, func(a *adapter, in *instance, f [][]byte) error {
		in.OnClientDisconnected(a.now, string(f[0]))
		return nil
	}},
	wordGossip: {2, (*adapter).receiveGossip},
	wordExit: {0, func(a *adapter, _ *instance, _ [][]byte) error {
		delete(a.instances, a.currentID)
		a.current = nil
		return nil
	}},
}

// endpointList reports an endpoint list or a failed poll of the list.
func (a *adapter) endpointList(in *instance, f [][]byte) error {
	kind := string(f[0])
	if kind == listFailed {
		in.OnPollFailed(a.now, 0)
		return nil
	}
	if kind != listPatch && kind != listFull && kind != listCached {
		return fmt.Errorf("expected patch, whole, stale_copy or broken, got %q", clip(f[0]))
	}
	slot, err := parseInt(f[2])
	if err != nil || slot < 0 || slot >= int64(len(a.lists)) || !a.listFilled[slot] {
		return fmt.Errorf("expected the slot of an endpoint list that was sent before, got %q", clip(f[2]))
	}
	in.OnEndpoints(a.now, a.lists[slot], kind != listPatch)
	return nil
}

// request reports a client's request.
func (a *adapter) request(in *instance, f [][]byte) (err error) {
	r := decide.Request{ID: string(f[0]), Tenant: -1, IsRetry: string(f[4]) == wordTrue}
	class, ok := in.classes[string(f[5])]
	if !ok {
		return fmt.Errorf("class %q is not in the settings", clip(f[5]))
	}
	r.Class = class
	if r.TimeLeft, err = parseIntOr(f[2], -1); err != nil {
		return err
	}
	if t, ok := in.tenants[string(f[3])]; ok {
		r.Tenant = t
	}
	if !absent(f[6]) {
		r.Key = string(f[6])
	}
	if r.WorkHint, err = parseIntOr(f[7], 0); err != nil {
		return err
	}
	in.OnRequest(a.now, r)
	return nil
}

// outcome reports the outcome of an attempt.
func (a *adapter) outcome(in *instance, f [][]byte) (err error) {
	o := decide.Outcome{Request: string(f[0]), RequestAnswered: string(f[5]) == wordTrue}
	if o.Attempt, err = parseIndex(f[1], "an attempt's number"); err != nil {
		return err
	}
	if o.Server, err = a.address(f[2]); err != nil {
		return err
	}
	if o.Result, err = parseResult(f[3]); err != nil {
		return err
	}
	if o.Latency, err = parseIntOr(f[4], 0); err != nil {
		return err
	}
	if o.Load, err = parseLoadReport(f[6]); err != nil {
		return err
	}
	in.OnOutcome(a.now, o)
	return nil
}

// healthCheckResult reports the outcome of a health check.
func (a *adapter) healthCheckResult(in *instance, f [][]byte) (err error) {
	var p decide.HealthCheckOutcome
	if p.Server, err = a.address(f[0]); err != nil {
		return err
	}
	if p.Result, err = parseResult(f[1]); err != nil {
		return err
	}
	if p.Latency, err = parseIntOr(f[2], 0); err != nil {
		return err
	}
	if p.Load, err = parseLoadReport(f[3]); err != nil {
		return err
	}
	in.OnHealthCheck(a.now, p)
	return nil
}

// streamStarted reports that an attempt's response has begun to reach the client.
func (a *adapter) streamStarted(in *instance, f [][]byte) error {
	attempt, err := parseIndex(f[1], "an attempt's number")
	if err != nil {
		return err
	}
	in.OnStreamStarted(a.now, string(f[0]), attempt)
	return nil
}

// receiveGossip reports a message of another balancer. A message that is not hexadecimal is ignored, like a lost message.
func (a *adapter) receiveGossip(in *instance, f [][]byte) error {
	from, err := parseIndex(f[0], "a balancer's number")
	if err != nil {
		return err
	}
	if message, err := hex.AppendDecode(a.gossip[:0], f[1]); err == nil {
		a.gossip = message
		in.OnGossip(a.now, from, message)
	}
	return nil
}

// timer reports that a timer has expired.
func (a *adapter) timer(in *instance, f [][]byte) error {
	token, err := parseInt(f[0])
	if err != nil {
		return err
	}
	in.OnTimer(a.now, token)
	return nil
}
