// Package eventlog writes the program's structured log to standard error, with one line per event. An example:
//
//	time=2026-01-02T15:04:05.123456Z level=INFO event=endpoints_applied poll=3 entries=12
//
// The names of events and keys are in snake_case. They must not change, because operators search for them. docs/oncall.md
// lists all events. Each package has constants for the names of its events. Arguments are alternating keys and values, as in
// log/slog. Durations are integers, and their key ends with the unit, _ms or _us. All functions may be called from any
// goroutine.
package eventlog

import (
	"context"
	"log"
	"log/slog"
)

// EventKey is the key of an event's name, which follows the time and the level.
const EventKey = "event"

// errorKey is the key of the cause that is given to Warn and Error.
const errorKey = "err"

// logger writes to the output of the standard logger, so that log.SetOutput redirects both.
var logger = slog.New(slog.NewTextHandler(standardWriter{}, &slog.HandlerOptions{ReplaceAttr: formatAttr}))

// Info logs an event of normal operation. args are alternating keys and values.
func Info(event string, args ...any) {
	logger.Log(context.Background(), slog.LevelInfo, event, args...)
}

// Warn logs an event that the program handles without an operator, with its cause; a nil cause is omitted.
func Warn(event string, cause error, args ...any) {
	logger.Log(context.Background(), slog.LevelWarn, event, withError(cause, args)...)
}

// Error logs an event that an operator has to examine, with its cause; a nil cause is omitted.
func Error(event string, cause error, args ...any) {
	logger.Log(context.Background(), slog.LevelError, event, withError(cause, args)...)
}

// withError appends a cause to the keys and values of an event.
func withError(cause error, args []any) []any {
	if cause == nil {
		return args
	}
	return append(args, errorKey, cause.Error())
}

// formatAttr renames slog's message key to EventKey, and formats the time in UTC with microseconds.
func formatAttr(_ []string, a slog.Attr) slog.Attr {
	switch a.Key {
	case slog.MessageKey:
		a.Key = EventKey
	case slog.TimeKey:
		a.Value = slog.StringValue(a.Value.Time().UTC().Format("2006-01-02T15:04:05.000000Z"))
	}
	return a
}

// standardWriter writes to the current output of the standard logger.
type standardWriter struct{}

// Write writes a complete line. slog calls it once per line, with a lock held.
func (standardWriter) Write(line []byte) (int, error) { return log.Writer().Write(line) }
