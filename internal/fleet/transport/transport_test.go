package transport

import (
	"encoding/hex"
	"net"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/frame"
	"damsonscale/internal/takeover"
)

// member is a member of that name and incarnation.
func member(name string, n uint64) takeover.Member {
	return takeover.Member{Name: name, Incarnation: n}
}

// A connection of a stranger is rejected by its hello.
func TestHello(t *testing.T) {
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	receiver := New(codec, []string{"a", "b", "c"}, Handlers{})
	accept := func(kind protocol.Kind, v any) error {
		text, _ := codec.Marshal(v)
		f, _ := frame.Append(nil, byte(kind), text)
		near, far := net.Pipe()
		go func() { near.Write(f); near.Close() }()
		sent, payload, err := frame.Read(far)
		if err == nil {
			_, err = receiver.acceptHello(protocol.Kind(sent), payload)
		}
		return err
	}
	good := hello{FleetID: protocol.FleetID([]string{"c", "b", "a"}), From: member("b", 1)}
	other, stranger := good, good
	other.FleetID++
	stranger.From.Name = "d"
	for name, c := range map[string]struct {
		kind protocol.Kind
		v    any
		ok   bool
	}{
		"good": {protocol.KindHello, good, true}, "another fleet": {protocol.KindHello, other, false}, "a stranger": {protocol.KindHello, stranger, false},
		"no hello": {protocol.KindLeaseRequest, good, false}, "nonsense": {protocol.KindHello, "x", false}, "too deep": {protocol.KindHello, [][][]int{{{1}}}, false},
	} {
		if err := accept(c.kind, c.v); (err == nil) != c.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
	for range maxConnectionsPerName {
		accept(protocol.KindHello, good)
	}
	if accept(protocol.KindHello, good) == nil {
		t.Error("too many connections are accepted")
	}
}

// What a process sends after it has rejoined is sent on behalf of the new incarnation, and nothing more on behalf of the old one.
func TestFramesAreSentForTheirIncarnation(t *testing.T) {
	c, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx := t.Context()
	type received struct {
		from takeover.Member
		text string
	}
	got := make(chan received, 64)
	to := New(c, []string{"a", "b"}, Handlers{HandleFrame: func(from takeover.Member, _ protocol.Kind, payload []byte) {
		got <- received{from, string(payload)}
	}})
	go to.Serve(ctx, listener)
	var self atomic.Pointer[takeover.Member]
	from := New(c, []string{"a", "b"}, Handlers{
		Self: func() takeover.Member { return *self.Load() }, AddressOf: func(string) string { return listener.Addr().String() },
	})
	for n := range uint64(5) {
		now := member("b", n+1)
		self.Store(&now)
		from.Send(ctx, "a", protocol.KindLeaseRequest, []byte(now.Name+string(rune('1'+n))))
		select {
		case h := <-got:
			if h.from != now || h.text != "b"+string(rune('1'+n)) {
				t.Fatalf("%+v after %+v", h, now)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("what %+v has sent has not come", now)
		}
	}
}

// A hello has the bytes that commit 2029d41 gave it, and they are read as the same value.
func TestHelloBytesStayAsTheyWere(t *testing.T) {
	const golden = "8201826466726f6d02"
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	sample := hello{FleetID: 1, From: member("from", 2)}
	encoded, err := codec.Marshal(sample)
	if got := hex.EncodeToString(encoded); err != nil || got != golden {
		t.Errorf("%s, not %s: %v", got, golden, err)
	}
	var read hello
	if err := codec.Unmarshal(encoded, &read); err != nil || !reflect.DeepEqual(read, sample) {
		t.Errorf("%+v, not %+v: %v", read, sample, err)
	}
}
