package eventlog

import (
	"bytes"
	"errors"
	"log"
	"os"
	"regexp"
	"testing"
)

func TestFormatOfLogLines(t *testing.T) {
	cause := errors.New(`no "route"`)
	for _, c := range []struct {
		name  string
		write func()
		want  string
	}{
		{"info", func() { Info("start", "name", "a", "entries", 3) }, `level=INFO event=start name=a entries=3`},
		{"warn", func() { Warn("reload_failed", cause, "version", 2) }, `level=WARN event=reload_failed version=2 err="no \\"route\\""`},
		{"warn without a cause", func() { Warn("watch_lost", nil) }, `level=WARN event=watch_lost`},
		{"error", func() { Error("exit", cause) }, `level=ERROR event=exit err="no \\"route\\""`},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			log.SetOutput(&out)
			defer log.SetOutput(os.Stderr)
			c.write()
			if want := regexp.MustCompile(`^time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z ` + c.want + "\n$"); !want.Match(out.Bytes()) {
				t.Fatalf("got log line %q, want one that matches %s", out.String(), want)
			}
		})
	}
}
