package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// noEnv is an environment in which no variable is set.
func noEnv(string) string { return "" }

func readExample(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestParseExampleFile(t *testing.T) {
	c, err := Parse(readExample(t), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n1" || c.Listen != "127.0.0.1:8000" || c.Seed != 0x8c1f30d27a5be964 || c.Limits.Sockets != 256 {
		t.Errorf("got configuration %+v, want name, listen, seed and limits.sockets of the example file", c)
	}
	if len(c.Settings.Classes) != 2 || c.Settings.Rules.PollInterval != 10_000_000 || c.Settings.EndpointsPushed {
		t.Errorf("got settings %+v, want 2 classes and an endpoint list that is polled every 10 s", c.Settings)
	}
	if c.Transport.ConnIdle != 10*time.Second || c.Transport.DialTimeout != 250*time.Millisecond {
		t.Errorf("got %+v, want ConnIdle 10 s and DialTimeout 250 ms", c.Transport)
	}
}

// parseChanged parses the example file with the value of one key replaced; a nil value removes the key.
func parseChanged(t *testing.T, key string, value any) (*Config, error) {
	t.Helper()
	var all map[string]any
	if err := json.Unmarshal(readExample(t), &all); err != nil {
		t.Fatal(err)
	}
	at, path := all, strings.Split(key, ".")
	for _, k := range path[:len(path)-1] {
		at = at[k].(map[string]any)
	}
	if last := path[len(path)-1]; value == nil {
		delete(at, last)
	} else {
		at[last] = value
	}
	text, _ := json.Marshal(all)
	return Parse(text, noEnv)
}

func TestCrossZonePriceIsReadAndDefaultsToZero(t *testing.T) {
	for value, want := range map[any]float64{nil: 0, 0.03: 0.03} {
		prices := map[string]any{}
		if value != nil {
			prices["CrossZone"] = value
		}
		if c, err := parseChanged(t, "settings.Prices", prices); err != nil || c.Settings.CrossZonePrice != want {
			t.Errorf("Prices.CrossZone %v: got configuration %v and error %v, want a price of %v", value, c, err, want)
		}
	}
}

func TestErrorNamesTheInvalidKey(t *testing.T) {
	class := func(semantics, group string) []any {
		return []any{map[string]any{"Name": "c", "Semantics": semantics, "Group": group}}
	}
	for _, c := range []struct {
		key   string
		value any
		want  string // part of the error
	}{
		{"name", "", "name"},
		{"listen", "8000", "listen"},
		{"listen", "localhost:http", "listen"},
		{"discovery", nil, "discovery"},
		{"admin", "9901", "admin"},
		{"admin", "127.0.0.1:8000", "admin"},
		{"seed", "xyz", "seed"},
		{"limits.cores", -1, "limits.cores"},
		{"limits.memory_mb", 1, "limits.memory_mb"},
		{"limits.sockets", 3, "limits.sockets"},
		{"limits.sockets", "many", "limits.sockets"},
		{"known.hosts", []any{map[string]any{"dial": "127.0.0.1:1"}}, "known.hosts[0].host"},
		{"known.hosts", []any{map[string]any{"host": "s"}}, "known.hosts[0].dial"},
		{"settings", nil, "settings"},
		{"settings.Services", []any{}, "classes"},
		{"settings.Services", class("sometimes", ""), "sometimes"},
		{"settings.Services", class("idempotent", "planet"), "planet"},
		{"settings.Limits.ConnIdleUs", -1, "ConnIdleUs"},
		{"settings.Guarantees.ColdFrom", 7, "cold share"},
		{"settings.ScoringMix.Tail", -0.1, "ScoringMix.Tail"},
		{"settings.ScoringMix.BorneMisses", -0.1, "ScoringMix.BorneMisses"},
		{"settings.ScoringMix.BorneMisses", 1.5, "ScoringMix.BorneMisses"},
		{"settings.ScoringMix.Tail", json.RawMessage("1e999"), "Tail"},
		{"settings.ScoringMix.Tail", "heavy", "Tail"},
		{"settings.Limits.CpuUsPerS", -1, "CpuUsPerS"},
		{"settings.Limits.HeldReplies", -1, "HeldReplies"},
		{"settings.Limits.HeldReplies", "few", "HeldReplies"},
		{"settings.Guarantees", map[string]any{"ResendRatio": 0.1}, "ResendSpanUs"},
		{"settings.Guarantees", map[string]any{"ResendSpanUs": 1}, "ResendRatio"},
		{"settings.Guarantees", map[string]any{"ResendSpanUs": 0, "ResendRatio": 0.1}, "ResendSpanUs"},
		{"settings.Guarantees", map[string]any{"ExtraFloor": 3}, "ResendSpanUs"},
		{"settings.Guarantees", map[string]any{"ResendSpanUs": -1, "ResendRatio": 0.1}, "ResendSpanUs"},
		{"settings.Guarantees", map[string]any{"ResendSpanUs": 1, "ResendRatio": -0.1}, "ResendRatio"},
		{"settings.Guarantees", map[string]any{"ResendSpanUs": 1, "ResendRatio": "NaN"}, "ResendRatio"},
		{"settings.Guarantees", map[string]any{"ResendSpanUs": 1, "ResendRatio": 1, "ExtraFloor": -1}, "ExtraFloor"},
		{"settings.Limits.Peers", true, "settings.Limits.Peers"},
		{"settings.WeightSource", "guessed", "WeightSource"},
		{"settings.Report", map[string]any{"Via": "pigeon"}, "Report.Via"},
		{"watch", map[string]any{}, "watch.settings"},
		{"watch", map[string]any{"every_s": 0}, "watch.every_s"},
		{"watch", map[string]any{"settings": map[string]any{}}, "watch"},
		{"watch", watchWith(t, "Limits", map[string]any{"Peers": true}), "watch.settings.Limits.Peers"},
		{"watch", watchWith(t, "WeightSource", "guessed"), "watch.settings: WeightSource"},
		{"watch", watchWith(t, "ScoringMix", map[string]any{"Tail": -1}), "watch.settings: ScoringMix.Tail"},
		{"watch", watchWith(t, "Services", []any{map[string]any{"Name": "c", "Semantics": "idempotent"}}), "watch.settings.Services"},
		{"watch", watchWith(t, "Realms", []any{}), "watch.settings.Realms"},
	} {
		if _, err := parseChanged(t, c.key, c.value); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s = %v: got error %v, want one that contains %q", c.key, c.value, err, c.want)
		}
	}
}

// watchWith returns a value of the key watch whose shadow settings are those of the example with one key replaced.
func watchWith(t *testing.T, key string, value any) map[string]any {
	t.Helper()
	var conf map[string]any
	if err := json.Unmarshal(readExample(t), &conf); err != nil {
		t.Fatal(err)
	}
	set := conf["settings"].(map[string]any)
	if key != "" {
		set[key] = value
	}
	return map[string]any{"settings": set}
}

func TestOptionalSettingsAreOffByDefaultAndAreRead(t *testing.T) {
	c, err := Parse(readExample(t), noEnv)
	if err != nil || c.Shadow != nil || c.Settings.CapacityFollowsLoad || c.Settings.Limits.DecisionCPU != 0 || c.Settings.Objective.TailLatency != 0 ||
		c.Settings.Objective.ToleratedLateShare != 0 {
		t.Errorf("without the optional settings: got error %v and configuration %+v, want all of them off", err, c)
	}
	c, err = parseChanged(t, "watch", watchWith(t, "WeightSource", "live"))
	if err != nil || c.Shadow == nil || !c.Shadow.Settings.CapacityFollowsLoad || !c.Shadow.Settings.CapacityListed || c.Shadow.LogInterval != 10*time.Second || c.Settings.CapacityFollowsLoad {
		t.Fatalf("WeightSource live in the shadow settings: got error %v and configuration %+v, want it in the shadow settings only", err, c)
	}
	c, err = parseChanged(t, "settings.ScoringMix", map[string]any{"Tail": 0.3, "BorneMisses": 0.01})
	if err != nil || c.Settings.Objective.TailLatency != 0.3 || c.Settings.Objective.ToleratedLateShare != 0.01 {
		t.Errorf("ScoringMix: got error %v and configuration %+v, want Tail 0.3 and BorneMisses 0.01", err, c)
	}
	if c, err = parseChanged(t, "settings.Limits.CpuUsPerS", 8000); err != nil || c.Settings.Limits.DecisionCPU != 8000 {
		t.Errorf("Limits.CpuUsPerS: got error %v and configuration %+v, want 8000", err, c)
	}
}

func TestAttemptBudgetAndResponseBufferLimitAreRead(t *testing.T) {
	c, err := parseChanged(t, "settings.Guarantees", map[string]any{"ExtraFloor": 3, "ResendRatio": 0.05, "ResendSpanUs": 10_000_000})
	if err != nil || c.Settings.Rules.AttemptBudgetMin != 3 || c.Settings.Rules.AttemptBudgetRatio != 0.05 || c.Settings.Rules.AttemptBudgetWindow != 10_000_000 {
		t.Errorf("got error %v and configuration %+v, want an attempt budget of minimum 3, ratio 0.05 and window 10 s", err, c)
	}
	if c, err = parseChanged(t, "settings.Limits.HeldReplies", 7); err != nil || c.Settings.Limits.MaxBufferedResponses != 7 {
		t.Errorf("Limits.HeldReplies: got error %v and configuration %+v, want 7", err, c)
	}
}

func TestAbsentOptionalKeysHaveDefaults(t *testing.T) {
	for _, key := range []string{"limits", "seed", "known", "settings.Limits.ConnIdleUs", "settings.Limits.DialTimeoutUs"} {
		c, err := parseChanged(t, key, nil)
		if err != nil {
			t.Fatalf("without %s: %v", key, err)
		}
		if c.Limits.Sockets == 0 || c.Limits.MemoryMB == 0 || c.Limits.Cores == 0 || c.Transport.ConnIdle == 0 ||
			c.Transport.DialTimeout == 0 {
			t.Errorf("without %s: got %+v and %+v, want no zero value", key, c.Limits, c.Transport)
		}
	}
}

func TestEnvironmentOverridesTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.json")
	if err := os.WriteFile(path, readExample(t), 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{"PROXY_CONFIG": path, "PROXY_NAME": "n9", "PROXY_LISTEN": "127.0.0.1:1",
		"PROXY_DISCOVERY": "127.0.0.1:2"}
	c, err := Load(func(k string) string { return env[k] })
	if err != nil || c.Name != "n9" || c.Listen != "127.0.0.1:1" || c.Discovery != "127.0.0.1:2" {
		t.Fatalf("got configuration %+v and error %v, want name, listen and discovery of the environment", c, err)
	}
	for _, file := range []string{"", path + ".gone"} {
		env["PROXY_CONFIG"] = file
		if _, err := Load(func(k string) string { return env[k] }); err == nil || !strings.Contains(err.Error(), "PROXY_CONFIG") {
			t.Errorf("PROXY_CONFIG=%q: got error %v, want one that names PROXY_CONFIG", file, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"Services":[{}]}}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(_ *testing.T, in []byte) { Parse(in, noEnv) })
}
