// Package discovery keeps the list of servers (endpoints) in step with the discovery service.
//
// A [Client] holds one watch open: a long HTTP response on which the service writes a JSON update for each change,
// and an empty line, the heartbeat, at least every two seconds. A poll is one request for such a watch; it resumes
// from the sequence number of the last update, so that an unchanged list costs no transfer.
//
// # State and goroutines
//
//   - The goroutine of [Client.Run] owns everything in the Client but its address book: it alone changes the schedule,
//     the active watch and the pending polls, and it alone writes to the [EndpointSet].
//   - Each poll has a goroutine that connects, reads the watch, and posts a typed message for every heartbeat, update,
//     quiet period and for the end. It waits for room in the mailbox, and stops once its subscription is cancelled.
//   - [EndpointSet] may be read from any goroutine without a lock.
//   - [Listener.OnEndpoints] is called on the Client's goroutine and may block it.
//
// # When a poll begins
//
// pollSchedule, in schedule.go, is the one place that decides it: every poll time derives from the single deadline
// lastSynced + [StalenessBound]. It performs no I/O and reads no clock, so tests drive it directly.
package discovery
