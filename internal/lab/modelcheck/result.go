package modelcheck

// Result is the result of a search.
type Result struct {
	States    int        // number of visited states or, of a random walk, number of steps
	Violation string     // the violated invariant; empty: none
	Trace     []string   // the events that led to the violation
	Responses []Response // all responses to clients; only from RandomWalk
	Coverage  Coverage   // only from RandomWalkCells
}
