package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/alecthomas/kong"

	"damsonscale/internal/lab/fleetscale"
	"damsonscale/internal/lab/standin"
)

func TestMain(m *testing.M) {
	if n := len(os.Args); n > 2 && os.Args[n-2] == "scale" && os.Args[n-1] == "worker" { // a worker started by the command under test
		main()
	}
	os.Exit(m.Run())
}

// runCommand runs the command line and returns its exit code.
func runCommand(t *testing.T, args ...string) int {
	t.Helper()
	var c commandLine
	k, err := kong.New(&c, kong.Name("damsonscale-lab"))
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := k.Parse(append([]string{"--binary", os.Args[0]}, args...))
	if err != nil {
		t.Fatal(err)
	}
	return run(&c, parsed)
}

// A completed, a rejected and an interrupted run exit with 0, 2 and 2, and remove their directories.
func TestScaleRemovesItsDirectory(t *testing.T) {
	tmp := t.TempDir()
	t.Setenv("TMPDIR", tmp)
	figures := filepath.Join(t.TempDir(), "figures.json")
	expectNoFiles := func(run string) {
		t.Helper()
		if left, err := os.ReadDir(tmp); err != nil || len(left) > 0 {
			t.Errorf("%s: got files %v in TMPDIR, error %v, want none", run, left, err)
		}
	}
	if code := runCommand(t, "scale", "--hollow", "3", "--for", "1s", "--lease", "2s", "--json", figures); code != 0 {
		t.Errorf("completed run: got exit code %d, want 0", code)
	}
	expectNoFiles("completed run")
	if code := runCommand(t, "scale", "--hollow", "3", "--for", "1h"); code != 2 {
		t.Errorf("run with --for out of range: got exit code %d, want 2", code)
	}
	expectNoFiles("rejected run")
	done := make(chan int, 1)
	go func() { done <- runCommand(t, "scale", "--hollow", "5", "--for", "1m") }()
	standin.Eventually(t, "the run to start its first voter", func() bool {
		logs, err := filepath.Glob(filepath.Join(tmp, "rig-*", "voter-1.log"))
		return err == nil && len(logs) == 1
	})
	if err := syscall.Kill(os.Getpid(), syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	if code := <-done; code != 2 {
		t.Errorf("interrupted run: got exit code %d, want 2", code)
	}
	expectNoFiles("interrupted run")
	all, err := fleetscale.ReadReports([]string{figures, figures})
	if err != nil || len(all) != 2 || all[0].Leases != 3 || all[0].Members != 3 {
		t.Errorf("reports read twice from one file: got %+v, error %v, want 2 reports of 3 members, each with a lease", all, err)
	}
}
