package upstream

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"damsonscale/internal/lab/standin"
)

// A closed stream has no effect on its server's connection, which may carry another request: a shutdown that detaches streams
// interrupted a read of that request.
func TestDetachLeavesTheConnectionOfAClosedStream(t *testing.T) {
	server, origin := standin.ConnectedPair(t)
	s, err := Resume(server, StreamState{Framing: framedByLength, Forwarded: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(s); err != nil {
		t.Fatal(err)
	}
	s.Close()
	server.SetReadDeadline(time.Time{})
	s.Detach()
	io.WriteString(origin, "x")
	if n, err := server.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("read of the next response got %d bytes and error %v, want 1 byte", n, err)
	}
}

// Bytes that were read ahead count once against the size of a body, in whichever process they are forwarded.
func TestResumedStreamOfTheLargestBodyIsWhole(t *testing.T) {
	server, _ := standin.ConnectedPair(t)
	s, err := Resume(server, StreamState{Framing: framedByLength, Forwarded: MaxBodyBytes, ReadAhead: []byte("end"), BufferedBody: 3}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(s); err != nil || string(got) != "end" {
		t.Errorf("got %q with error %v, want \"end\"", got, err)
	}
}

// The state of a resumed stream equals the state that it was resumed with, until bytes are read.
func TestResumedStreamKeepsItsState(t *testing.T) {
	for name, state := range map[string]StreamState{
		"length":      {Framing: framedByLength, Remaining: 7, Forwarded: 10, ReadAhead: []byte("abcd"), BufferedBody: 2},
		"chunks":      {Framing: framedByChunks, Remaining: 3, Forwarded: 10, ReadAhead: []byte("abcd\r\n0\r"), BufferedBody: 1},
		"trailers":    {Framing: framedByChunks, InTrailers: true, TrailerLines: 2, Forwarded: 10, ReadAhead: []byte("T: "), BufferedBody: 0},
		"chunk's end": {Framing: framedByChunks, AtChunkEnd: true, Forwarded: 10},
		"until close": {Framing: framedByClose, Forwarded: 10, ReadAhead: []byte("abcd"), BufferedBody: 4},
	} {
		t.Run(name, func(t *testing.T) {
			server, _ := standin.ConnectedPair(t)
			s, err := Resume(server, state, nil)
			if err != nil {
				t.Fatal(err)
			}
			s.Detach()
			if _, err := s.Read(make([]byte, 1)); err != ErrDetached {
				t.Fatalf("read of a detached stream ended with %v, want %v", err, ErrDetached)
			}
			got, conn := s.State()
			if string(got.ReadAhead) != string(state.ReadAhead) || conn != server {
				t.Errorf("got %q read ahead from %v, want %q from %v", got.ReadAhead, conn, state.ReadAhead, server)
			}
			got.ReadAhead, state.ReadAhead = nil, nil
			if gotText, want := toJSON(t, got), toJSON(t, state); gotText != want {
				t.Errorf("got state %s, want %s", gotText, want)
			}
		})
	}
}

// toJSON returns the JSON of a state.
func toJSON(t *testing.T, state StreamState) string {
	t.Helper()
	text, err := json.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
