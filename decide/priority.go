package decide

// updatePriorities sets what an answer of each class adds to the goal, for the time it takes. Where the goal
// weighs the worst served class, that class earns its part besides its worth; else it would get nothing.
func (b *Balancer) updatePriorities() {
	worth, taken, worst := 1e-9, 1e-9, b.classes[0]
	for _, c := range b.classes[:len(b.settings.Classes)] {
		worth, taken = worth+c.PriorityWeight*c.requests, taken+c.requests
		if c.onTimeAnswers*worst.requests < worst.onTimeAnswers*c.requests {
			worst = c
		}
	}
	for _, c := range b.classes[:len(b.settings.Classes)] {
		c.priority = (b.settings.Objective.Overall + b.settings.Objective.WorstWindow) * c.PriorityWeight * taken / worth
		if c == worst {
			c.priority += b.settings.Objective.WorstClass * taken / max(c.requests, 1)
		}
		c.priority /= c.latencyMedian
	}
	b.meanPriority = 0
	for _, c := range b.classes[:len(b.settings.Classes)] {
		b.meanPriority += c.priority * c.requests / taken
	}
}
