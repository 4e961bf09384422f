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
	long       = 100 << 10             // bytes of a long body, and what a long answer has more: past what is held whole
	askStep    = 25 * time.Millisecond // between asks of members that are not there
	resumeHead = "Req-Resume"          // marks a request that was asked of another member before
)

// Ask is one ask of one member.
type Ask struct {
	Member int
	After  time.Duration // the request's start
	Took   time.Duration
	Status int // 0: no whole answer
	Body   string
	Err    string
	Actor  string // whose act the answer was, as it says
	n      int
	Spare  bool // it was asked beside the first, or after the answer
	Aside  bool // a refusal that the client passes over: its other ask may be under way
}

// final tells whether the client is done with it.
func (a *Ask) final() bool { return a.Status != 0 && !a.Aside && a.Status != http.StatusConflict }

// refused tells whether the answer says that trying again is harmless.
func (a *Ask) refused() bool {
	return a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable
}

// Request is one request of a client with all that it heard.
type Request struct {
	ID    string
	Class string
	At    time.Time
	Asks  []Ask

	doubts, twin, big bool
}

// second is the first ask that followed a silence; nil: none.
func (r *Request) second() *Ask {
	for i := range r.Asks {
		if i > 0 && !r.Asks[i].Spare {
			return &r.Asks[i]
		}
	}
	return nil
}

// clients ask members for work, each request when its time has come, however the earlier ones went.
type clients struct {
	line    *Timeline
	members []string // addresses
	http    *http.Client
	open    sync.WaitGroup
	all     []*Request
}

func newClients(t *Timeline, members []string) *clients {
	dial := &net.Dialer{Timeout: ms(t.DeadlineMs)}
	return &clients{line: t, members: members, http: &http.Client{Transport: &http.Transport{
		DialContext:       dial.DialContext,
		DisableKeepAlives: true, // so that the library sends nothing again by itself
	}}}
}

// run sends requests until the timeline's end and returns them once each has its end.
func (c *clients) run(ctx context.Context, start time.Time) []*Request {
	random := rand.New(rand.NewPCG(c.line.Seed, 3))
	step := time.Second / time.Duration(c.line.PerSecond)
	for at := time.Duration(0); at < ms(c.line.LengthMs) && ctx.Err() == nil; at += step {
		select {
		case <-time.After(time.Until(start.Add(at))):
		case <-ctx.Done():
		}
		r := &Request{ID: fmt.Sprintf("%08x%08x", uint32(c.line.Seed), len(c.all)+1), Class: c.draw(random)}
		r.doubts, r.twin = random.Float64() < c.line.Doubt, random.Float64() < c.line.Twins
		r.big = random.Float64() < c.line.Big && r.Class != "look"
		c.all = append(c.all, r)
		first := random.IntN(len(c.members))
		c.open.Add(1)
		go func() { defer c.open.Done(); c.ask(ctx, r, first) }()
	}
	c.open.Wait()
	return c.all
}

func (c *clients) draw(random *rand.Rand) string {
	all := 0
	for _, w := range c.line.Work {
		all += w.Share
	}
	n := random.IntN(all)
	for _, w := range c.line.Work {
		if n -= w.Share; n < 0 {
			return w.Class
		}
	}
	return c.line.Work[0].Class
}

// ask asks one member after the other until one has answered or the time is up. A member that is silent is asked no more.
func (c *clients) ask(ctx context.Context, r *Request, member int) {
	r.At = time.Now()
	ctx, cancel := context.WithDeadline(ctx, r.At.Add(ms(c.line.DeadlineMs)+late))
	defer cancel()
	answers := make(chan Ask, 64)
	open := 0
	for n := 0; ; n++ {
		left := time.Until(r.At.Add(ms(c.line.DeadlineMs)))
		if left <= 0 {
			break
		}
		one, end := context.WithCancel(ctx)
		defer end()
		open++
		go func(member, n int) {
			a := c.once(one, r, member, n > 0, left)
			a.n = n
			answers <- a
		}(member, n)
		if n == 0 && r.twin {
			open++
			go func(member int) {
				a := c.once(one, r, member, true, left)
				a.Spare, a.n = true, -1
				answers <- a
			}((member + 1) % len(c.members))
		}
		silence := time.NewTimer(ms(c.line.SilenceMs))
		for waits := true; waits; {
			select {
			case a := <-answers:
				open--
				a.Aside = r.twin && a.refused() && (open > 0 || a.n == 0)
				r.Asks = append(r.Asks, a)
				if a.final() {
					if r.doubts && a.Status == http.StatusOK && left > 0 {
						again := c.once(ctx, r, (a.Member+1)%len(c.members), true, left)
						again.Spare = true
						r.Asks = append(r.Asks, again)
					}
					c.rest(r, &a, answers, open, cancel)
					return
				}
				if a.n == n { // the end of an earlier one says nothing of this one
					sleep(ctx, askStep)
					waits = false
				}
			case <-silence.C:
				if waits = false; !c.line.KeepOpen {
					end()
				}
			}
		}
		silence.Stop()
		member = (member + 1) % len(c.members)
	}
	for ; open > 0; open-- { // what is still open may answer
		r.Asks = append(r.Asks, <-answers)
	}
}

// rest hears what else is open: a second answer must not differ. A client that takes a refusal ends its other asks.
func (c *clients) rest(r *Request, end *Ask, answers <-chan Ask, open int, cancel func()) {
	if !c.line.KeepOpen || end.refused() {
		cancel()
	}
	for ; open > 0; open-- {
		r.Asks = append(r.Asks, <-answers)
	}
}

func (c *clients) once(ctx context.Context, r *Request, member int, resume bool, left time.Duration) (a Ask) {
	a = Ask{Member: member, After: time.Since(r.At)}
	began := time.Now()
	defer func() { a.Took = time.Since(began) }()
	kind := classes[slices.IndexFunc(classes, func(k class) bool { return k.name == r.Class })] // the timeline was checked
	method, body := http.MethodGet, io.Reader(nil)
	if kind.post {
		method, body = http.MethodPost, strings.NewReader("clip "+r.ID)
		if r.big {
			body = strings.NewReader("clip " + r.ID + strings.Repeat(" ", long))
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
	if kind.key {
		q.Header["Idempotency-Key"] = []string{"k" + r.ID}
	}
	if resume {
		q.Header[resumeHead] = []string{"1"}
	}
	resp, err := c.http.Do(q)
	if err != nil {
		a.Err = err.Error()
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil { // not whole: no answer
		a.Err = err.Error()
		return a
	}
	a.Status, a.Body, a.Actor = resp.StatusCode, string(text), resp.Header.Get(auditevent.RefHeader)
	return a
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
