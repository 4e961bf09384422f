package modelcheck

import (
	"context"
	"math/rand/v2"
	"slices"
)

// searchNode is a state that a search has reached, with the move that led to it.
type searchNode struct {
	world    *takeoverWorld // nil after all its moves were made, to free memory
	previous *searchNode
	move     string
}

// trace returns the moves from the initial state to this state.
func (n *searchNode) trace() (moves []string) {
	for ; n.previous != nil; n = n.previous {
		moves = append(moves, n.move)
	}
	slices.Reverse(moves)
	return moves
}

// ExhaustiveSearch explores all sequences of moves up to a depth, breadth first, each state once, until an invariant is violated. It returns the
// error of ctx if ctx is done first.
func ExhaustiveSearch(ctx context.Context, c TakeoverConfig, depth int) (Result, error) {
	first := &searchNode{world: newWorld(&c)}
	seen, level := map[[16]byte]bool{first.world.fingerprint(): true}, []*searchNode{first}
	for ; depth > 0 && len(level) > 0; depth-- {
		var nextLevel []*searchNode
		for _, at := range level {
			if err := ctx.Err(); err != nil {
				return Result{States: len(seen)}, err
			}
			for _, m := range at.world.moves() {
				next := &searchNode{world: at.world.clone(), previous: at, move: m.name}
				m.do(next.world)
				if next.world.violation != "" {
					return Result{States: len(seen), Violation: next.world.violation, Trace: next.trace()}, nil
				}
				if f := next.world.fingerprint(); !seen[f] {
					seen[f] = true
					nextLevel = append(nextLevel, next)
				}
			}
			at.world = nil
		}
		level = nextLevel
	}
	return Result{States: len(seen)}, nil
}

// RandomWalk makes at most the given number of random moves from a seed. Its result has a trace if an invariant is violated.
func RandomWalk(c TakeoverConfig, seed uint64, steps int) Result {
	random := rand.New(rand.NewPCG(seed, 4))
	w := newWorld(&c)
	result := Result{}
	var trace []string
	for range steps {
		moves := w.moves()
		if len(moves) == 0 {
			break
		}
		m := moves[random.IntN(len(moves))]
		w.step++
		m.do(w)
		result.States++
		result.Responses = w.responses
		trace = append(trace, m.name)
		if w.violation != "" {
			result.Violation, result.Trace = w.violation, trace
			break
		}
	}
	return result
}
