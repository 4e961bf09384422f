package faultinjection

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"damsonscale/internal/auditevent"
)

const (
	largeBytes   = 100 << 10             // of a large body, and added to a large response: more than the sidecar buffers
	retryDelay   = 25 * time.Millisecond // between attempts at members that refuse connections
	resumeHeader = "Req-Resume"          // set on every attempt but the first
)

// Attempt is one attempt of a client at one member.
type Attempt struct {
	Member   int
	Offset   time.Duration // since the request's start
	Duration time.Duration
	Status   int // HTTP status; 0: no complete response
	Body     string
	Err      string
	AuditRef string // the audit reference in the response
	index    int
	Extra    bool // duplicate of the first attempt, or repeated after the response
	Ignored  bool // a rejection that does not end the request, since another attempt may be in flight
}

// final reports whether the response ends the request.
func (a *Attempt) final() bool { return a.Status != 0 && !a.Ignored && a.Status != http.StatusConflict }

// rejected reports whether the response promises that a retry is harmless.
func (a *Attempt) rejected() bool {
	return a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable
}

// Request is one request of a client with all its attempts.
type Request struct {
	ID        string
	Class     string
	StartedAt time.Time
	Attempts  []Attempt

	repeatsAfterResponse, duplicated, large bool
}

// firstRetry is the first attempt at another member; nil: none.
func (r *Request) firstRetry() *Attempt {
	for i := range r.Attempts {
		if i > 0 && !r.Attempts[i].Extra {
			return &r.Attempts[i]
		}
	}
	return nil
}

// clients send requests at a fixed rate, independent of how earlier ones went (open loop).
type clients struct {
	timeline *Timeline
	members  []string // addresses
	http     *http.Client
	pending  sync.WaitGroup
	requests []*Request
}

func newClients(t *Timeline, members []string) *clients {
	dial := &net.Dialer{Timeout: ms(t.DeadlineMs)}
	return &clients{timeline: t, members: members, http: &http.Client{Transport: &http.Transport{
		DialContext:       dial.DialContext,
		DisableKeepAlives: true, // with connection reuse the library would retry by itself
	}}}
}

// run sends requests until the timeline's end and returns them once all have ended.
func (c *clients) run(ctx context.Context, start time.Time) []*Request {
	random := rand.New(rand.NewPCG(c.timeline.Seed, 3))
	step := time.Second / time.Duration(c.timeline.PerSecond)
	for at := time.Duration(0); at < ms(c.timeline.LengthMs) && ctx.Err() == nil; at += step {
		select {
		case <-time.After(time.Until(start.Add(at))):
		case <-ctx.Done():
		}
		r := &Request{ID: fmt.Sprintf("%08x%08x", uint32(c.timeline.Seed), len(c.requests)+1), Class: c.drawClass(random)}
		r.repeatsAfterResponse, r.duplicated = random.Float64() < c.timeline.RepeatShare, random.Float64() < c.timeline.DuplicateShare
		r.large = random.Float64() < c.timeline.LargeShare && r.Class != "look"
		c.requests = append(c.requests, r)
		first := random.IntN(len(c.members))
		c.pending.Add(1)
		go func() { defer c.pending.Done(); c.sendRequest(ctx, r, first) }()
	}
	c.pending.Wait()
	return c.requests
}

func (c *clients) drawClass(random *rand.Rand) string {
	all := 0
	for _, w := range c.timeline.Workload {
		all += w.Share
	}
	n := random.IntN(all)
	for _, w := range c.timeline.Workload {
		if n -= w.Share; n < 0 {
			return w.Class
		}
	}
	return c.timeline.Workload[0].Class
}

// sendRequest tries one member after the other until a response is final or the deadline has passed. A member that stays silent
// for SilenceMs is given up, or, with KeepOpen, left open beside the next.
func (c *clients) sendRequest(ctx context.Context, r *Request, member int) {
	r.StartedAt = time.Now()
	ctx, cancel := context.WithDeadline(ctx, r.StartedAt.Add(ms(c.timeline.DeadlineMs)+finalResponseGrace))
	defer cancel()
	answers := make(chan Attempt, 64)
	inFlight := 0
	for n := 0; ; n++ {
		timeLeft := time.Until(r.StartedAt.Add(ms(c.timeline.DeadlineMs)))
		if timeLeft <= 0 {
			break
		}
		attemptContext, cancelAttempt := context.WithCancel(ctx)
		defer cancelAttempt()
		inFlight++
		go func(member, n int) {
			a := c.attempt(attemptContext, r, member, n > 0, timeLeft)
			a.index = n
			answers <- a
		}(member, n)
		if n == 0 && r.duplicated {
			inFlight++
			go func(member int) {
				a := c.attempt(attemptContext, r, member, true, timeLeft)
				a.Extra, a.index = true, -1
				answers <- a
			}((member + 1) % len(c.members))
		}
		silence := time.NewTimer(ms(c.timeline.SilenceMs))
		for waits := true; waits; {
			select {
			case a := <-answers:
				inFlight--
				a.Ignored = r.duplicated && a.rejected() && (inFlight > 0 || a.index == 0)
				r.Attempts = append(r.Attempts, a)
				if a.final() {
					if r.repeatsAfterResponse && a.Status == http.StatusOK && timeLeft > 0 {
						repeated := c.attempt(ctx, r, (a.Member+1)%len(c.members), true, timeLeft)
						repeated.Extra = true
						r.Attempts = append(r.Attempts, repeated)
					}
					c.drainAttempts(r, &a, answers, inFlight, cancel)
					return
				}
				if a.index == n { // only the end of the newest attempt moves on to the next member
					sleep(ctx, retryDelay)
					waits = false
				}
			case <-silence.C:
				if waits = false; !c.timeline.KeepOpen {
					cancelAttempt()
				}
			}
		}
		silence.Stop()
		member = (member + 1) % len(c.members)
	}
	for ; inFlight > 0; inFlight-- { // those still in flight may complete
		r.Attempts = append(r.Attempts, <-answers)
	}
}

// drainAttempts collects the attempts still in flight: a second response must not differ. A client that accepts a rejection
// cancels its other attempts.
func (c *clients) drainAttempts(r *Request, end *Attempt, answers <-chan Attempt, inFlight int, cancel func()) {
	if !c.timeline.KeepOpen || end.rejected() {
		cancel()
	}
	for ; inFlight > 0; inFlight-- {
		r.Attempts = append(r.Attempts, <-answers)
	}
}

func (c *clients) attempt(ctx context.Context, r *Request, member int, resume bool, left time.Duration) (a Attempt) {
	a = Attempt{Member: member, Offset: time.Since(r.StartedAt)}
	began := time.Now()
	defer func() { a.Duration = time.Since(began) }()
	kind := classes[slices.IndexFunc(classes, func(k class) bool { return k.name == r.Class })] // Validate checked the name
	method, body := http.MethodGet, io.Reader(nil)
	if kind.isPost {
		method, body = http.MethodPost, strings.NewReader("clip "+r.ID)
		if r.large {
			body = strings.NewReader("clip " + r.ID + strings.Repeat(" ", largeBytes))
		}
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+c.members[member]+"/"+r.Class+"/x?obj="+r.ID[12:], body)
	if err != nil {
		a.Err = err.Error()
		return a
	}
	q.Header["Req-Id"] = []string{r.ID}
	q.Header["Req-Deadline-Ms"] = []string{fmt.Sprint(max(1, left.Milliseconds()))}
	q.Header["Req-Owner"] = []string{"acme"}
	if kind.hasKey {
		q.Header["Idempotency-Key"] = []string{"k" + r.ID}
	}
	if resume {
		q.Header[resumeHeader] = []string{"1"}
	}
	resp, err := c.http.Do(q)
	if err != nil {
		a.Err = err.Error()
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil { // an incomplete response counts as none
		a.Err = err.Error()
		return a
	}
	a.Status, a.Body, a.AuditRef = resp.StatusCode, string(text), resp.Header.Get(auditevent.RefHeader)
	return a
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
