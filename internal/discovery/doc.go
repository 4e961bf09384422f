// Package discovery keeps the list of servers (endpoints) up to date from the discovery service.
//
// A [Client] keeps one watch open: a long HTTP response in which the service writes a JSON update for each change. While
// nothing changes it writes an empty line, the heartbeat, at least every two seconds. A poll is a request for a watch. It
// resumes from the sequence number of the last update, so that an unchanged list is not transferred again.
//
// # State and goroutines
//
//   - The goroutine of [Client.Run] owns all state of the Client: only it changes the schedule, the active watch and the
//     pending polls, and only it writes to the [EndpointSet].
//   - Each poll has a goroutine that connects, reads the watch, and posts a typed message for each heartbeat, update and
//     quiet period, and for the end. It blocks while the mailbox is full, and stops when its subscription is cancelled.
//   - [EndpointSet] may be read from any goroutine without a lock.
//   - [Listener.OnEndpoints] runs on the Client's goroutine and may block it.
//
// # When a poll begins
//
// Only pollSchedule, in schedule.go, decides when a poll begins. It derives every poll time from one deadline:
// lastSynced + [StalenessBound]. It performs no I/O and reads no clock, so tests drive it directly.
package discovery
