package waiting

// maxLead is the number of requests by which a workspace, or a caller of it, may be ahead of the
// one that was served least. Within the lead, the time left decides.
const maxLead = 3

// flow is a workspace, or a caller of one, with requests in the queue.
type flow struct {
	waiting int
	// served is the number of requests that left the queue for an endpoint, counted from that
	// of the flow that was served least when this one joined.
	served int
	// callers holds the flows of the callers of a workspace.
	callers map[string]*flow
	// ahead is a counter that aheadInRank uses.
	ahead int
}

// join adds a request of a named flow and returns the flow.
func join(flows map[string]*flow, name string) *flow {
	f := flows[name]
	if f == nil {
		f = &flow{callers: make(map[string]*flow)}
		flows[name] = f
	}
	if f.waiting == 0 {
		f.served = max(f.served, leastServed(flows))
	}
	f.waiting++
	return f
}

// leastServed returns the smallest number of served requests of the flows that wait.
func leastServed(flows map[string]*flow) int {
	least, found := 0, false
	for _, f := range flows {
		if f.waiting > 0 && (!found || f.served < least) {
			least, found = f.served, true
		}
	}
	return least
}
