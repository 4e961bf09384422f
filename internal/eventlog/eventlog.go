// Package eventlog writes the program's structured log: one line an event, to standard error.
//
// A line reads
//
//	time=2026-01-02T15:04:05.123456Z level=INFO event=endpoints_applied poll=3 entries=12
//
// Event names and keys are snake_case and stable: operators search for them, and docs/oncall.md lists all of them. Each
// package names its events by constants. Keys are followed by their values as in log/slog; durations go as
// integers in a key that ends with their unit, _ms or _us. All functions may be called from any goroutine.
package eventlog

import (
	"context"
	"log"
	"log/slog"
)

// EventKey is the key of an event's name, the first after the time and the level.
const EventKey = "event"

// errorKey is the key of the error that Warn and Error add.
const errorKey = "err"

// logger writes wherever the standard logger does, so that log.SetOutput redirects both.
var logger = slog.New(slog.NewTextHandler(standardWriter{}, &slog.HandlerOptions{ReplaceAttr: rename}))

// Info logs an event of normal operation. args are keys and values in turn.
func Info(event string, args ...any) {
	logger.Log(context.Background(), slog.LevelInfo, event, args...)
}

// Warn logs an event that the program copes with by itself, with its cause; a nil cause is left out.
func Warn(event string, cause error, args ...any) {
	logger.Log(context.Background(), slog.LevelWarn, event, withError(cause, args)...)
}

// Error logs an event that an operator has to look into, with its cause; a nil cause is left out.
func Error(event string, cause error, args ...any) {
	logger.Log(context.Background(), slog.LevelError, event, withError(cause, args)...)
}

// withError appends a cause to the keys and values of a line.
func withError(cause error, args []any) []any {
	if cause == nil {
		return args
	}
	return append(args, errorKey, cause.Error())
}

// rename calls slog's message an event, and gives times in UTC with microseconds.
func rename(_ []string, a slog.Attr) slog.Attr {
	switch a.Key {
	case slog.MessageKey:
		a.Key = EventKey
	case slog.TimeKey:
		a.Value = slog.StringValue(a.Value.Time().UTC().Format("2006-01-02T15:04:05.000000Z"))
	}
	return a
}

// standardWriter writes to the present output of the standard logger.
type standardWriter struct{}

// Write hands one whole line on; slog calls it once a line, under its own lock.
func (standardWriter) Write(line []byte) (int, error) { return log.Writer().Write(line) }
