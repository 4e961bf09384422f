package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// reloaded puts text where the example was loaded from, and reads it again.
func reloaded(t *testing.T, text []byte) (next *Config, restart []string, err error) {
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
	write(example(t))
	c, err := Load(env)
	if err != nil {
		t.Fatal(err)
	}
	write(text)
	return c.Reload(env)
}

// edited is the example with a change.
func edited(t *testing.T, change func(all map[string]any)) []byte {
	t.Helper()
	var all map[string]any
	if err := json.Unmarshal(example(t), &all); err != nil {
		t.Fatal(err)
	}
	change(all)
	text, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func class(all map[string]any, i int) map[string]any {
	return all["settings"].(map[string]any)["Services"].([]any)[i].(map[string]any)
}

func limits(all map[string]any) map[string]any {
	return all["settings"].(map[string]any)["Limits"].(map[string]any)
}

// Each of these files is refused, and the error names the key.
func TestBrokenReload(t *testing.T) {
	good := example(t)
	for name, c := range map[string]struct {
		text []byte
		says string
	}{
		"empty":              {nil, "JSON"},
		"cut off":            {good[:len(good)/2], "JSON"},
		"cut at its end":     {[]byte(strings.TrimSpace(string(good))[:len(strings.TrimSpace(string(good)))-1]), "JSON"},
		"no settings":        {edited(t, func(a map[string]any) { delete(a, "settings") }), "settings"},
		"no discovery":       {edited(t, func(a map[string]any) { delete(a, "discovery") }), "discovery"},
		"no limits":          {edited(t, func(a map[string]any) { delete(a, "limits") }), "limits"},
		"a limit less":       {edited(t, func(a map[string]any) { delete(a["limits"].(map[string]any), "sockets") }), "limits.sockets"},
		"no classes":         {edited(t, func(a map[string]any) { delete(a["settings"].(map[string]any), "Services") }), "classes"},
		"no rules":           {edited(t, func(a map[string]any) { delete(a["settings"].(map[string]any), "Guarantees") }), "settings.Guarantees"},
		"no deadline":        {edited(t, func(a map[string]any) { delete(class(a, 1), "DeadlineUs") }), "settings.Services[1].DeadlineUs"},
		"no effect":          {edited(t, func(a map[string]any) { delete(class(a, 0), "Semantics") }), "unknown semantics"},
		"another effect":     {edited(t, func(a map[string]any) { class(a, 0)["Semantics"] = "sometimes" }), "sometimes"},
		"deadline 0":         {edited(t, func(a map[string]any) { class(a, 0)["DeadlineUs"] = 0 }), "DeadlineUs"},
		"deadline below 0":   {edited(t, func(a map[string]any) { class(a, 0)["DeadlineUs"] = -5 }), "deadline"},
		"endless deadline":   {edited(t, func(a map[string]any) { class(a, 0)["DeadlineUs"] = json.RawMessage("1e30") }), "DeadlineUs"},
		"attempts 0":         {edited(t, func(a map[string]any) { limits(a)["MaxAttempts"] = 0 }), "MaxAttempts"},
		"attempts below 0":   {edited(t, func(a map[string]any) { limits(a)["MaxAttempts"] = -1 }), "negative limit"},
		"attempts in words":  {edited(t, func(a map[string]any) { limits(a)["MaxAttempts"] = "four" }), "MaxAttempts"},
		"no attempts":        {edited(t, func(a map[string]any) { delete(limits(a), "MaxAttempts") }), "settings.Limits.MaxAttempts"},
		"infinite worth":     {edited(t, func(a map[string]any) { class(a, 0)["Worth"] = json.RawMessage("1e999") }), "Worth"},
		"a class twice":      {edited(t, func(a map[string]any) { class(a, 1)["Name"] = class(a, 0)["Name"] }), "twice"},
		"classes in a word":  {edited(t, func(a map[string]any) { a["settings"].(map[string]any)["Services"] = "all" }), "Services"},
		"settings in a list": {edited(t, func(a map[string]any) { a["settings"] = []any{} }), "settings"},
		"another's list":     {[]byte("[]"), "config"},
	} {
		if next, _, err := reloaded(t, c.text); err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v, want an error that names %s (%v)", name, err, c.says, next != nil)
		}
	}
}

// Optional keys may be left out, and keys that need a restart are named.
func TestReload(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(all map[string]any)
		restart string
		retuned bool
	}{
		"the same":        {func(map[string]any) {}, "", false},
		"no known":        {func(a map[string]any) { delete(a, "known") }, "", false},
		"one attempt":     {func(a map[string]any) { limits(a)["MaxAttempts"] = 1 }, "", true},
		"a class dropped": {func(a map[string]any) { s := a["settings"].(map[string]any); s["Services"] = s["Services"].([]any)[:1] }, "", true},
		"addresses":       {func(a map[string]any) { a["listen"], a["admin"] = "127.0.0.1:9", "127.0.0.1:8" }, "listen,admin", false},
		"the machine":     {func(a map[string]any) { a["limits"].(map[string]any)["sockets"] = 999 }, "limits", false},
	} {
		next, restart, err := reloaded(t, edited(t, c.change))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		old, _ := Parse(example(t), none)
		if got := strings.Join(restart, ","); got != c.restart || next.SettingsChanged(old) != c.retuned {
			t.Errorf("%s: needs a restart: %q, retuned %v", name, got, next.SettingsChanged(old))
		}
	}
}

// A fleet's settings are adopted completely or not at all; per-sidecar keys stay.
func TestWithFleetSettings(t *testing.T) {
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
	none := func(string) string { return "" }
	c, err := Parse([]byte(fleetFile), none)
	if err != nil {
		t.Fatal(err)
	}
	next, err := c.WithFleetSettings(with(func(s map[string]any) {
		s["Me"], s["Zone"], s["Odd"], s["TickUs"] = 7, "z", 2, 6000
	}), none)
	if err != nil || next.Settings.BalancerIndex != 1 || next.Settings.Zone != "a" || next.Settings.Limits.MinEventInterval != 6000 || next.Name != "p" || string(next.Text()) != fleetFile {
		t.Fatalf("%v %+v", err, next)
	}
	if whole, err := c.WithFleetSettings([]byte(strings.Replace(fleetFile, `"p"`, `"another"`, 1)), none); err != nil || whole.Name != "p" || whole.SettingsChanged(c) {
		t.Error(err)
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
		if _, err := c.WithFleetSettings(text, none); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

const fleetFile = `{"name": "p", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {"Balancers": 2, "Me": 1, "Zone": "a", "Odd": 1,
 "RegistryMode": "on_request", "TickUs": 5000, "Services": [{"Name": "look", "Semantics": "idempotent", "AimUs": 1000, "DeadlineUs": 2000, "LateShare": 0.3, "Worth": 1}],
 "Limits": {"MaxAttempts": 3, "ConnIdleUs": 1000000, "DialTimeoutUs": 250000}, "ScoringMix": {"Whole": 1},
 "Guarantees": {"AnswerSlackUs": 20000, "AskEveryUs": 10000000, "StopSendingWithinUs": 2000000, "ColdFrom": 0.3, "ColdUs": 8000000, "OverloadFactor": 3, "FallUs": 3000000}}}`
