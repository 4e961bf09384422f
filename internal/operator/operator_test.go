package operator

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"damsonscale/internal/frame"
)

// fakeFleet is a fleet of members a, b and c that answer admin requests with frames recorded at commit 2029d41.
type fakeFleet struct {
	options  string     // path of the options file
	commands chan []any // rollout commands received, as decoded CBOR arrays
}

// newFakeFleet starts the members. replies names the fixture that each member answers with, by member name.
func newFakeFleet(t *testing.T, replies map[string]string) *fakeFleet {
	t.Helper()
	f := &fakeFleet{options: filepath.Join(t.TempDir(), "options.toml"), commands: make(chan []any, 16)}
	members := ""
	for _, name := range []string{"a", "b", "c"} {
		reply, err := os.ReadFile(filepath.Join("testdata", "reply_"+replies[name]+".frame"))
		if err != nil {
			t.Fatal(err)
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		go f.serve(listener, reply)
		members += fmt.Sprintf("{name = %q, address = %q},\n", name, listener.Addr())
	}
	text := "[fleet]\naddress = \"127.0.0.1:7101\"\nstate_dir = \"/tmp\"\nmembers = [\n" + members + "]\n"
	if err := os.WriteFile(f.options, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

// serve answers one request on each connection with reply, and forwards the request's rollout command.
func (f *fakeFleet) serve(listener net.Listener, reply []byte) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		var request []any
		if _, payload, err := frame.Read(conn); err == nil && cbor.Unmarshal(payload, &request) == nil && len(request) == 4 {
			if command, ok := request[2].([]any); ok {
				f.commands <- command
			}
			conn.Write(reply)
		}
		conn.Close()
	}
}

// run runs a command line against the fake fleet, and returns the exit code and the output.
func (f *fakeFleet) run(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = Main(append([]string{"--options", f.options, "--who", "me"}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// compareGolden compares an output with a fixture.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("output differs from %s: got %s\nwant %s", name, got, want)
	}
}

// The output of --json is that of commit 2029d41.
func TestJSONOutputIsUnchanged(t *testing.T) {
	status := newFakeFleet(t, map[string]string{"a": "status", "b": "status", "c": "status"})
	segments := newFakeFleet(t, map[string]string{"a": "segments", "b": "busy", "c": "segments"})
	directory, err := filepath.Abs("../audit/testdata/directory")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		golden string
		fleet  *fakeFleet
		code   int
		args   []string
	}{
		{"status.json", status, 0, []string{"--json", "status"}},
		{"hold.json", status, 0, []string{"--json", "hold"}},
		{"audit.json", segments, 0, []string{"--json", "audit"}},
		{"audit_id.json", segments, 0, []string{"--json", "audit", "--id", "id-1"}},
		{"audit_member.json", segments, 0, []string{"--json", "audit", "--member", "b"}},
		{"audit_version.json", segments, 0, []string{"--json", "audit", "--version", "1"}},
		{"verify.json", segments, 4, []string{"--json", "verify", directory}},
	} {
		code, out, errOut := c.fleet.run(c.args...)
		if code != c.code {
			t.Errorf("%v: exit code %d, want %d; standard error: %s", c.args, code, c.code, errOut)
		}
		compareGolden(t, c.golden, strings.ReplaceAll(out, directory, "/audit"))
	}
}

// Each command line is sent to the leader as the rollout command of commit 2029d41.
func TestCommandLineBecomesRolloutCommand(t *testing.T) {
	f := newFakeFleet(t, map[string]string{"a": "status", "b": "status", "c": "status"})
	settings := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(settings, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	noSettings := []byte(nil)
	for _, c := range []struct {
		args []string
		want []any // kind, id, author, reason, settings, number, name, share, settle and grace in ms
	}{
		{[]string{"rollout", settings, "--share", "0.25", "--settle", "3s", "--grace", "4s", "--why", "w"},
			[]any{uint64(1), nil, "me", "w", []byte("{}"), uint64(0), "", uint64(250), uint64(3000), uint64(4000)}},
		{[]string{"rollout", settings}, []any{uint64(1), nil, "me", "", []byte("{}"), uint64(0), "", uint64(100), uint64(30000), uint64(30000)}},
		{[]string{"hold", "--why", "w"}, []any{uint64(2), nil, "me", "w", noSettings, uint64(0), "", uint64(0), uint64(0), uint64(0)}},
		{[]string{"back", "4", "--grace", "5s"}, []any{uint64(3), nil, "me", "", noSettings, uint64(4), "", uint64(0), uint64(0), uint64(5000)}},
		{[]string{"out", "b", "--why", "w"}, []any{uint64(4), nil, "me", "w", noSettings, uint64(0), "b", uint64(0), uint64(0), uint64(0)}},
		{[]string{"readmit", "b"}, []any{uint64(5), nil, "me", "", noSettings, uint64(0), "b", uint64(0), uint64(0), uint64(0)}},
	} {
		if code, _, errOut := f.run(c.args...); code != 0 {
			t.Fatalf("%v: exit code %d, want 0; standard error: %s", c.args, code, errOut)
		}
		got := <-f.commands
		if id, ok := got[1].(uint64); !ok || id&1 == 0 || id>>63 != 0 {
			t.Errorf("%v: command id %v, want an odd number with the highest bit clear", c.args, got[1])
		}
		if got[1] = nil; got[4] == nil {
			got[4] = noSettings
		}
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%v: sent command %#v, want %#v", c.args, got, c.want)
		}
	}
}

// Exit codes distinguish rejected commands, invalid usage, a fleet that does not answer and audit faults. After the answer of a member that does
// not lead, other members are tried.
func TestExitCodesDistinguishFailures(t *testing.T) {
	all := func(reply string) *fakeFleet {
		return newFakeFleet(t, map[string]string{"a": reply, "b": reply, "c": reply})
	}
	redirected := newFakeFleet(t, map[string]string{"a": "status", "b": "not_leading", "c": "not_leading"})
	for name, c := range map[string]struct {
		fleet *fakeFleet
		args  []string
		code  int
	}{
		"command is applied":   {all("status"), []string{"hold"}, 0},
		"status":               {redirected, []string{"status"}, 0},
		"redirect to leader":   {redirected, []string{"hold"}, 0},
		"command is rejected":  {all("refused"), []string{"back", "400"}, 1},
		"outcome is unknown":   {all("unknown"), []string{"hold"}, 3},
		"no leader":            {all("not_leading"), []string{"hold"}, 3},
		"no segments received": {all("busy"), []string{"audit"}, 3},
		"unknown command":      {all("status"), []string{"halt"}, 2},
		"missing file":         {all("status"), []string{"rollout", "/nonexistent"}, 2},
		"share of 0":           {all("status"), []string{"rollout", "operator_test.go", "--share", "0"}, 2},
		"unknown member":       {all("segments"), []string{"audit", "--member", "x"}, 2},
		"empty directory":      {all("status"), []string{"verify", t.TempDir()}, 2},
		"faults in a trail":    {all("status"), []string{"verify", "../audit/testdata/directory"}, 4},
		"help":                 {all("status"), []string{"--help"}, 0},
	} {
		if code, out, errOut := c.fleet.run(c.args...); code != c.code {
			t.Errorf("%s: exit code %d, want %d; output: %s%s", name, code, c.code, out, errOut)
		}
	}
}
