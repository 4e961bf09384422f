package modelcheck

// Result is the result of a search.
type Result struct {
	States    int        // that were visited
	Violation string     // of an invariant; empty: none
	Trace     []string   // the events that led there
	Responses []Response // that clients were given, with Walk
	Coverage  Coverage   // with WalkCells
}
