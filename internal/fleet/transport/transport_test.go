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

// member returns a member with a name and an incarnation.
func member(name string, n uint64) takeover.Member {
	return takeover.Member{Name: name, Incarnation: n}
}

// A hello is accepted only as the first frame, from a configured member of the receiver's fleet, and for a limited number of
// connections per member.
func TestInvalidHelloIsRejected(t *testing.T) {
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	receiver := New(codec, []string{"a", "b", "c"}, Handlers{})
	accept := func(kind protocol.Kind, v any) error {
		encoded, _ := codec.Marshal(v)
		f, _ := frame.Append(nil, byte(kind), encoded)
		near, far := net.Pipe()
		go func() { near.Write(f); near.Close() }()
		readKind, payload, err := frame.Read(far)
		if err == nil {
			_, err = receiver.acceptHello(protocol.Kind(readKind), payload)
		}
		return err
	}
	valid := hello{FleetID: protocol.FleetID([]string{"c", "b", "a"}), From: member("b", 1)}
	otherFleet, unknownMember := valid, valid
	otherFleet.FleetID++
	unknownMember.From.Name = "d"
	for name, c := range map[string]struct {
		kind       protocol.Kind
		v          any
		wantAccept bool
	}{
		"valid hello": {protocol.KindHello, valid, true}, "another fleet": {protocol.KindHello, otherFleet, false}, "unknown member": {protocol.KindHello, unknownMember, false},
		"other kind": {protocol.KindLeaseRequest, valid, false}, "text payload": {protocol.KindHello, "x", false}, "nested arrays": {protocol.KindHello, [][][]int{{{1}}}, false},
	} {
		if err := accept(c.kind, c.v); (err == nil) != c.wantAccept {
			t.Errorf("%s: got error %v, want the hello accepted: %t", name, err, c.wantAccept)
		}
	}
	for range maxConnectionsPerName {
		accept(protocol.KindHello, valid)
	}
	if accept(protocol.KindHello, valid) == nil {
		t.Errorf("a connection over the limit of %d is accepted", maxConnectionsPerName)
	}
}

// Frames that a process sends after it has rejoined arrive with its new incarnation as the sender, without another frame from the
// old incarnation.
func TestFramesCarryTheSendersIncarnation(t *testing.T) {
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
				t.Fatalf("got frame %+v, want the frame of sender %+v", h, now)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("frame of sender %+v has not arrived within 10 s", now)
		}
	}
}

// The encoding of a hello equals that of commit 2029d41 and decodes to the original value.
func TestHelloEncodingIsStable(t *testing.T) {
	const golden = "8201826466726f6d02"
	codec, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	sample := hello{FleetID: 1, From: member("from", 2)}
	encoded, err := codec.Marshal(sample)
	if got := hex.EncodeToString(encoded); err != nil || got != golden {
		t.Errorf("got encoding %s, error %v; want %s", got, err, golden)
	}
	var read hello
	if err := codec.Unmarshal(encoded, &read); err != nil || !reflect.DeepEqual(read, sample) {
		t.Errorf("got hello %+v, error %v; want %+v", read, err, sample)
	}
}
