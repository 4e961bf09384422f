package decide

const (
	busyThroughput = 5.0 // of an arm a second, from which on the paper's rate holds
)

// throughputGroup tells an arm from a server that is met as a key's home alone.
func (s *endpointState) throughputGroup() int {
	if s.inSubset {
		return 1
	}
	return 0
}
