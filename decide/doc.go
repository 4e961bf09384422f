// Package decide holds every decision of one balancer and no input or output.
//
// A host makes a Balancer with New, reports each event by its method together with the time, and carries
// out the actions that the Balancer calls on its Actions before the method returns. Times are
// microseconds of one clock that only moves forward; durations are microseconds too.
package decide
