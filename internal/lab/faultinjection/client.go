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
	largeBytes   = 100 << 10             // size of the padding in a large request or response: more than the sidecar buffers
	retryDelay   = 25 * time.Millisecond // between attempts, so that a member that refuses connections is not retried in a tight loop
	resumeHeader = "Req-Resume"          // request header that marks each attempt but the first
)

// Attempt is one attempt of a request, sent to one member.
type Attempt struct {
	Member   int
	Offset   time.Duration // from the start of the request to the start of the attempt
	Duration time.Duration
	Status   int // HTTP status; 0: no complete response
	Body     string
	Err      string
	AuditRef string // audit reference in the header of the response
	index    int    // number of the attempt, from 0; -1: duplicate of the first attempt
	Extra    bool   // duplicate of the first attempt, or repetition after the response
	Ignored  bool   // a rejection that does not end the request, since another attempt may still succeed
}

// final reports whether the attempt got a response that ends the request. Status 409 does not end it: another
// attempt of the request is in flight or has been answered.
func (a *Attempt) final() bool { return a.Status != 0 && !a.Ignored && a.Status != http.StatusConflict }

// rejected reports whether the response is a rejection, which promises that the request was not executed and that a retry is harmless.
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

// firstRetry returns the first attempt after the initial one, or nil. Duplicates and repetitions do not count.
func (r *Request) firstRetry() *Attempt {
	for i := range r.Attempts {
		if i > 0 && !r.Attempts[i].Extra {
			return &r.Attempts[i]
		}
	}
	return nil
}

// clients sends requests at a fixed rate that does not depend on the outcome of earlier requests (open loop).
type clients struct {
	timeline *Timeline
	members  []string // listen addresses
	http     *http.Client
	pending  sync.WaitGroup
	requests []*Request
}

func newClients(t *Timeline, members []string) *clients {
	dial := &net.Dialer{Timeout: ms(t.DeadlineMs)}
	return &clients{timeline: t, members: members, http: &http.Client{Transport: &http.Transport{
		DialContext:       dial.DialContext,
		DisableKeepAlives: true, // on reused connections net/http retries requests by itself
	}}}
}

// run sends requests until the end of the timeline, and returns all of them when the last one has ended.
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
	sum := 0
	for _, w := range c.timeline.Workload {
		sum += w.Share
	}
	n := random.IntN(sum)
	for _, w := range c.timeline.Workload {
		if n -= w.Share; n < 0 {
			return w.Class
		}
	}
	return c.timeline.Workload[0].Class
}

// sendRequest sends a request to one member after the other until a response is final or the deadline has passed. An attempt without
// a response within SilenceMs is cancelled, or, with KeepOpen, stays open while the next attempt starts.
func (c *clients) sendRequest(ctx context.Context, r *Request, member int) {
	r.StartedAt = time.Now()
	ctx, cancel := context.WithDeadline(ctx, r.StartedAt.Add(ms(c.timeline.DeadlineMs)+finalResponseGrace))
	defer cancel()
	results := make(chan Attempt, 64)
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
			results <- a
		}(member, n)
		if n == 0 && r.duplicated {
			inFlight++
			go func(member int) {
				a := c.attempt(attemptContext, r, member, true, timeLeft)
				a.Extra, a.index = true, -1
				results <- a
			}((member + 1) % len(c.members))
		}
		silence := time.NewTimer(ms(c.timeline.SilenceMs))
		for waiting := true; waiting; {
			select {
			case a := <-results:
				inFlight--
				a.Ignored = r.duplicated && a.rejected() && (inFlight > 0 || a.index == 0)
				r.Attempts = append(r.Attempts, a)
				if a.final() {
					if r.repeatsAfterResponse && a.Status == http.StatusOK && timeLeft > 0 {
						repeated := c.attempt(ctx, r, (a.Member+1)%len(c.members), true, timeLeft)
						repeated.Extra = true
						r.Attempts = append(r.Attempts, repeated)
					}
					c.drainAttempts(r, &a, results, inFlight, cancel)
					return
				}
				if a.index == n { // an older attempt that fails does not start another one
					sleep(ctx, retryDelay)
					waiting = false
				}
			case <-silence.C:
				if waiting = false; !c.timeline.KeepOpen {
					cancelAttempt()
				}
			}
		}
		silence.Stop()
		member = (member + 1) % len(c.members)
	}
	for ; inFlight > 0; inFlight-- { // attempts in flight at the deadline may still complete
		r.Attempts = append(r.Attempts, <-results)
	}
}

// drainAttempts records the attempts in flight after the final response, since a second response must not differ from it. The client
// cancels these attempts if the final response is a rejection, or without KeepOpen.
func (c *clients) drainAttempts(r *Request, final *Attempt, results <-chan Attempt, inFlight int, cancel func()) {
	if !c.timeline.KeepOpen || final.rejected() {
		cancel()
	}
	for ; inFlight > 0; inFlight-- {
		r.Attempts = append(r.Attempts, <-results)
	}
}

// attempt sends a request to one member and reads the response.
func (c *clients) attempt(ctx context.Context, r *Request, member int, resume bool, timeLeft time.Duration) (a Attempt) {
	a = Attempt{Member: member, Offset: time.Since(r.StartedAt)}
	start := time.Now()
	defer func() { a.Duration = time.Since(start) }()
	kind := classes[slices.IndexFunc(classes, func(c class) bool { return c.name == r.Class })] // Validate has checked that the class exists
	method, body := http.MethodGet, io.Reader(nil)
	if kind.isPost {
		method, body = http.MethodPost, strings.NewReader("clip "+r.ID)
		if r.large {
			body = strings.NewReader("clip " + r.ID + strings.Repeat(" ", largeBytes))
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.members[member]+"/"+r.Class+"/x?obj="+r.ID[12:], body)
	if err != nil {
		a.Err = err.Error()
		return a
	}
	request.Header["Req-Id"] = []string{r.ID}
	request.Header["Req-Deadline-Ms"] = []string{fmt.Sprint(max(1, timeLeft.Milliseconds()))}
	request.Header["Req-Owner"] = []string{"acme"}
	if kind.hasKey {
		request.Header["Idempotency-Key"] = []string{"k" + r.ID}
	}
	if resume {
		request.Header[resumeHeader] = []string{"1"}
	}
	resp, err := c.http.Do(request)
	if err != nil {
		a.Err = err.Error()
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil { // an incomplete response counts as no response
		a.Err = err.Error()
		return a
	}
	a.Status, a.Body, a.AuditRef = resp.StatusCode, string(text), resp.Header.Get(auditevent.RefHeader)
	return a
}

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
