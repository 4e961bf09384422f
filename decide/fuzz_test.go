package decide

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// playFuzzInput turns bytes into a valid sequence of events and returns the actions of the balancer.
func playFuzzInput(t testing.TB, data []byte) []string {
	set := testSettings()
	if len(data) > 0 {
		set.Limits.Cancel = data[0]&1 == 0
		set.EndpointsPushed = data[0]&2 == 0
		set.KeyAffinity = data[0]&4 == 0
		set.Limits.Gossip = data[0]&8 == 0
		if data[0]&16 == 0 {
			set.Rules.AttemptBudgetMin, set.Rules.AttemptBudgetRatio, set.Rules.AttemptBudgetWindow = 3, 0.15, 10*second
		}
		set.Limits.MaxAttempts = int(data[0] >> 5)
	}
	endpointCount := 1
	if len(data) > 1 {
		endpointCount = int(data[1] % 9)
		if data[1] >= 240 { // many endpoints, shared by 500 balancers
			endpointCount, set.BalancerCount = 100*int(data[1]-238), 500
		}
	}
	w := newWorkload(t, set, testEndpoints(endpointCount)...)
	start := w.now // at most two minutes of simulated time per input: clock jumps would slow the fuzzing down
	for i := 2; i+1 < len(data) && !w.failed && w.now-start < 120*second; i += 2 {
		w.applyFuzzOperation(i, data[i], int(data[i+1]))
	}
	w.advance(3 * second) // past every deadline: each request must have its answer
	return w.actions
}

func (w *workload) applyFuzzOperation(i int, op byte, arg int) {
	switch op % 16 {
	case 0, 1, 2, 3, 4:
		w.sendRequest(fmt.Sprint("r", i), arg%len(w.set.Classes), []int64{2 * second, 300_000, 1, 900_000}[arg/8%4])
	case 5, 6, 7, 8:
		if n := len(w.inFlight); n > 0 {
			w.endAttempt(w.inFlight[arg%n], []Result{Succeeded, Succeeded, Errored, Saturated, ConnectFailed, Reset, Cancelled, NotSent}[arg/32])
		}
	case 9, 10:
		w.advance(int64(arg) * 1000)
	case 11:
		w.advance(int64(arg) * 20_000) // a jump of up to 5 s
	case 12:
		ids := make([]string, 0, len(w.requests))
		for id := range w.requests {
			ids = append(ids, id)
		}
		if slices.Sort(ids); len(ids) > 0 {
			w.disconnectClient(w.requests[ids[arg%len(ids)]])
		}
	case 13:
		s := Endpoint{ID: fmt.Sprint("s", arg%10), Capacity: 1, Zone: fmt.Sprint("z", arg%2), Cell: int64(arg % 3)}
		s.StartedAt = w.endpoints[s.ID].StartedAt
		s.Phase = Phase(arg / 10 % 3)
		if arg > 127 && s.Phase == InService {
			s.StartedAt = w.now
		}
		w.updateEndpoints(false, s)
	case 14:
		if arg < 128 {
			w.b.OnPollFailed(w.now, 0)
		} else {
			w.updateEndpoints(true, testEndpoints(arg%7)...)
		}
	case 15:
		if arg%8 == 1 && len(w.b.endpoints) > 0 { // a gossip message of another balancer, perhaps damaged
			s := *w.b.endpoints[arg%len(w.b.endpoints)]
			s.inFlight = arg / 16
			message := slices.Clone(w.b.encodeGossip(&s))
			message[arg%len(message)] ^= byte(arg & 32)
			w.b.OnGossip(w.now, arg%3, message)
		}
		if arg%8 == 2 { // a settings update with another attempt budget, or none
			set := w.set
			set.Rules.AttemptBudgetWindow = []int64{0, 1, 777_777, 3 * second, 10 * second, 60 * second}[arg/8%6]
			set.Rules.AttemptBudgetMin, set.Rules.AttemptBudgetRatio = 0, 0
			if set.Rules.AttemptBudgetWindow > 0 {
				set.Rules.AttemptBudgetMin, set.Rules.AttemptBudgetRatio = float64(arg/8%3), float64(arg/64)/10
			}
			w.updateSettings(set)
		}
		if arg%8 == 0 {
			w.restart()
			w.updateEndpoints(true, testEndpoints(arg/8%9)...)
		}
	}
}

// FuzzOrders checks the five rules for random sequences of events.
func FuzzOrders(f *testing.F) {
	for seed := range uint64(24) {
		rng := rand.New(rand.NewPCG(seed, 1))
		data := make([]byte, 100+rng.IntN(1500))
		for i := range data {
			data[i] = byte(rng.Uint32())
		}
		if seed%6 == 0 {
			data[1] = byte(240 + seed%16)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 6000 {
			return
		}
		playFuzzInput(t, data)
	})
}

// The same seed and the same events lead to the same actions, so that a run can be reproduced.
func TestIdenticalEventsGiveIdenticalActions(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	data := make([]byte, 3000)
	for i := range data {
		data[i] = byte(rng.Uint32())
	}
	a, b := playFuzzInput(t, data), playFuzzInput(t, data)
	if !slices.Equal(a, b) {
		t.Error("the same events gave different actions in two runs")
	}
	if len(a) < 300 {
		t.Errorf("got %d actions, want at least 300: the events exercise too little", len(a))
	}
}
