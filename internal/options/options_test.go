package options

import (
	"os"
	"strings"
	"testing"
	"time"
)

const fleetTable = `[fleet]
address = "127.0.0.1:7101"
state_dir = "x"
members = [{name = "n1", address = "127.0.0.1:7101"}, {name = "n2", address = "127.0.0.1:7102"}, {name = "n3", address = "127.0.0.1:7103"}]
`

// Parse reports all faults at once, each with its line and key if the file contains them.
func TestErrorsNameLineAndKey(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"[fleet]\naddres = 'x'\n", "line 2: fleet.addres: unknown key"},
		{"[fleet]\nlease_ms = 600\nlease_ms = 700\n", "line 3: "},
		{"[fleet]\n\nlease_ms = 'soon'\n", "line 3: fleet.lease_ms: "},
		{"[fleet]\nlease_ms = 99\n", "line 2: fleet.lease_ms: 99 is not within 100 to 10000"},
		{"[fleet]\naddress = \"nowhere\"\n", `line 2: fleet.address: "nowhere" is not an address:port`},
		{"[fleet]\naddress = \"a:1\"\n", `fleet.members: this sidecar's name, "n1", is not listed`},
		{"[takeover]\nenabled = true\n", "line 2: takeover.enabled: requires fleet.address"},
		{fleetTable + "[takeover]\nholders = 2\n", "line 6: takeover.holders: 2 is even"},
		{fleetTable + "[takeover]\nenabled = true\nholders = 5\n", "line 7: takeover.holders: 5 holders, but the fleet has 3 members"},
		{fleetTable + "[takeover.custody]\nmake = \"often\"\n", `line 6: takeover.custody.make: unknown policy "often", expected none, best_effort or strict`},
		{strings.Replace(fleetTable, "n2", "n1", 1), `line 4: fleet.members: name "n1" is listed twice`},
		{strings.Replace(fleetTable, "7102", "7101", 1), `line 4: fleet.members: "n1" and "n2" have the same address`},
		{strings.Replace(fleetTable, "127.0.0.1:7102", "7102", 1), `line 4: fleet.members: "n2": address "7102" is not an address:port`},
		{strings.Replace(fleetTable, "state_dir", "#", 1), "fleet.state_dir: required in a fleet"},
		{"fleet = 3", "line 1: fleet: "},
		{"[fleet", "line 1: "},
	} {
		_, err := Parse([]byte(c.text), "n1")
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("parsing %q:\n got error %v\nwant one that contains %s", c.text, err, c.want)
		}
	}
	_, err := Parse([]byte("[fleet]\nlease_ms = 1\n[takeover]\nrecords = 0\n"), "n1")
	if err == nil || !strings.Contains(err.Error(), "fleet.lease_ms") || !strings.Contains(err.Error(), "takeover.records") {
		t.Errorf("error %v, want faults of fleet.lease_ms and takeover.records", err)
	}
}

// The example file states the default values. If the environment variable is not set, there are no options.
func TestExampleFileHasTheDefaults(t *testing.T) {
	text, err := os.ReadFile("../../deploy/options.toml")
	if err != nil {
		t.Fatal(err)
	}
	o, err := Parse(text, "n1")
	if err != nil {
		t.Fatal(err)
	}
	defaults, err := Parse([]byte(fleetTable), "n1")
	if err != nil {
		t.Fatal(err)
	}
	if o.Takeover.Enabled || len(o.Fleet.Members) != 3 || o.Fleet.LeaseDuration != 600*time.Millisecond ||
		o.Takeover.Replicas != defaults.Takeover.Replicas || o.Takeover.MaxRecords != defaults.Takeover.MaxRecords ||
		o.Takeover.MaxBytes != defaults.Takeover.MaxBytes || o.Takeover.AnswerRetention != defaults.Takeover.AnswerRetention || o.Fleet.LeaseDuration != defaults.Fleet.LeaseDuration {
		t.Errorf("options of the example file %+v, want takeover disabled, 3 members and the defaults %+v", o, defaults)
	}
	unset := func(string) string { return "" }
	if o, err := Load(unset, "n1"); o != nil || err != nil {
		t.Errorf("Load without the environment variable: options %v, error %v, want neither", o, err)
	}
	if _, err := Load(func(string) string { return "/nowhere/options" }, "n1"); err == nil || !strings.Contains(err.Error(), EnvVar) {
		t.Errorf("Load of a missing file: error %v, want one that names %s", err, EnvVar)
	}
}
