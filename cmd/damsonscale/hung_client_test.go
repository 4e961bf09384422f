package main

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"
)

// Guards against the fault of review case 9 towards clients: a long answer was cut when its client's process hung for longer than one
// that reads slowly may be unheard. The test waits the hang out, in each framing.
func TestLongAnswerSurvivesAHungClient(t *testing.T) {
	t.Parallel()
	body := patternBytes(24 << 20) // more than the buffers of both connections
	for _, framing := range responseFramings(len(body)) {
		t.Run(framing.name, func(t *testing.T) {
			t.Parallel()
			const hang = 25 * time.Second
			resume := make(chan bool)
			close(resume)
			p, resp := startStream(t, framing, body, nil, resume)
			got := make([]byte, 1<<20)
			if _, err := io.ReadFull(resp.Body, got); err != nil {
				t.Fatal(err)
			}
			time.Sleep(hang)
			rest, err := io.ReadAll(resp.Body)
			if got = append(got, rest...); err != nil || !bytes.Equal(got, body) {
				t.Fatalf("client got %d bytes, error %v, want the server's %d bytes; log:\n%s", len(got), err, len(body), p.log.String())
			}
		})
	}
}

// Clients that take nothing of their long answers make room for others once those need it, and short requests are served beside them,
// within the process's memory.
func TestClientsThatTakeNothingMakeRoom(t *testing.T) {
	t.Parallel()
	const memoryMB, crowd, newcomers = 32, 200, 10
	p := startForCrowd(t, memoryMB, time.Millisecond, crowdServer, nil)
	begin := func() (begun bool) {
		_, resp := p.askForAnswer(t, "30000000")
		return resp.StatusCode == http.StatusOK
	}
	begun := 0
	for range crowd {
		if begin() {
			begun++
		}
	}
	if begun == crowd {
		t.Fatalf("all of %d long answers have begun, want more than there are places", crowd)
	}
	plain, stopPlain := startPlainClients(p.addr)
	time.Sleep(15 * time.Second) // a slow reader would have been heard
	stopPlain()
	plain.check(t, false)
	for i := range newcomers {
		if !begin() {
			t.Errorf("long answer %d of %d beside %d that nobody takes was refused", i+1, newcomers, begun)
		}
	}
	p.checkPeakMemory(t, memoryMB)
}
