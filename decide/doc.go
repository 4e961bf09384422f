// Package decide makes the load-balancing decisions of one balancer. It does no I/O, reads no clock and
// starts no goroutines.
//
// A host creates a Balancer with New and calls its method for each event, with the current time. The
// Balancer calls the host's Actions before that method returns, and the host carries them out. A Balancer
// is not safe for concurrent use: one goroutine must report all events. The same seed and the same events
// lead to the same actions.
//
// # Units
//
// Times are microseconds of one clock that only moves forward, and durations are microseconds too, whether
// they are int64 or float64. A name that ends in Ms holds milliseconds. A rate says in its comment whether it
// is per second or per microsecond. Capacity is relative: the mean of the listed endpoints is 1.
//
// # Files
//
// balancer.go shows how each event is handled. The rules are in these files:
//
//	Which requests are rejected on arrival?              admission.go, key_outliers.go
//	Which waiting requests are rejected, and in          queue.go, priority.go, quota.go
//	what order do they go?
//	How many attempts may be in flight?                  concurrency_limit.go, congestion.go
//	Which endpoints are used at all?                     subset.go, locality.go, key_affinity.go
//	Which may take this attempt?                         candidates.go, draining.go, slow_start.go
//	Which eligible endpoint is chosen?                   exp3.go, utilization.go
//	When is an endpoint ejected and restored?            outlier_detection.go
//	Who may retry?                                       candidates.go, retry_budget.go, attempt_budget.go
//	May a request run twice?                             idempotency.go
//	How long may an attempt take?                        attempt_timeout.go, latency.go, work_hint.go
//	When is an idle connection closed?                   idle_connections.go
//	When is the endpoint list polled?                    endpoint_poll.go
//	What does a change of the list do?                   endpoint_list.go, capacity.go
//	When are endpoints health checked?                   health_checks.go
//	What do load reports change?                         load_reports.go, capacity.go
//	What do balancers report to each other?              gossip.go, gossip_message.go
//	What does a change of settings do?                   settings_update.go
//	What is logged?                                      event_log.go
//
// The interface is in api.go (events, actions) and settings.go. shadow_follow.go is for a second Balancer
// that follows the decisions of the serving one and sends nothing.
//
// # Rules
//
// Deployments check five rules, which comments refer to by number:
//
//  1. Each request gets exactly one final response (balancer.go, request.go).
//  2. No request that is not idempotent takes effect twice (idempotency.go).
//  3. A draining endpoint gets no new attempt (draining.go).
//  4. An endpoint in slow start is not overloaded by all balancers together (slow_start.go).
//  5. Attempts beyond the first of each request stay within a budget for any time window (attempt_budget.go).
package decide
