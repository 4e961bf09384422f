// The priority of a class: which requests wait first, are rejected last and get the last retries.

package decide

// requestRetention is the part of the counts of requests kept each second, so that priorities, quotas and the
// replicas of a key go by about the last minute.
const requestRetention = 0.98

// updatePriorities sets the priority of each class: what an answer adds to the service objective, by the time
// it takes. Where the objective weighs the class with the lowest share of answers in time, that class has
// this weight besides its own; else it would get nothing.
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
