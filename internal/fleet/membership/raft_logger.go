package membership

import (
	"errors"
	"fmt"

	"damsonscale/internal/eventlog"
)

// raftLogger is raft's logger. Errors go to the program's event log, and raft's panics are recovered in Log.Run. Messages of lower
// levels are dropped, since package membership logs its own events for normal operation.
type raftLogger struct{}

// Debug discards a message.
func (raftLogger) Debug(...any) {}

// Debugf discards a message.
func (raftLogger) Debugf(string, ...any) {}

// Info discards a message.
func (raftLogger) Info(...any) {}

// Infof discards a message.
func (raftLogger) Infof(string, ...any) {}

// Warning discards a message.
func (raftLogger) Warning(...any) {}

// Warningf discards a message.
func (raftLogger) Warningf(string, ...any) {}

// Error logs an error.
func (raftLogger) Error(v ...any) { eventlog.Error(eventRaftError, errors.New(fmt.Sprint(v...))) }

// Errorf logs an error.
func (raftLogger) Errorf(format string, v ...any) {
	eventlog.Error(eventRaftError, fmt.Errorf(format, v...))
}

// Fatal panics with the message.
func (raftLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf panics with the message.
func (raftLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Panic panics with the message.
func (raftLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf panics with the message.
func (raftLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
