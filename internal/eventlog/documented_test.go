package eventlog

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Each event for which a package has a constant must be in the index of docs/oncall.md.
func TestEventsAreDocumented(t *testing.T) {
	const root = "../.."
	page, err := os.ReadFile(filepath.Join(root, "docs", "oncall.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, index, found := strings.Cut(string(page), "## All events")
	if !found {
		t.Fatal(`docs/oncall.md has no section "All events"`)
	}
	constant := regexp.MustCompile(`\bevent[A-Z]\w*\s*=\s*"(\w+)"`)
	names := 0
	check := func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range constant.FindAllSubmatch(text, -1) {
			names++
			if !strings.Contains(index, "| `"+string(m[1])+"` |") {
				t.Errorf("%s: event %s is not in the index of docs/oncall.md", path, m[1])
			}
		}
		return nil
	}
	for _, dir := range []string{"decide", "internal"} {
		if err := filepath.WalkDir(filepath.Join(root, dir), check); err != nil {
			t.Fatal(err)
		}
	}
	if names < 50 {
		t.Errorf("found %d constants of events, want at least 50", names)
	}
}
