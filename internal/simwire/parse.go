package simwire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"

	"damsonscale/decide"
	"damsonscale/internal/config"
)

func absent(b []byte) bool { return len(b) == 1 && b[0] == '-' }

func clip(b []byte) []byte { return b[:min(len(b), 60)] }

func appendInt(b []byte, n int64) []byte { return strconv.AppendInt(b, n, 10) }

// number reads a whole number.
func number(b []byte) (int64, error) {
	n, i, neg := int64(0), 0, false
	if len(b) > 0 && b[0] == '-' {
		neg, i = true, 1
	}
	if i == len(b) || len(b)-i > 18 {
		return 0, fmt.Errorf("expected a whole number, got %q", clip(b))
	}
	for ; i < len(b); i++ {
		if b[i] < '0' || b[i] > '9' {
			return 0, fmt.Errorf("expected a whole number, got %q", clip(b))
		}
		n = n*10 + int64(b[i]-'0')
	}
	if neg {
		n = -n
	}
	return n, nil
}

// numberOr reads a whole number or takes what stands for an absent one.
func numberOr(b []byte, other int64) (int64, error) {
	if absent(b) {
		return other, nil
	}
	return number(b)
}

// event parses one event and reports it to the instance it is about.
func (h *host) event(line []byte) error {
	name, rest := line, []byte(nil)
	if i := bytes.IndexByte(line, '\t'); i >= 0 {
		name, rest = line[:i], line[i+1:]
	}
	switch string(name) {
	case "ABOUT":
		id, err := number(rest)
		if err != nil || id < 0 {
			return fmt.Errorf("ABOUT: expected an instance's number, got %q", clip(rest))
		}
		h.aboutID, h.about = id, h.instances[id]
		return nil
	case "SNAPSHOT_ROWS":
		return wrap("SNAPSHOT_ROWS", h.rows(rest))
	case "CREATE":
		return wrap("CREATE", h.create(rest))
	}
	handle, ok := handlers[string(name)]
	if !ok {
		return fmt.Errorf("expected an event or YOUR_TURN, got %q", clip(name))
	}
	if h.about == nil {
		return fmt.Errorf("%s: no live instance named by ABOUT", name)
	}
	var f [][]byte
	if handle.fields > 0 {
		if f = h.split(rest, handle.fields); len(f) != handle.fields {
			return fmt.Errorf("%s: expected %d fields, got %d", name, handle.fields, len(f))
		}
	}
	return wrap(string(name), handle.do(h, h.about, f))
}

func wrap(name string, err error) error {
	if err == nil || err == errTruncated {
		return err
	}
	return fmt.Errorf("%s: %w", name, err)
}

// rows reads a numbered list with its ROW lines into its slot.
func (h *host) rows(rest []byte) error {
	slot, list, ok := bytes.Cut(rest, []byte{'\t'})
	n, err := number(slot)
	if !ok || err != nil || n < 0 || n >= int64(len(h.slots)) {
		return fmt.Errorf("expected a slot from 0 to 15 and a count, got %q", clip(rest))
	}
	count, err := number(list)
	if err != nil || count < 0 {
		return fmt.Errorf("expected a count of entries, got %q", clip(list))
	}
	rows := make([]decide.Endpoint, 0, min(count, 4096))
	for range count {
		line, err := h.next()
		if err == io.EOF {
			return errTruncated
		}
		if err != nil {
			return err
		}
		row, err := h.row(line)
		if err != nil {
			return fmt.Errorf("ROW: %w", err)
		}
		rows = append(rows, row)
	}
	h.slots[n], h.filled[n] = rows, true
	return nil
}

func (h *host) row(line []byte) (s decide.Endpoint, err error) {
	f := h.split(line, 8)
	if len(f) != 8 || string(f[0]) != "ROW" {
		return s, fmt.Errorf("expected ROW with 7 fields, got %q", clip(line))
	}
	if s.StartedAt, err = numberOr(f[1], 0); err != nil {
		return s, err
	}
	s.Capacity = 1
	if !absent(f[2]) {
		s.Capacity, err = strconv.ParseFloat(string(f[2]), 64)
		if err != nil || math.IsNaN(s.Capacity) || math.IsInf(s.Capacity, 0) {
			return s, fmt.Errorf("expected a size, got %q", clip(f[2]))
		}
	}
	if s.Cell, err = numberOr(f[4], -1); err != nil {
		return s, err
	}
	switch string(f[5]) {
	case "in_service":
		s.Phase = decide.InService
	case "terminating":
		s.Phase = decide.Draining
	case "terminated":
		s.Phase = decide.Removed
	default:
		return s, fmt.Errorf("expected in_service, terminating or terminated, got %q", clip(f[5]))
	}
	if s.ID, err = h.address(f[6]); err != nil {
		return s, err
	}
	if !absent(f[3]) {
		s.MachineKind = string(f[3])
	}
	if !absent(f[7]) {
		s.Zone = string(f[7])
	}
	return s, nil
}

// create starts an instance; one of that number that still runs is replaced.
func (h *host) create(rest []byte) error {
	if h.aboutID < 0 {
		return errors.New("no instance named by ABOUT")
	}
	f := h.split(rest, 2)
	if len(f) != 2 {
		return errors.New("expected a seed and the settings")
	}
	seed, err := strconv.ParseUint(string(f[0]), 10, 64)
	if err != nil {
		return fmt.Errorf("expected a seed, got %q", clip(f[0]))
	}
	set, err := config.ParseSettings(f[1])
	if err != nil {
		return err
	}
	in := &instance{classes: map[string]int{}, tenants: map[string]int{}}
	for i, c := range set.Classes {
		in.classes[c.Name] = i
	}
	for i, t := range set.Tenants {
		in.tenants[t.Name] = i
	}
	in.Balancer = decide.New(set, seed, voice{&h.out, h.aboutID})
	in.Start(h.now)
	h.instances[h.aboutID], h.about = in, in
	return nil
}

// handler parses one kind of event out of its fields and reports it.
type handler struct {
	fields int
	do     func(*host, *instance, [][]byte) error
}

var handlers = map[string]handler{
	"REGISTRY":     {3, (*host).registry},
	"WORK_ITEM":    {8, (*host).request},
	"SETTLED":      {7, (*host).outcome},
	"DEADLINE_HIT": {1, (*host).timer},
	"PROBE_DONE":   {4, (*host).probed},
	"ACCEPTED":     {4, (*host).started},
	"VANISHED": {1, func(h *host, in *instance, f [][]byte) error {
		in.OnClientDisconnected(h.now, string(f[0]))
		return nil
	}},
	"PEER": {2, (*host).told},
	"EXIT": {0, func(h *host, _ *instance, _ [][]byte) error {
		delete(h.instances, h.aboutID)
		h.about = nil
		return nil
	}},
}

func (h *host) registry(in *instance, f [][]byte) error {
	how := string(f[0])
	if how == "broken" {
		in.OnPollFailed(h.now, 0)
		return nil
	}
	if how != "patch" && how != "whole" && how != "stale_copy" {
		return fmt.Errorf("expected patch, whole, stale_copy or broken, got %q", clip(f[0]))
	}
	slot, err := number(f[2])
	if err != nil || slot < 0 || slot >= int64(len(h.slots)) || !h.filled[slot] {
		return fmt.Errorf("expected the slot of a list already given, got %q", clip(f[2]))
	}
	in.OnEndpoints(h.now, h.slots[slot], how != "patch")
	return nil
}

func (h *host) request(in *instance, f [][]byte) (err error) {
	r := decide.Request{ID: string(f[0]), Tenant: -1, IsRetry: string(f[4]) == "1"}
	class, ok := in.classes[string(f[5])]
	if !ok {
		return fmt.Errorf("class %q is not in the settings", clip(f[5]))
	}
	r.Class = class
	if r.TimeLeft, err = numberOr(f[2], -1); err != nil {
		return err
	}
	if t, ok := in.tenants[string(f[3])]; ok {
		r.Tenant = t
	}
	if !absent(f[6]) {
		r.Key = string(f[6])
	}
	if r.WorkHint, err = numberOr(f[7], 0); err != nil {
		return err
	}
	in.OnRequest(h.now, r)
	return nil
}

func result(b []byte) (decide.Result, error) {
	if i := bytes.IndexByte([]byte("SEFTCRXN"), b[0]); len(b) == 1 && i >= 0 {
		return decide.Result(i), nil
	}
	return 0, fmt.Errorf("expected an outcome letter, got %q", clip(b))
}

func (h *host) outcome(in *instance, f [][]byte) (err error) {
	o := decide.Outcome{Request: string(f[0]), RequestAnswered: string(f[5]) == "1"}
	n, err := number(f[1])
	if err != nil || n < 0 || n > math.MaxInt32 {
		return fmt.Errorf("expected an attempt's number, got %q", clip(f[1]))
	}
	o.Attempt = int(n)
	if o.Server, err = h.address(f[2]); err != nil {
		return err
	}
	if len(f[3]) == 0 {
		return errors.New("expected an outcome letter, got nothing")
	}
	if o.Result, err = result(f[3]); err != nil {
		return err
	}
	if o.Latency, err = numberOr(f[4], 0); err != nil {
		return err
	}
	if o.Load, err = load(f[6]); err != nil {
		return err
	}
	in.OnOutcome(h.now, o)
	return nil
}

func (h *host) probed(in *instance, f [][]byte) (err error) {
	var p decide.HealthCheck
	if p.Server, err = h.address(f[0]); err != nil {
		return err
	}
	if len(f[1]) == 0 {
		return errors.New("expected an outcome letter, got nothing")
	}
	if p.Result, err = result(f[1]); err != nil {
		return err
	}
	if p.Latency, err = numberOr(f[2], 0); err != nil {
		return err
	}
	if p.Load, err = load(f[3]); err != nil {
		return err
	}
	in.OnHealthCheck(h.now, p)
	return nil
}

func (h *host) started(in *instance, f [][]byte) error {
	n, err := number(f[1])
	if err != nil || n < 0 || n > math.MaxInt32 {
		return fmt.Errorf("expected an attempt's number, got %q", clip(f[1]))
	}
	in.OnStreamStarted(h.now, string(f[0]), int(n))
	return nil
}

// told reports a message; bytes that are no hex digits are nobody's fault here.
func (h *host) told(in *instance, f [][]byte) error {
	from, err := number(f[0])
	if err != nil || from < 0 || from > math.MaxInt32 {
		return fmt.Errorf("expected a balancer's number, got %q", clip(f[0]))
	}
	if word, err := hex.AppendDecode(h.word[:0], f[1]); err == nil {
		h.word = word
		in.OnGossip(h.now, int(from), word)
	}
	return nil
}

func (h *host) timer(in *instance, f [][]byte) error {
	token, err := number(f[0])
	if err != nil {
		return err
	}
	in.OnTimer(h.now, token)
	return nil
}

// load reads a load report; names it does not know are skipped.
func load(b []byte) (*decide.LoadReport, error) {
	if absent(b) || len(b) == 0 {
		return nil, nil
	}
	l := &decide.LoadReport{InFlight: -1, Queue: -1, Busy: -1, Latency: -1, Rate: -1, FailRate: -1}
	for pair := range bytes.SplitSeq(b, []byte{','}) {
		name, value, ok := bytes.Cut(pair, []byte{':'})
		if !ok {
			return nil, fmt.Errorf("load report: expected name:value, got %q", clip(pair))
		}
		v, err := strconv.ParseFloat(string(value), 64)
		if err != nil {
			return nil, fmt.Errorf("load report: expected a number for %s, got %q", clip(name), clip(value))
		}
		switch string(name) {
		case "rif":
			l.InFlight = v
		case "q":
			l.Queue = v
		case "busy":
			l.Busy = v
		case "lat_ms":
			l.Latency = v
		case "rate":
			l.Rate = v
		case "fail_rate":
			l.FailRate = v
		}
	}
	return l, nil
}
