// Rule 3: a draining endpoint gets no new attempt from the moment that the list says so. Attempts in flight
// there go on. Every choice of an endpoint asks inService.

package decide

// inService reports whether new attempts may go to s.
func (s *endpointState) inService() bool { return s.Phase == InService }
