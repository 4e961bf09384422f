// The priority of a class. It decides which requests leave the queue first, are rejected last and get
// scarce retries.

package decide

// requestRetention is the share of the request counts that is kept each second. Priorities, quotas and the
// replicas of a key therefore reflect about the last minute.
const requestRetention = 0.98

// updatePriorities sets the priority of each class: what a response adds to the service objective, divided
// by the time that it takes. If the objective weights the class with the lowest share of responses in time,
// that class gets this weight in addition to its own. Otherwise it would get no capacity.
func (b *Balancer) updatePriorities() {
	classes, objective := b.classes[:len(b.settings.Classes)], &b.settings.Objective
	weight, requests, worst := 1e-9, 1e-9, b.classes[0]
	for _, c := range classes {
		weight += c.PriorityWeight * c.requests
		requests += c.requests
		if c.onTimeResponses*worst.requests < worst.onTimeResponses*c.requests {
			worst = c
		}
	}
	for _, c := range classes {
		c.priority = (objective.Overall + objective.WorstWindow) * c.PriorityWeight * requests / weight
		if c == worst {
			c.priority += objective.WorstClass * requests / max(c.requests, 1)
		}
		c.priority /= c.latencyMedian
	}
	b.meanPriority = 0
	for _, c := range classes {
		b.meanPriority += c.priority * c.requests / requests
	}
}
