package sidecar

import (
	"slices"
	"testing"
)

// Fields in a log line of the balancer become keys and values; any other text is one value.
func TestLogFields(t *testing.T) {
	for text, want := range map[string][]any{
		"":                            nil,
		"server=s1 class=look held=0": {"server", "s1", "class", "look", "held", "0"},
		"limit=2.5 suspended=1/3":     {"limit", "2.5", "suspended", "1/3"},
		"failed, polling again":       {"detail", "failed, polling again"},
		"server=s1 with plain words":  {"detail", "server=s1 with plain words"},
	} {
		if got := logFields(text); !slices.Equal(got, want) {
			t.Errorf("logFields(%q) = %q, want %q", text, got, want)
		}
	}
}
