package fleet

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"damsonscale/internal/audit"
	"damsonscale/internal/fleet/membership"
	"damsonscale/internal/fleet/protocol"
	"damsonscale/internal/frame"
	"damsonscale/internal/rollout"
	"damsonscale/internal/takeover"
)

// wireGolden has one line for each sample: its name, derived from the type's name in commit 2029d41, and the bytes in hexadecimal
// that this commit encodes it to.
const wireGolden = "testdata/wire-2029d41.hex"

func sampleDigest(first byte) (d rollout.Digest) {
	for i := range d {
		d[i] = first + byte(i)
	}
	return d
}

func sampleRecord() takeover.Record {
	return takeover.Record{
		ID: "rec-1", Digest: 11, Class: "class-1", Idempotency: takeover.NotIdempotent, Owner: member("own", 12), Epoch: 13, Age: 14, DeadlineAge: 15,
		Sent: true, Request: []byte("request"), Seq: 16, Response: sampleResponse(),
	}
}

func sampleResponse() takeover.Response {
	return takeover.Response{Status: takeover.ResponseTooLarge, Body: []byte("body"), ContentType: []byte("type"), RetryAfter: 17, Reason: "why"}
}

func sampleMessage() takeover.Message {
	rec := sampleRecord()
	return takeover.Message{
		Kind: takeover.Promised, ReplyTo: takeover.Prepare, ID: "id-1", Epoch: 23, Digest: 24, Seq: 25, HasRecord: true, Record: &rec,
		Ballot:         takeover.Ballot{Round: 21, Proposer: member("by", 22)},
		PromisedBallot: takeover.Ballot{Round: 26, Proposer: member("pr", 27)},
		RecordBallot:   takeover.Ballot{Round: 28, Proposer: member("at", 29)},
	}
}

func sampleReport() rollout.Report {
	return rollout.Report{
		ActiveVersion: 31, RejectedVersion: 32, RejectReason: "could not", Digest: 33, Build: "build", Current: rollout.ServiceCounts{Answered: 34, Served: 35},
		Previous: rollout.ServiceCounts{Answered: 36, Served: 37},
	}
}

func sampleCommand() *rollout.Command {
	return &rollout.Command{
		Kind: rollout.Exclude, ID: 41, Author: "who", Reason: "order why", Settings: []byte("text"), Number: 42, Name: "name", SharePermille: 43,
		SettleMs: 44, GraceMs: 45,
	}
}

func samplePlan() rollout.Plan {
	return rollout.Plan{
		LastNumber: 51, Target: 52, Base: 53, SharePermille: 54, Canaries: []string{"f1", "f2"}, SettleMs: 55, GraceMs: 56, Fence: 57, PauseReason: "held why",
		Versions: []rollout.Version{{Number: 58, Digest: sampleDigest(1), SizeBytes: 59, Author: "vwho", Reason: "vwhy", RollbackOf: 60}},
		Excluded: []string{"barred"}, AppliedIDs: []uint64{61, 62},
	}
}

func sampleMembership() *membership.Membership {
	return &membership.Membership{
		Epoch: 71, Members: []membership.JoinedMember{{Member: member("m", 72), JoinedEpoch: 73, FirstIncarnation: true, Address: "x:1"}},
		Evicted: map[string][]uint64{"gone": {74, 75}}, Plan: samplePlan(),
	}
}

func sampleStatus() *ClusterStatus {
	return &ClusterStatus{
		Name: "name", Self: member("me", 81), IsLeader: true, Leader: "leader", Epoch: 82, Plan: samplePlan(), MemberNames: []string{"n1", "n2"},
		Members: []takeover.Member{member("l", 83)}, Reports: map[string]MemberStatus{"rep": {Report: sampleReport(), AgeMs: 84}}, WaitReason: "waits",
	}
}

// wireSamples returns values of every type that members and operators exchange or that the log stores. Each field is set in some
// sample, and no two fields of a type have equal values in all samples, so swapped fields are detected.
func wireSamples() map[string]any {
	return map[string]any{
		"leave":              member("leaver", 3),
		"askLease":           membership.LeaseRequest{Member: member("asker", 4), RequestedAt: 5, Address: "a:6", Report: sampleReport()},
		"granted":            membership.LeaseGrant{Member: member("asker", 4), RequestedAt: 5, Epoch: 6},
		"granted-out":        membership.LeaseGrant{Member: member("asker", 4), RequestedAt: 5, Epoch: 6, Evicted: true},
		"granted-shut":       membership.LeaseGrant{Member: member("asker", 4), RequestedAt: 5, Epoch: 6, Excluded: true},
		"entry-join":         membership.Change{Member: member("joins", 7), Address: "b:8"},
		"entry-out":          membership.Change{Evict: true, Member: member("out", 9)},
		"entry-order":        membership.Change{Command: sampleCommand()},
		"roster":             sampleMembership(),
		"haveText":           settingsReply{Settings: []byte("version text")},
		"takenOf":            []segmentAck{{Member: member("of", 10), Index: 11}},
		"segments":           []audit.SealedSegment{{Encoded: []byte("segment"), Hash: audit.Hash(sampleDigest(2))}},
		"ask":                AdminRequest{FleetID: 91, Kind: RequestRolloutCommand, RolloutCommand: sampleCommand(), Member: "of member"},
		"ask-status":         AdminRequest{FleetID: 91, Kind: RequestStatus},
		"ask-segments":       AdminRequest{FleetID: 91, Kind: RequestSegments, Member: "m"},
		"reply-not-leading":  AdminResponse{Err: "no", NotLeader: true, Leader: "l"},
		"reply-unknown":      AdminResponse{Err: "no", OutcomeUnknown: true},
		"reply-standing":     AdminResponse{Status: sampleStatus()},
		"reply-segments":     AdminResponse{Segments: []audit.SealedSegment{{Encoded: []byte("segment"), Hash: audit.Hash(sampleDigest(2))}}, More: true},
		"messages":           []takeover.Message{sampleMessage()},
		"message-write":      takeover.Message{Kind: takeover.Write, ID: "w", Record: &takeover.Record{ID: "w", Idempotency: takeover.IdempotentByKey}},
		"message-sent":       takeover.Message{Kind: takeover.Write, ID: "w", Record: &takeover.Record{ID: "w", Sent: true}},
		"message-known":      takeover.Message{Kind: takeover.Promised, HasRecord: true},
		"stored":             takeover.StoredRequest{Head: []byte("head"), Body: []byte("body"), Tenant: "tenant", Key: "key"},
		"record":             sampleRecord(),
		"ballot":             takeover.Ballot{Round: 92, Proposer: member("by", 93)},
		"answer":             sampleResponse(),
		"seat":               membership.JoinedMember{Member: member("s", 94), JoinedEpoch: 95, FirstIncarnation: true, Address: "c:96"},
		"standing":           sampleStatus(),
		"standing-no-leader": &ClusterStatus{Name: "name", Self: member("me", 81), Leader: "leader"},
		"told":               MemberStatus{Report: sampleReport(), AgeMs: 97},
	}
}

// Every type is encoded, on the wire and in the log, to the same bytes as by commit 2029d41, and those bytes decode to the same
// value.
func TestWireEncodingMatchesGoldenBytes(t *testing.T) {
	c, err := protocol.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	file, err := os.Open(wireGolden)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	golden := map[string]string{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		name, text, _ := strings.Cut(lines.Text(), " ")
		golden[name] = text
	}
	samples := wireSamples()
	if len(golden) != len(samples) {
		t.Errorf("got %d samples, but golden bytes for %d", len(samples), len(golden))
	}
	for name, sample := range samples {
		text, err := c.Marshal(sample)
		if err != nil {
			t.Fatalf("%s: sample cannot be encoded: %v", name, err)
		}
		if got := hex.EncodeToString(text); got != golden[name] {
			t.Errorf("%s: encoded to\n%s, want\n%s", name, got, golden[name])
		}
		old, err := hex.DecodeString(golden[name])
		if err != nil {
			t.Fatalf("%s: golden file has invalid hexadecimal: %v", name, err)
		}
		read := reflect.New(reflect.TypeOf(sample))
		if err := c.Unmarshal(old, read.Interface()); err != nil {
			t.Errorf("%s: golden bytes cannot be decoded: %v", name, err)
		} else if !reflect.DeepEqual(read.Elem().Interface(), sample) {
			t.Errorf("%s: golden bytes decoded to\n%+v, want\n%+v", name, read.Elem().Interface(), sample)
		}
	}
}

// Numbers on the wire and in the log are the same as in other builds of the program.
func TestWireNumbersAreStable(t *testing.T) {
	for name, c := range map[string]struct{ got, want []int }{
		"frames": {
			[]int{
				int(protocol.KindHello), int(protocol.KindRaft), int(protocol.KindTakeover), int(protocol.KindLeaseRequest), int(protocol.KindLeaseGrant), int(protocol.KindMembershipRequest), int(protocol.KindMembership), int(protocol.KindLeave),
				int(protocol.KindAdmin), int(protocol.KindSettingsRequest), int(protocol.KindSettings), int(protocol.KindSegments), int(protocol.KindSegmentAck),
			},
			[]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12},
		},
		"messages": {
			[]int{
				int(takeover.Write), int(takeover.Prepare), int(takeover.Accepted), int(takeover.Promised), int(takeover.OwnerAlive), int(takeover.HigherBallot),
				int(takeover.SenderNotMember), int(takeover.StaleEpoch), int(takeover.ReplicaTooNew), int(takeover.OutOfCapacity), int(takeover.IDInUse), int(takeover.RecordExpired),
			},
			[]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11},
		},
		"effects": {[]int{int(takeover.Idempotent), int(takeover.IdempotentByKey), int(takeover.NotIdempotent)}, []int{0, 1, 2}},
		"verdicts": {
			[]int{int(takeover.NoResponse), int(takeover.Served), int(takeover.Rejected), int(takeover.Failed), int(takeover.ResponseTooLarge)}, []int{0, 1, 2, 3, 4},
		},
		"injected faults": {
			[]int{
				int(takeover.NoFault), int(takeover.IgnoreLease), int(takeover.SendBeforeQuorum), int(takeover.InvertMembership), int(takeover.ForgetResponse),
			},
			[]int{0, 1, 2, 3, 4},
		},
		"protocol": {[]int{protocol.Version, frame.Version}, []int{2, 2}},
	} {
		if !reflect.DeepEqual(c.got, c.want) {
			t.Errorf("%s: got numbers %v, want %v", name, c.got, c.want)
		}
	}
	if RequestStatus != "status" || RequestRolloutCommand != "order" || RequestSegments != "segments" {
		t.Error("an AdminRequestKind has another value on the wire")
	}
	if got := protocol.FleetID([]string{"b", "a", "c"}); got != 0xaff0f2a2f8b32731 {
		t.Errorf("FleetID of members a, b and c is %#x, want 0xaff0f2a2f8b32731", got)
	}
}

// The output of `fleet status --json` keeps its keys, their order and its format, since operators' scripts read it.
func TestStatusJSONMatchesGoldenFile(t *testing.T) {
	want, err := os.ReadFile("testdata/status-2029d41.json")
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	out := json.NewEncoder(&got)
	out.SetIndent("", " ")
	if err := out.Encode(sampleStatus()); err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("status printed as\n%s, want\n%s", got.String(), want)
	}
}
