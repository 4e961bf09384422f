package modelcheck

import (
	"context"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"

	"damsonscale/internal/takeover"
)

var (
	oneRequest  = []takeover.Idempotency{takeover.NotIdempotent}
	twoRequests = []takeover.Idempotency{takeover.NotIdempotent, takeover.IdempotentByKey}
)

// No short sequence of events and no long random walk violates an invariant.
func TestTakeoverKeepsInvariants(t *testing.T) {
	for _, strict := range []bool{false, true} {
		f, err := ExhaustiveSearch(context.Background(), TakeoverConfig{Idempotency: oneRequest, Strict: strict, Budget: SmallBudget}, 4)
		if err != nil || f.Violation != "" {
			t.Fatalf("strict %t: error %v, violation %q, want neither\n%s", strict, err, f.Violation, strings.Join(f.Trace, "\n"))
		}
		t.Logf("strict %t: %d states", strict, f.States)
	}
	steps := 0
	for seed := range uint64(400) {
		f := RandomWalk(TakeoverConfig{Idempotency: twoRequests, Strict: seed%2 == 0, Budget: LargeBudget}, seed, 200)
		if steps += f.States; f.Violation != "" {
			t.Fatalf("seed %d: %s\n%s", seed, f.Violation, strings.Join(f.Trace, "\n"))
		}
	}
	t.Logf("%d steps in random walks", steps)
}

// The responses to clients are linearizable with respect to a server that runs each request once.
func TestHistoriesAreLinearizable(t *testing.T) {
	model := porcupine.Model{
		Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
			parts := make([][]porcupine.Operation, len(twoRequests))
			for _, o := range all {
				parts[o.Input.(int)] = append(parts[o.Input.(int)], o)
			}
			return parts
		},
		Init: func() any { return "" },
		Step: func(state, _, output any) (bool, any) { return state == "" || state == output, output },
	}
	decided := 0
	check := func(all []Response) bool {
		var ops []porcupine.Operation
		for _, h := range all {
			if !h.Indeterminate {
				ops = append(ops, porcupine.Operation{Input: h.Request, Output: h.Answer, Call: int64(h.StartStep), Return: int64(h.EndStep)})
			}
		}
		decided += len(ops)
		return porcupine.CheckOperations(model, ops)
	}
	for seed := range uint64(1000) {
		if f := RandomWalk(TakeoverConfig{Idempotency: twoRequests, Strict: true, Budget: LargeBudget}, 1_000_000+seed, 150); !check(f.Responses) {
			t.Fatalf("seed %d: %+v\n%s", seed, f.Responses, strings.Join(f.Trace, "\n"))
		}
	}
	if contradictory := []Response{{0, 1, 2, "a", false}, {0, 3, 4, "b", false}}; decided < 200 || check(contradictory) {
		t.Errorf("checked %d responses, want at least 200, and two contradictory responses must not be linearizable", decided)
	}
}

// Each injected fault leads to a violation: this shows that the search can detect faults.
func TestInjectedTakeoverFaultsAreDetected(t *testing.T) {
	for _, c := range []struct {
		fault  takeover.InjectedFault
		name   string
		budget TakeoverBudget
	}{
		{takeover.IgnoreLease, "lease not checked", LargeBudget},
		{takeover.SendBeforeQuorum, "sent before a quorum stores the record", TakeoverBudget{Attempts: 2, Losses: 4}},
		{takeover.InvertMembership, "members treated as evicted", LargeBudget},
		{takeover.ForgetResponse, "stored response ignored", TakeoverBudget{Attempts: 2, Crashes: 1, LeaseExpiries: 1, Ticks: 2}},
	} {
		found, seed := "", uint64(0)
		for ; seed < 5_000 && found == ""; seed++ {
			found = RandomWalk(TakeoverConfig{Idempotency: twoRequests, Strict: true, Fault: c.fault, Budget: c.budget}, seed, 200).Violation
		}
		if found == "" {
			t.Errorf("%s: no violation in %d random walks", c.name, seed)
		}
		t.Logf("%s: seed %d: %s", c.name, seed-1, found)
	}
}
