// Rule 3: a draining endpoint gets no new attempt once the endpoint list says that it is draining. Attempts
// already in flight continue. Every selection of an endpoint calls inService.

package decide

// inService reports whether s may get new attempts.
func (s *endpointState) inService() bool { return s.Phase == InService }
