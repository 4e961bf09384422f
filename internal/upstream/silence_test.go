package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"damsonscale/internal/lab/standin"
	"damsonscale/internal/socket"
)

// giveUpSlack is the time within which a reason to give a server up has to be noticed.
const giveUpSlack = 8 * time.Second

// dialFunc opens a connection for a HostMonitor.
type dialFunc = func(context.Context, string) (net.Conn, error)

// never is a dial to a host that does not answer.
func never(ctx context.Context, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// failing returns a dial that fails at once.
func failing(err error) dialFunc {
	return func(context.Context, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
}

// resumeStream returns a stream of a body of the given length, and the server's side of its connection.
func resumeStream(t *testing.T, length int, dial dialFunc) (*Stream, *net.TCPConn) {
	t.Helper()
	server, origin := standin.TCPPair(t)
	state := StreamState{Framing: framedByLength, Remaining: int64(length)}
	s, err := Resume(server, state, NewHostMonitor(NewSocketBudget(8), dial))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s, origin
}

// Guards against review case 9: a long answer was cut when its server's process hung for over 5 s, though its host was there. The
// longest hang exceeds HostTimeout.
func TestHungServerIsWaitedFor(t *testing.T) {
	body := []byte("0123456789")
	for name, c := range map[string]struct {
		hang time.Duration
		dial dialFunc
	}{
		"6 s":                               {6 * time.Second, nil},
		"12 s":                              {12 * time.Second, nil},
		"25 s":                              {25 * time.Second, nil},
		"42 s":                              {42 * time.Second, nil},
		"42 s, new connections are refused": {42 * time.Second, failing(syscall.ECONNREFUSED)},
		"42 s, this machine is short of descriptors":             {42 * time.Second, failing(syscall.EMFILE)},
		"42 s, this machine has no network":                      {42 * time.Second, failing(syscall.ENETUNREACH)},
		"25 s, new connections never come up, as behind a queue": {25 * time.Second, never},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, origin := resumeStream(t, len(body), c.dial)
			origin.Write(body[:3])
			time.AfterFunc(c.hang, func() { origin.Write(body[3:]) })
			if got, err := io.ReadAll(s); err != nil || !bytes.Equal(got, body) {
				t.Errorf("got %q with error %v, want %q", got, err, body)
			}
		})
	}
}

// A host that has gone is given up in the stated time, by what its system acknowledges on the connection or, where that is answered by
// another machine on the way, by new connections.
func TestVanishedHostIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		vanish func(*testing.T, *net.TCPConn)
		dial   dialFunc
	}{
		"nothing is acknowledged":         {func(t *testing.T, c *net.TCPConn) { standin.Vanish(t, c) }, nil},
		"new connections never come up":   {func(*testing.T, *net.TCPConn) {}, never},
		"there is no route to the server": {func(*testing.T, *net.TCPConn) {}, failing(syscall.EHOSTUNREACH)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, origin := resumeStream(t, 10, c.dial)
			origin.Write([]byte("012"))
			if _, err := io.ReadFull(s, make([]byte, 3)); err != nil {
				t.Fatal(err)
			}
			c.vanish(t, origin)
			began := time.Now()
			_, err := s.Read(make([]byte, 1))
			if err != errHostGone {
				t.Errorf("got error %v, want %v", err, errHostGone)
			}
			if took := time.Since(began); took < HostTimeout || took > HostTimeout+giveUpSlack {
				t.Errorf("given up after %v, want within %v after %v", took, giveUpSlack, HostTimeout)
			}
		})
	}
}

// While a server is silent nothing is written to the client, so that a client that leaves has to be looked for: otherwise its place
// would be held for as long as the server hangs.
func TestSilentStreamEndsWithItsClient(t *testing.T) {
	t.Parallel()
	s, _ := resumeStream(t, 10, nil)
	s.ClientLeft = func() bool { return true }
	began := time.Now()
	if _, err := s.Read(make([]byte, 1)); err != errRequestEnded {
		t.Errorf("got error %v, want %v", err, errRequestEnded)
	}
	if took := time.Since(began); took > silenceNotice+giveUpSlack {
		t.Errorf("ended after %v, want within %v", took, silenceNotice+giveUpSlack)
	}
}

// A silent server's response is given up at once where its place is needed, and one whose server is not silent is not.
func TestEvictionOfASilentStream(t *testing.T) {
	t.Parallel()
	s, origin := resumeStream(t, 10, nil)
	if s.Evict() {
		t.Error("eviction of a stream that is not silent: got true, want false")
	}
	origin.Write([]byte("0"))
	if _, err := s.Read(make([]byte, 1)); err != nil {
		t.Fatalf("read after the refused eviction: %v", err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := s.Read(make([]byte, 1))
		ended <- err
	}()
	standin.Eventually(t, "the server counts as silent", func() bool { _, silent := s.StalledSince(); return silent })
	if !s.Evict() {
		t.Error("eviction of a silent stream: got false, want true")
	}
	select {
	case err := <-ended:
		if err != errEvicted {
			t.Errorf("got error %v, want %v", err, errEvicted)
		}
	case <-time.After(time.Second):
		t.Error("evicted stream has not ended within 1 s")
	}
}

// Guards against a truncated body that counts as complete: the system reports once that a peer acknowledges nothing, and then an end
// of the connection, by which a body without a length ends.
func TestLostConnectionIsNoEndOfABody(t *testing.T) {
	t.Parallel()
	server, origin := standin.TCPPair(t)
	s, err := Resume(server, StreamState{Framing: framedByClose}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	standin.Vanish(t, origin)
	if !socket.KeepAlive(server, time.Second, 2) {
		t.Fatal("the system does not probe connections")
	}
	if got, err := io.ReadAll(s); err == nil || s.err == io.EOF {
		t.Errorf("got %d bytes with error %v, want an error", len(got), err)
	}
}

// A host is probed once for all silent streams, by few connections, and no longer than it is watched.
func TestHostIsProbedOnceForAllStreams(t *testing.T) {
	t.Parallel()
	dials := make(chan string, 10)
	m := NewHostMonitor(NewSocketBudget(8), func(_ context.Context, addr string) (net.Conn, error) {
		dials <- addr
		return nil, syscall.EHOSTUNREACH
	})
	first, isNew := m.watch("a:1")
	second, isSecondNew := m.watch("a:1")
	if !isNew || isSecondNew {
		t.Errorf("two watches of a host: got new %v and %v, want only the first new", isNew, isSecondNew)
	}
	time.Sleep(hostProbeInterval + hostProbeInterval/2)
	first.release()
	second.release()
	time.Sleep(hostProbeInterval)
	if got := len(dials); got != 2 {
		t.Errorf("got %d connections within one and a half intervals, want 2", got)
	}
	if len(m.probes) != 0 {
		t.Errorf("got %d probes after the last release, want 0", len(m.probes))
	}
}

// A cut answer's log line names its cause.
func TestCauseOfACutResponse(t *testing.T) {
	for _, c := range []struct {
		err  error
		want cutCause
	}{
		{errHostGone, cutByHostGone},
		{&net.OpError{Op: "read", Err: syscall.ETIMEDOUT}, cutByHostGone},
		{errEvicted, cutByEviction},
		{io.ErrUnexpectedEOF, cutByEnd},
		{&net.OpError{Op: "read", Err: syscall.ECONNRESET}, cutByReset},
		{fmt.Errorf("read: %w", errMalformedChunk), cutAsMalformed},
		{errTooLong, cutAsTooLong},
	} {
		if got := cutCauseOf(c.err); got != c.want {
			t.Errorf("cause of %v: got %q, want %q", c.err, got, c.want)
		}
	}
}

// The result of an attempt whose host has gone is a reset: the request may have been executed.
func TestReasonOfAHostThatHasGone(t *testing.T) {
	a := &Attempt{}
	a.startTimer()
	defer a.release()
	for _, err := range []error{errHostGone, errEvicted} {
		if got := reasonForReadError(a, err); got != Reset {
			t.Errorf("reason for %q: got %v, want %v", strings.TrimSpace(err.Error()), got, Reset)
		}
	}
}
