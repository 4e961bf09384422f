package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// reloadFile loads the example from a file, replaces the file's content by text and reloads it.
func reloadFile(t *testing.T, text []byte) (next *Config, needsRestart []string, err error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	env := func(k string) string {
		if k == "PROXY_CONFIG" {
			return path
		}
		return ""
	}
	write := func(text []byte) {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(readExample(t))
	c, err := Load(env)
	if err != nil {
		t.Fatal(err)
	}
	write(text)
	return c.Reload(env)
}

// editExample returns the example file after a change.
func editExample(t *testing.T, change func(all map[string]any)) []byte {
	t.Helper()
	var all map[string]any
	if err := json.Unmarshal(readExample(t), &all); err != nil {
		t.Fatal(err)
	}
	change(all)
	text, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func classOf(all map[string]any, i int) map[string]any {
	return all["settings"].(map[string]any)["Services"].([]any)[i].(map[string]any)
}

func limitsOf(all map[string]any) map[string]any {
	return all["settings"].(map[string]any)["Limits"].(map[string]any)
}

func TestReloadRejectsInvalidFilesAndNamesTheKey(t *testing.T) {
	valid := readExample(t)
	for name, c := range map[string]struct {
		text []byte
		want string // part of the error
	}{
		"empty":                    {nil, "JSON"},
		"first half only":          {valid[:len(valid)/2], "JSON"},
		"last byte missing":        {[]byte(strings.TrimSpace(string(valid))[:len(strings.TrimSpace(string(valid)))-1]), "JSON"},
		"no settings":              {editExample(t, func(a map[string]any) { delete(a, "settings") }), "settings"},
		"no discovery":             {editExample(t, func(a map[string]any) { delete(a, "discovery") }), "discovery"},
		"no limits":                {editExample(t, func(a map[string]any) { delete(a, "limits") }), "limits"},
		"one limit missing":        {editExample(t, func(a map[string]any) { delete(a["limits"].(map[string]any), "sockets") }), "limits.sockets"},
		"no classes":               {editExample(t, func(a map[string]any) { delete(a["settings"].(map[string]any), "Services") }), "classes"},
		"no rules":                 {editExample(t, func(a map[string]any) { delete(a["settings"].(map[string]any), "Guarantees") }), "settings.Guarantees"},
		"no deadline":              {editExample(t, func(a map[string]any) { delete(classOf(a, 1), "DeadlineUs") }), "settings.Services[1].DeadlineUs"},
		"no semantics":             {editExample(t, func(a map[string]any) { delete(classOf(a, 0), "Semantics") }), "unknown semantics"},
		"unknown semantics":        {editExample(t, func(a map[string]any) { classOf(a, 0)["Semantics"] = "sometimes" }), "sometimes"},
		"deadline 0":               {editExample(t, func(a map[string]any) { classOf(a, 0)["DeadlineUs"] = 0 }), "DeadlineUs"},
		"deadline below 0":         {editExample(t, func(a map[string]any) { classOf(a, 0)["DeadlineUs"] = -5 }), "deadline"},
		"deadline overflow":        {editExample(t, func(a map[string]any) { classOf(a, 0)["DeadlineUs"] = json.RawMessage("1e30") }), "DeadlineUs"},
		"attempts 0":               {editExample(t, func(a map[string]any) { limitsOf(a)["MaxAttempts"] = 0 }), "MaxAttempts"},
		"attempts below 0":         {editExample(t, func(a map[string]any) { limitsOf(a)["MaxAttempts"] = -1 }), "negative limit"},
		"attempts as a string":     {editExample(t, func(a map[string]any) { limitsOf(a)["MaxAttempts"] = "four" }), "MaxAttempts"},
		"no attempts":              {editExample(t, func(a map[string]any) { delete(limitsOf(a), "MaxAttempts") }), "settings.Limits.MaxAttempts"},
		"infinite priority weight": {editExample(t, func(a map[string]any) { classOf(a, 0)["Worth"] = json.RawMessage("1e999") }), "Worth"},
		"duplicate class":          {editExample(t, func(a map[string]any) { classOf(a, 1)["Name"] = classOf(a, 0)["Name"] }), "twice"},
		"classes as a string":      {editExample(t, func(a map[string]any) { a["settings"].(map[string]any)["Services"] = "all" }), "Services"},
		"settings as a list":       {editExample(t, func(a map[string]any) { a["settings"] = []any{} }), "settings"},
		"file is a list":           {[]byte("[]"), "config"},
	} {
		if next, _, err := reloadFile(t, c.text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v (configuration returned: %v), want one that contains %q", name, err, next != nil, c.want)
		}
	}
}

func TestReloadReturnsTheChangedKeysThatNeedARestart(t *testing.T) {
	for name, c := range map[string]struct {
		change          func(all map[string]any)
		restart         string // keys that need a restart
		settingsChanged bool
	}{
		"unchanged":                    {func(map[string]any) {}, "", false},
		"last known endpoints removed": {func(a map[string]any) { delete(a, "known") }, "", false},
		"max attempts changed":         {func(a map[string]any) { limitsOf(a)["MaxAttempts"] = 1 }, "", true},
		"class removed":                {func(a map[string]any) { s := a["settings"].(map[string]any); s["Services"] = s["Services"].([]any)[:1] }, "", true},
		"listen and admin changed":     {func(a map[string]any) { a["listen"], a["admin"] = "127.0.0.1:9", "127.0.0.1:8" }, "listen,admin", false},
		"limits changed":               {func(a map[string]any) { a["limits"].(map[string]any)["sockets"] = 999 }, "limits", false},
	} {
		next, restart, err := reloadFile(t, editExample(t, c.change))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		old, _ := Parse(readExample(t), noEnv)
		if got := strings.Join(restart, ","); got != c.restart || next.SettingsChanged(old) != c.settingsChanged {
			t.Errorf("%s: got keys that need a restart %q and SettingsChanged %v, want %q and %v", name, got, next.SettingsChanged(old), c.restart, c.settingsChanged)
		}
	}
}

// A fleet's settings are applied completely or not at all. Keys that belong to the sidecar keep their value.
func TestFleetSettingsAreAppliedCompletelyOrNotAtAll(t *testing.T) {
	var file map[string]any
	if err := json.Unmarshal([]byte(fleetFile), &file); err != nil {
		t.Fatal(err)
	}
	with := func(change func(settings map[string]any)) []byte {
		var copied map[string]any
		json.Unmarshal([]byte(fleetFile), &copied)
		set := copied["settings"].(map[string]any)
		change(set)
		text, _ := json.Marshal(map[string]any{"settings": set})
		return text
	}
	c, err := Parse([]byte(fleetFile), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	next, err := c.WithFleetSettings(with(func(s map[string]any) {
		s["Me"], s["Zone"], s["Odd"], s["TickUs"] = 7, "z", 2, 6000
	}), noEnv)
	if err != nil || next.Settings.BalancerIndex != 1 || next.Settings.Zone != "a" || next.Settings.Limits.MinEventInterval != 6000 || next.Name != "p" || string(next.Text()) != fleetFile {
		t.Fatalf("got error %v and configuration %+v, want TickUs 6000 with the sidecar's own name, index, zone and text", err, next)
	}
	if fromFile, err := c.WithFleetSettings([]byte(strings.Replace(fleetFile, `"p"`, `"another"`, 1)), noEnv); err != nil || fromFile.Name != "p" || fromFile.SettingsChanged(c) {
		t.Errorf("complete file of another sidecar: got error %v, want none, the sidecar's own name and unchanged settings", err)
	}
	for want, text := range map[string][]byte{
		"settings.Sideways: unknown key":        with(func(s map[string]any) { s["Sideways"] = 1 }),
		"settings.Limits.Sideways: unknown key": with(func(s map[string]any) { s["Limits"].(map[string]any)["Sideways"] = 1 }),
		"settings.Services[0].Odd: unknown key": with(func(s map[string]any) { s["Services"].([]any)[0].(map[string]any)["Odd"] = 1 }),
		"settings.TickUs is missing":            with(func(s map[string]any) { delete(s, "TickUs") }),
		"unknown semantics":                     with(func(s map[string]any) { s["Services"].([]any)[0].(map[string]any)["Semantics"] = "so" }),
		"colour: unknown key":                   []byte(`{"colour": 1, "settings": {}}`),
		"settings: expected an object":          []byte(`{}`),
		"config: ":                              []byte(`{`),
	} {
		if _, err := c.WithFleetSettings(text, noEnv); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one that contains %q", err, want)
		}
	}
}

const fleetFile = `{"name": "p", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {"Balancers": 2, "Me": 1, "Zone": "a", "Odd": 1,
 "RegistryMode": "on_request", "TickUs": 5000, "Services": [{"Name": "look", "Semantics": "idempotent", "AimUs": 1000, "DeadlineUs": 2000, "LateShare": 0.3, "Worth": 1}],
 "Limits": {"MaxAttempts": 3, "ConnIdleUs": 1000000, "DialTimeoutUs": 250000}, "ScoringMix": {"Whole": 1},
 "Guarantees": {"AnswerSlackUs": 20000, "AskEveryUs": 10000000, "StopSendingWithinUs": 2000000, "ColdFrom": 0.3, "ColdUs": 8000000, "OverloadFactor": 3, "FallUs": 3000000}}}`
