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
	if n := len(os.Args); n > 2 && os.Args[n-2] == "scale" && os.Args[n-1] == "worker" { // as the program starts itself
		main()
	}
	os.Exit(m.Run())
}

// rigged runs the program and returns its exit code.
func rigged(t *testing.T, args ...string) int {
	t.Helper()
	var c line
	k, err := kong.New(&c, kong.Name("damsonscale-lab"))
	if err != nil {
		t.Fatal(err)
	}
	at, err := k.Parse(append([]string{"--binary", os.Args[0]}, args...))
	if err != nil {
		t.Fatal(err)
	}
	return run(&c, at)
}

// An interrupt ends a run, and neither it nor a refused or a whole run leaves a directory behind.
func TestScaleLeavesNothing(t *testing.T) {
	tmp := t.TempDir()
	t.Setenv("TMPDIR", tmp)
	figures := filepath.Join(t.TempDir(), "figures.json")
	empty := func(after string) {
		t.Helper()
		if left, err := os.ReadDir(tmp); err != nil || len(left) > 0 {
			t.Error(after, "left", left, err)
		}
	}
	if code := rigged(t, "scale", "--hollow", "3", "--for", "1s", "--lease", "2s", "--json", figures); code != 0 {
		t.Error("exit", code)
	}
	empty("a whole run")
	if code := rigged(t, "scale", "--hollow", "3", "--for", "1h"); code != 2 {
		t.Error("out of range: exit", code)
	}
	empty("a refused run")
	done := make(chan int, 1)
	go func() { done <- rigged(t, "scale", "--hollow", "5", "--for", "1m") }()
	standin.Eventually(t, "a run under way", func() bool {
		logs, err := filepath.Glob(filepath.Join(tmp, "rig-*", "voter-1.log"))
		return err == nil && len(logs) == 1
	})
	if err := syscall.Kill(os.Getpid(), syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	if code := <-done; code != 2 {
		t.Error("interrupted: exit", code)
	}
	empty("an interrupted run")
	all, err := fleetscale.ReadReports([]string{figures, figures})
	if err != nil || len(all) != 2 || all[0].Leases != 3 || all[0].Members != 3 {
		t.Errorf("%+v %v", all, err)
	}
}
