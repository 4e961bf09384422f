package simwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"
	"testing"
)

const testSettings = `{"Services":[{"Name":"get","Semantics":"idempotent","Group":"all","AimUs":400000,"DeadlineUs":1000000,"Worth":3,"WindowUs":0}],` +
	`"Realms":[{"Name":"acme","AllowancePerS":10}],"RegistryMode":"on_request","WeightSource":"nominal","TickUs":5000,"Unknown":{"x":[1]},` +
	`"Limits":{"Cancel":true,"MaxAttempts":4},"Guarantees":{"ColdFrom":0.3,"ColdUs":8000000,"FallUs":2000000,"OverloadFactor":3,"AskEveryUs":10000000,"AnswerSlackUs":20000}}`

// start creates instance 3 with an endpoint list of two servers.
const start = "ROUND\t1000000\nABOUT\t3\nCREATE\t42\t" + testSettings + "\n" +
	"SNAPSHOT_ROWS\t0\t2\nROW\t-\t1\tbig\t0\tin_service\t10.0.0.1:7001\ta\nROW\t-\t2\tbig\t0\tterminating\t10.0.0.2:7002\tb\n" +
	"REGISTRY\tstale_copy\t1\t0\nYOUR_TURN\n"

// requestLine is the event of a request with the ID rq_1.
const requestLine = "WORK_ITEM\trq_1\t0\t900000\tacme\t0\tget\tk\t-\n"

func run(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Run(strings.NewReader(in), &out)
	return out.String(), err
}

// replies runs the input and returns the reply to each batch.
func replies(t *testing.T, in string) []string {
	t.Helper()
	out, err := run(t, in)
	if err != nil {
		t.Fatal(err)
	}
	return strings.SplitAfter(out, "ACK\n")
}

func TestRequestIsSentToTheServerInService(t *testing.T) {
	got := replies(t, "ROUND\t5\nYOUR_TURN\n\n"+start+"ROUND\t1005000\nABOUT\t3\n"+requestLine+"YOUR_TURN\n"+
		"ROUND\t1005000\nABOUT\t3\nDEADLINE_HIT\t3\nYOUR_TURN\n"+
		"ROUND\t1205000\nABOUT\t3\nDEADLINE_HIT\t2\nYOUR_TURN\n")
	if got[0] != "ACK\n" {
		t.Errorf("empty batch: got reply %q, want an empty one", got[0])
	}
	if !strings.Contains(got[1], "ON_BEHALF\t3\n") || !strings.Contains(got[1], "ARM\t0\t3\n") ||
		!strings.HasSuffix(got[3], "\t2\nACK\n") || !strings.Contains(got[4], "OBSERVE\t1\n") {
		t.Errorf("got replies %q, want a timer and a watch of the endpoint list from a new instance", got)
	}
	if want := "ON_BEHALF\t3\nSEND\trq_1\t10.0.0.1:7001\t"; !strings.HasPrefix(got[2], want) {
		t.Errorf("got reply %q, want one that begins with %q", got[2], want)
	}
}

func TestEventsForFinishedRequestsCauseNoActions(t *testing.T) {
	got := replies(t, start+"ROUND\t1005000\nABOUT\t3\n"+requestLine+"YOUR_TURN\n"+
		"ROUND\t1010000\nABOUT\t3\nSETTLED\trq_1\t0\t10.0.0.1:7001\tF\t900\t0\trif:3,busy:0.5,novel:1\nYOUR_TURN\n"+
		"ROUND\t1020000\nABOUT\t3\nSETTLED\trq_1\t1\t10.0.0.1:7001\tS\t900\t1\t-\nVANISHED\trq_1\nACCEPTED\trq_1\t0\t10.0.0.1:7001\t5\n"+
		"VANISHED\trq_9\nPROBE_DONE\t10.0.0.1:7001\tS\t1400\t-\nPEER\t2\t68692037\nDEADLINE_HIT\t77\nYOUR_TURN\n")
	if !strings.Contains(got[2], "SEND\trq_1\t10.0.0.1:7001\t") {
		t.Errorf("got reply %q, want a retry after an attempt that the server refused", got[2])
	}
	if got[3] != "ACK\n" {
		t.Errorf("events for finished requests: got reply %q, want an empty one", got[3])
	}
}

func TestSlotFilledTwiceInABatchHasTheLatestList(t *testing.T) {
	got := replies(t, start+"ROUND\t1005000\nSNAPSHOT_ROWS\t0\t1\nROW\t0\t1\tbig\t0\tterminated\t10.0.0.1:7001\ta\nABOUT\t3\nREGISTRY\tpatch\t2\t0\n"+
		"SNAPSHOT_ROWS\t0\t1\nROW\t0\t1\tbig\t0\tin_service\t10.0.0.9:7009\ta\nREGISTRY\tpatch\t3\t0\n"+requestLine+"YOUR_TURN\n")
	if !strings.Contains(got[1], "SEND\trq_1\t10.0.0.9:7009\t") {
		t.Errorf("got reply %q, want an attempt at the server of the second list in the slot", got[1])
	}
}

func TestRestartedInstanceHasNoState(t *testing.T) {
	got := replies(t, start+"ROUND\t1005000\nABOUT\t3\n"+requestLine+"EXIT\nCREATE\t43\t"+testSettings+"\nYOUR_TURN\n"+
		"ROUND\t1010000\nABOUT\t3\nWORK_ITEM\trq_2\t0\t900000\t-\t0\tget\t-\t-\nYOUR_TURN\n")
	if !strings.Contains(got[2], "NOT_NOW\trq_2\t") {
		t.Errorf("restarted instance without an endpoint list: got reply %q, want an immediate rejection", got[2])
	}
}

func TestInstancesAreIndependent(t *testing.T) {
	second := strings.ReplaceAll(strings.ReplaceAll(start, "ABOUT\t3", "ABOUT\t4"), "ROUND\t1000000", "ROUND\t1000001")
	batch := "ROUND\t1005000\nABOUT\t4\n" + requestLine + "YOUR_TURN\n"
	both, alone := replies(t, start+second+batch), replies(t, second+batch)
	if both[2] != alone[1] {
		t.Errorf("got reply %q with another instance running, want %q as without it", both[2], alone[1])
	}
}

func TestLongBatchAndLongLineAreRead(t *testing.T) {
	var in strings.Builder
	in.WriteString(start + "ROUND\t1005000\nABOUT\t3\n")
	long := strings.Repeat("k", 400_000) // longer than the reader's buffer
	fmt.Fprintf(&in, "WORK_ITEM\trq_long\t0\t900000\t-\t0\tget\t%s\t-\n", long)
	for i := range 20_000 {
		fmt.Fprintf(&in, "WORK_ITEM\trq_%d\t0\t900000\t-\t0\tget\t-\t-\n", i)
	}
	in.WriteString("YOUR_TURN\n")
	got := replies(t, in.String())
	answered := strings.Count(got[1], "NOT_NOW") + strings.Count(got[1], "SEND")
	if answered < 19_000 {
		t.Errorf("%d of 20001 requests were sent or rejected at once, want at least 19000", answered)
	}
}

func TestMalformedInputEndsWithAnErrorThatNamesTheLine(t *testing.T) {
	for name, v := range map[string]struct{ in, want string }{
		"not a batch":         {"HELLO\n", "line 1: expected ROUND"},
		"clock not a number":  {"ROUND\tnow\n", "line 1: ROUND: expected a whole number"},
		"clock goes back":     {"ROUND\t9\nYOUR_TURN\nROUND\t8\nYOUR_TURN\n", "line 3: ROUND: clock went back"},
		"unknown event":       {"ROUND\t1\nFOO\t1\nYOUR_TURN\n", `line 2: expected an event or YOUR_TURN, got "FOO"`},
		"truncated batch":     {"ROUND\t1\n", "input ended inside a batch"},
		"truncated line":      {"ROUND\t1\nABOU", "line 2: input ended inside a line"},
		"truncated list":      {"ROUND\t1\nSNAPSHOT_ROWS\t0\t2\n", "input ended inside a batch"},
		"no such instance":    {"ROUND\t1\nABOUT\t1\nEXIT\n", "line 3: EXIT: no live instance"},
		"settings not JSON":   {"ROUND\t1\nABOUT\t1\nCREATE\t1\t{oops\n", "line 3: CREATE: settings are not valid JSON of the expected types"},
		"settings no classes": {"ROUND\t1\nABOUT\t1\nCREATE\t1\t{}\n", "line 3: CREATE: settings: no classes"},
		"negative window": {"ROUND\t1\nABOUT\t1\nCREATE\t1\t" + strings.Replace(testSettings, `"WindowUs":0`, `"WindowUs":-1`, 1) + "\n",
			"line 3: CREATE: settings: class get: negative window"},
		"unknown semantics": {"ROUND\t1\nABOUT\t1\nCREATE\t1\t" + strings.Replace(testSettings, "idempotent", "maybe", 1) + "\n",
			`unknown semantics "maybe"`},
		"create without instance": {"ROUND\t1\nCREATE\t1\t" + testSettings + "\n", "line 2: CREATE: no instance named"},
		"create in a later batch": {start + "ROUND\t1005000\nCREATE\t1\t" + testSettings + "\n", "line 10: CREATE: no instance named"},
		"bad slot":                {"ROUND\t1\nSNAPSHOT_ROWS\t16\t0\n", "line 2: SNAPSHOT_ROWS: expected a slot from 0 to 15"},
		"empty slot":              {start + "ROUND\t1005000\nABOUT\t3\nREGISTRY\tpatch\t1\t5\n", "line 11: REGISTRY: expected the slot of an endpoint list that was sent before"},
		"bad phase":               {"ROUND\t1\nSNAPSHOT_ROWS\t0\t1\nROW\t-\t1\tb\t0\tasleep\tx:1\ta\n", "line 3: SNAPSHOT_ROWS: ROW: expected in_service"},
		"short row":               {"ROUND\t1\nSNAPSHOT_ROWS\t0\t1\nROW\t-\t1\n", "line 3: SNAPSHOT_ROWS: ROW: expected ROW with 7 fields"},
		"short event":             {start + "ROUND\t1005000\nABOUT\t3\nWORK_ITEM\trq_1\n", "line 11: WORK_ITEM: expected 8 fields, got 1"},
		"unknown class":           {start + "ROUND\t1005000\nABOUT\t3\nWORK_ITEM\trq_1\t0\t1\t-\t0\tput\t-\t-\n", `line 11: WORK_ITEM: class "put" is not in the settings`},
		"bad outcome":             {start + "ROUND\t1005000\nABOUT\t3\nSETTLED\trq_1\t0\tx:1\tQ\t1\t0\t-\n", "line 11: SETTLED: expected an outcome letter"},
		"no outcome":              {start + "ROUND\t1005000\nABOUT\t3\nSETTLED\trq_1\t0\tx:1\t\t1\t0\t-\n", "line 11: SETTLED: expected an outcome letter"},
		"bad load":                {start + "ROUND\t1005000\nABOUT\t3\nPROBE_DONE\tx:1\tS\t1\trif\n", "line 11: PROBE_DONE: load report: expected name:value"},
	} {
		if _, err := run(t, v.in); err == nil || !strings.Contains(err.Error(), v.want) {
			t.Errorf("%s: got error %v, want one that contains %q", name, err, v.want)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got an error of more than one line: %q", name, err)
		}
	}
}

func TestEndOfInputIsNoError(t *testing.T) {
	if _, err := run(t, start); err != nil {
		t.Error(err)
	}
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

func TestWriteErrorEndsRun(t *testing.T) {
	if err := Run(strings.NewReader(start), failingWriter{}); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("got error %v, want the error of the writer, %v", err, io.ErrClosedPipe)
	}
}

// A large endpoint list is read completely, and many instances use it.
func TestLargeEndpointListIsSharedByInstances(t *testing.T) {
	var in strings.Builder
	in.WriteString("ROUND\t1000000\n")
	const servers, instances = 20_000, 20
	fmt.Fprintf(&in, "SNAPSHOT_ROWS\t0\t%d\n", servers)
	for i := range servers {
		fmt.Fprintf(&in, "ROW\t-\t1\tbig\t%d\tin_service\t10.1.%d.%d:7%03d\tzone-a\n", i/8, i/250, i%250, i%1000)
	}
	if in.Len() < 900_000 {
		t.Fatalf("the list has %d bytes, want at least 900000", in.Len())
	}
	for i := range instances {
		fmt.Fprintf(&in, "ABOUT\t%d\nCREATE\t%d\t%s\nREGISTRY\tstale_copy\t1\t0\n", i, i+1, testSettings)
		fmt.Fprintf(&in, "WORK_ITEM\trq_%d\t0\t900000\tacme\t0\tget\tk\t-\n", i)
	}
	in.WriteString("YOUR_TURN\n")
	if n := strings.Count(replies(t, in.String())[0], "SEND\trq_"); n != instances {
		t.Errorf("%d of %d instances sent their request, want all", n, instances)
	}
}

// The settings of tail latency, of live capacities and of gossip reach the balancer, and its gossip is written.
func TestOptionalSettingsReachTheBalancer(t *testing.T) {
	settings := strings.Replace(testSettings, "{", `{"ScoringMix":{"Tail":-0.3},`, 1)
	if _, err := run(t, "ROUND\t1\nABOUT\t1\nCREATE\t1\t"+settings+"\n"); err == nil || !strings.Contains(err.Error(), "ScoringMix.Tail") {
		t.Errorf("negative ScoringMix.Tail: got error %v, want one that names the key", err)
	}
	settings = strings.Replace(testSettings, "{", `{"ScoringMix":{"Tail":0.3,"BorneMisses":0.01},"Me":0,"Balancers":3,"WeightSource":"live",`, 1)
	settings = strings.Replace(settings, `"Limits":{`, `"Limits":{"Peers":true,"CpuUsPerS":8000,`, 1)
	if !strings.Contains(settings, "Peers") {
		t.Fatal("the settings have no key Limits to add Peers to")
	}
	row := "SNAPSHOT_ROWS\t0\t1\nROW\t0\t1\tbig\t0\tin_service\t10.0.0.1:7001\ta\nREGISTRY\twhole\t1\t0\n"
	in := "ROUND\t1000000\n"
	for i := range 2 {
		own := strings.Replace(settings, `"Me":0`, fmt.Sprintf(`"Me":%d`, i), 1)
		in += fmt.Sprintf("ABOUT\t%d\nCREATE\t%d\t%s\n%s", i, i+1, own, row)
	}
	got := replies(t, in+"YOUR_TURN\n")
	messages := regexp.MustCompile(`NOTIFY\t\*\t([0-9a-f]+)`).FindAllStringSubmatch(got[0], -1)
	if len(messages) != 2 {
		t.Fatalf("got reply %q, want a message to all balancers from each of 2 instances", got[0])
	}
	in += "YOUR_TURN\nROUND\t1005000\nABOUT\t1\nPEER\t0\t" + messages[0][1] + "\nPEER\t0\tzz\nPEER\t0\t-\nPEER\t0\t\n" +
		"WORK_ITEM\trq_1\t0\t900000\t-\t0\tget\t-\t-\nYOUR_TURN\n"
	if got = replies(t, in); !regexp.MustCompile(`NOTIFY\t0\t[0-9a-f]+\n`).MatchString(got[1]) || !strings.Contains(got[1], "SEND") {
		t.Errorf("got reply %q, want an attempt and a message about it to balancer 0", got[1])
	}
}

func TestFormatOfCloseIdleAndGossipLines(t *testing.T) {
	var out strings.Builder
	w := replyWriter{w: bufio.NewWriter(&out), instance: noInstance}
	actions{&w, 3}.CloseIdleConnections("10.0.0.1:7001")
	actions{&w, 3}.SendGossip(7, []byte{1, 0xab})
	w.endReply()
	if want := "ON_BEHALF\t3\nCLOSE_IDLE\t10.0.0.1:7001\nNOTIFY\t7\t01ab\nACK\n"; out.String() != want {
		t.Errorf("got reply %q, want %q", out.String(), want)
	}
}
