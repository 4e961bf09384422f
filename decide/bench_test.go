package decide

import (
	"fmt"
	"testing"
)

// BenchmarkRequest measures one request and its outcome at one of 800 balancers with 250 endpoints, with and
// without key affinity.
func BenchmarkRequest(b *testing.B) {
	for _, keyAffinity := range []bool{false, true} {
		b.Run(fmt.Sprint("key affinity ", keyAffinity), func(b *testing.B) {
			set := testSettings()
			set.KeyAffinity, set.BalancerCount = keyAffinity, 800
			balancer := New(set, 1, noActions{})
			now := int64(1000 * second)
			balancer.Start(now)
			balancer.OnEndpoints(now, testEndpoints(250), true)
			ids := make([]string, 1024)
			for i := range ids {
				ids[i] = fmt.Sprint("r", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 100_000
				id := ids[i%len(ids)]
				balancer.OnRequest(now, Request{ID: id, Tenant: -1, TimeLeft: 2 * second, Key: id})
				if r := balancer.openRequests[id]; r != nil && len(r.attempts) > 0 {
					balancer.OnOutcome(now, Outcome{Request: id, Server: r.attempts[0].endpoint.ID, Latency: 60_000, RequestAnswered: true})
				}
				if i%10 == 0 {
					balancer.OnTimer(now, timerSecond)
				}
			}
		})
	}
}
