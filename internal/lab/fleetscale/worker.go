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

// EventKind is what is seen of a member.
type EventKind string

// Kinds of events.
const (
	EventServing         EventKind = "serves"  // the process has all its members, or links, listening
	EventLeaseGranted    EventKind = "leased"  // a member has its first lease of an incarnation
	EventLeaderElected   EventKind = "leads"   // a member of the process grants leases from now on
	EventEvicted         EventKind = "evicted" // an incarnation of a member was put out, as each who votes sees it
	EventSettingsApplied EventKind = "adopted" // a version of the settings is in force
	EventListApplied     EventKind = "listed"  // a list is in force
	EventLinkCounts      EventKind = "counted" // the links' counts so far
	EventFailed          EventKind = "failed"  // the process can't do what it was told
)

// Event is what was seen, by a hollow member's hooks or in a real one's log.
type Event struct {
	Kind        EventKind
	Member      string                 `json:",omitempty"`
	Incarnation string                 `json:"Which,omitempty"`
	Number      int64                  `json:",omitempty"` // of the version, the list, or open connections of links
	At          time.Time              `json:",omitzero"`
	Counts      map[string]FrameCounts `json:",omitempty"`
	Error       string                 `json:"Why,omitempty"`
}

// workerSpec is what a worker is told on the first line of its input. Each further line asks for the links' counts; the end of the input ends
// it.
type workerSpec struct {
	Cores  int
	Links  []linkSpec
	Fleets []fleetSpec
	Config json.RawMessage // of hollow members
	List   string          // the list service's address
}

type linkSpec struct{ Member, Front, Target string }

// fleetSpec is this process's part of one fleet. Options are those of its first member; of the others address and directory differ.
type fleetSpec struct {
	Options string
	Members []memberSpec
}

type memberSpec struct{ Name, Address, StateDir string }

// Worker is the program of a process with hollow members or links, until its input ends.
func RunWorker(in io.Reader, out, errs io.Writer) error {
	lines := bufio.NewReader(in)
	first, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("a worker is told its work on its input: %w", err)
	}
	var w workerSpec
	if err := json.Unmarshal(first, &w); err != nil {
		return fmt.Errorf("a worker's work: %w", err)
	}
	runtime.GOMAXPROCS(max(1, w.Cores))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tell := eventWriter(out)
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC)
	log.SetOutput(io.MultiWriter(errs, lineWriter(func(line string) {
		if e, ok := eventOf(line); ok && e.Kind != EventSettingsApplied {
			tell(e)
		}
	})))
	l := newLinks()
	defer l.close()
	if err := w.begin(ctx, l, tell); err != nil {
		tell(Event{Kind: EventFailed, Error: err.Error()})
		return err
	}
	tell(Event{Kind: EventServing, At: time.Now()})
	for {
		if _, err := lines.ReadBytes('\n'); err != nil {
			return nil
		}
		counts, open := l.tallies()
		tell(Event{Kind: EventLinkCounts, Number: int64(open), At: time.Now(), Counts: counts})
	}
}

func (w *workerSpec) begin(ctx context.Context, l *links, tell func(Event)) error {
	for _, one := range w.Links {
		if err := l.open(one.Member, one.Front, one.Target); err != nil {
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
			mine := *o
			mine.Fleet.Address, mine.Fleet.StateDir = m.Address, m.StateDir
			if err := startHollow(ctx, &mine, m.Name, conf, w.List, tell); err != nil {
				return err
			}
		}
	}
	return nil
}

// eventWriter writes events, one a line, by any goroutine.
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

// lineWriter hands each line of a log on.
type lineWriter func(line string)

func (s lineWriter) Write(p []byte) (int, error) {
	s(string(bytes.TrimSuffix(p, []byte("\n"))))
	return len(p), nil
}

// loggedEvents are the events of the program's log that are handed on.
var loggedEvents = map[string]EventKind{
	"event=fleet_lease_granted": EventLeaseGranted, "event=fleet_leader_elected": EventLeaderElected, "event=fleet_membership_changed": EventEvicted, "event=settings_applied": EventSettingsApplied,
}

// eventOf reads a line of the program's log, as package eventlog writes it.
func eventOf(line string) (e Event, ok bool) {
	f := strings.Fields(line)
	if len(f) < 3 {
		return e, false
	}
	if e.Kind, ok = loggedEvents[f[2]]; !ok {
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

// WorkerMain is Worker over the process's own streams.
func WorkerMain() error { return RunWorker(os.Stdin, os.Stdout, os.Stderr) }
