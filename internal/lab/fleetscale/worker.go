package fleetscale

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"damsonscale/internal/config"
	"damsonscale/internal/options"
)

// EventKind is the kind of an event in a process of the run.
type EventKind string

// Kinds of events.
const (
	EventServing         EventKind = "serves"  // all members or relays of the process listen
	EventLeaseGranted    EventKind = "leased"  // an incarnation of a member has been granted its first lease
	EventLeaderElected   EventKind = "leads"   // a member of the process has been elected leader
	EventEvicted         EventKind = "evicted" // an incarnation of a member has been evicted; each voter reports it
	EventSettingsApplied EventKind = "adopted" // a member has applied a settings version
	EventListApplied     EventKind = "listed"  // a hollow member has applied an endpoint list
	EventLinkCounts      EventKind = "counted" // reply with the frame counts of the relays
	EventFailed          EventKind = "failed"  // the process could not start its members or relays
)

// Event is reported by a worker, or read from the log of a real member.
type Event struct {
	Kind        EventKind
	Member      string                 `json:",omitempty"`
	Incarnation string                 `json:"Which,omitempty"`
	Number      int64                  `json:",omitempty"` // settings version, sequence number of the list, or open connections of relays
	At          time.Time              `json:",omitzero"`
	Counts      map[string]FrameCounts `json:",omitempty"`
	Error       string                 `json:"Why,omitempty"`
}

// workerSpec is the first line of a worker's input. Each further line requests the frame counts of the relays. The worker exits at the end
// of the input.
type workerSpec struct {
	Cores  int
	Links  []linkSpec
	Fleets []fleetSpec
	Config json.RawMessage // of hollow members
	List   string          // address of the list service
}

// linkSpec is a relay that listens at Front and forwards to the member at Target.
type linkSpec struct{ Member, Front, Target string }

// fleetSpec is the members of one fleet in this process. Options are the options of the first member. The other members differ in address
// and state directory.
type fleetSpec struct {
	Options string
	Members []memberSpec
}

type memberSpec struct{ Name, Address, StateDir string }

// RunWorker runs hollow members or relays until the end of the input.
func RunWorker(in io.Reader, out, errs io.Writer) error {
	lines := bufio.NewReader(in)
	first, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("read worker specification: %w", err)
	}
	var w workerSpec
	if err := json.Unmarshal(first, &w); err != nil {
		return fmt.Errorf("parse worker specification: %w", err)
	}
	runtime.GOMAXPROCS(max(1, w.Cores))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	report := eventWriter(out)
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC)
	log.SetOutput(io.MultiWriter(errs, lineWriter(func(line string) {
		if e, ok := parseLogLine(line); ok && e.Kind != EventSettingsApplied {
			report(e)
		}
	})))
	l := newLinks()
	defer l.close()
	if err := w.start(ctx, l, report); err != nil {
		report(Event{Kind: EventFailed, Error: err.Error()})
		return err
	}
	report(Event{Kind: EventServing, At: time.Now()})
	for {
		if _, err := lines.ReadBytes('\n'); err != nil {
			return nil
		}
		counts, open := l.snapshot()
		report(Event{Kind: EventLinkCounts, Number: int64(open), At: time.Now(), Counts: counts})
	}
}

func (w *workerSpec) start(ctx context.Context, l *links, report func(Event)) error {
	for _, link := range w.Links {
		if err := l.open(link.Member, link.Front, link.Target); err != nil {
			return err
		}
	}
	if len(w.Fleets) == 0 {
		return nil
	}
	conf, err := config.Parse(w.Config, func(string) string { return "" })
	if err != nil {
		return err
	}
	for _, f := range w.Fleets {
		o, err := options.Parse([]byte(f.Options), f.Members[0].Name)
		if err != nil {
			return err
		}
		for _, m := range f.Members {
			own := *o
			own.Fleet.Address, own.Fleet.StateDir = m.Address, m.StateDir
			if err := startHollow(ctx, &own, m.Name, conf, w.List, report); err != nil {
				return err
			}
		}
	}
	return nil
}

// eventWriter returns a function that writes events to out, one per line. It is safe for concurrent use.
func eventWriter(out io.Writer) func(Event) {
	var mu sync.Mutex
	return func(e Event) {
		text, err := json.Marshal(e)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		out.Write(append(text, '\n'))
	}
}

// lineWriter is a writer that calls the function with each line of a log.
type lineWriter func(line string)

func (s lineWriter) Write(p []byte) (int, error) {
	s(string(bytes.TrimSuffix(p, []byte("\n"))))
	return len(p), nil
}

// eventsByLogKey are the log events of the program that are reported as events.
var eventsByLogKey = map[string]EventKind{
	"event=fleet_lease_granted": EventLeaseGranted, "event=fleet_leader_elected": EventLeaderElected, "event=fleet_membership_changed": EventEvicted, "event=settings_applied": EventSettingsApplied,
}

// parseLogLine parses a line of the program's log in the format of package eventlog. It returns false if the line is no reported event.
func parseLogLine(line string) (e Event, ok bool) {
	f := strings.Fields(line)
	if len(f) < 3 {
		return e, false
	}
	if e.Kind, ok = eventsByLogKey[f[2]]; !ok {
		return e, false
	}
	at, err := time.Parse(time.RFC3339Nano, strings.TrimPrefix(f[0], "time="))
	if err != nil {
		return e, false
	}
	e.At = at
	evicted := false
	for _, field := range f[3:] {
		switch key, value, _ := strings.Cut(field, "="); key {
		case "member":
			e.Member = value
		case "incarnation":
			e.Incarnation = value
		case "evicted":
			evicted = value == "true"
		case "settings_version":
			e.Number, _ = strconv.ParseInt(value, 10, 64)
		}
	}
	return e, e.Kind != EventEvicted || evicted
}

// WorkerMain runs RunWorker with the standard streams of the process.
func WorkerMain() error { return RunWorker(os.Stdin, os.Stdout, os.Stderr) }
