package handover

import (
	"encoding/json"
	"net"
	"sync"
	"time"
)

// claimTimeout is how long a claim waits for the predecessor's answer, and for the message that this process serves.
const claimTimeout = 100 * time.Millisecond

// claimExchange sends claims to the predecessor and matches its answers with them. A nil claimExchange ignores answers.
type claimExchange struct {
	conn   net.Conn
	opened chan struct{} // closed once claims may be sent: the predecessor expects other messages before

	mu      sync.Mutex
	waiting map[string][]chan Claim // by request ID, in the order of the claims
}

func newClaimExchange(conn net.Conn) *claimExchange {
	return &claimExchange{conn: conn, opened: make(chan struct{}), waiting: map[string][]chan Claim{}}
}

// open allows claims to be sent. It is called once.
func (e *claimExchange) open() {
	if e != nil {
		close(e.opened)
	}
}

// claim sends a claim and waits for the answer, for the predecessor's exit or for claimTimeout.
func (e *claimExchange) claim(requestID string, exited <-chan struct{}) (Claim, bool) {
	timeout := time.NewTimer(claimTimeout)
	defer timeout.Stop()
	select {
	case <-e.opened:
	case <-exited:
		return Claim{}, false
	case <-timeout.C:
		return Claim{}, false
	}
	answer, sent := e.send(requestID)
	if !sent {
		return Claim{}, false
	}
	select {
	case claim := <-answer:
		return claim, true
	case <-exited:
	case <-timeout.C:
	}
	return Claim{}, false
}

// send writes a claim and returns the channel that receives the answer.
func (e *claimExchange) send(requestID string) (answer chan Claim, sent bool) {
	line, err := json.Marshal(claimMessage{RequestID: requestID})
	if err != nil {
		return nil, false
	}
	answer = make(chan Claim, 1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn.SetWriteDeadline(time.Now().Add(claimTimeout))
	if _, err := e.conn.Write(append(line, '\n')); err != nil {
		return nil, false
	}
	e.waiting[requestID] = append(e.waiting[requestID], answer)
	return answer, true
}

// deliver passes an answer to the oldest claim of its request.
func (e *claimExchange) deliver(a claimAnswer) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	waiting := e.waiting[a.RequestID]
	if len(waiting) == 0 {
		return
	}
	waiting[0] <- a.Claim
	if e.waiting[a.RequestID] = waiting[1:]; len(waiting) == 1 {
		delete(e.waiting, a.RequestID)
	}
}
