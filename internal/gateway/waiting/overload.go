package waiting

import "time"

const (
	// delayWeight is the weight of one measured delay in the average.
	// An entry measures 20 times a second, so that the average follows within a second: the
	// processor quota of a small VM stops it for tens of milliseconds also under ordinary load.
	delayWeight = 0.05
	// maxDelay limits one measured delay: a process that was stopped for seconds was not
	// overloaded in that time.
	maxDelay = 200 * time.Millisecond
	// delaysPerRequest is how often a request waits for the processor of the entry, and
	// maxDelayTargets the multiple of its target that all of these waits may take. Above it
	// even the least urgent rank, with the smallest part of the limits, misses its target.
	delaysPerRequest = 3
	maxDelayTargets  = 2
	// reservedMB is the memory for everything but requests, and perMB the number of requests
	// for each further megabyte: a stream needs up to a quarter of one.
	reservedMB = 64
	perMB      = 4
	// minInFlight is the number of requests that an entry takes however small its VM is.
	minInFlight = 64
	// rankStep is the part of its limits that an entry keeps free for each more urgent rank.
	rankStep = 0.15
	// maxRankSteps bounds the sum of these parts.
	maxRankSteps = 3
)

// Overload tells whether an entry has more requests than its VM can serve. It is not safe for
// concurrent use.
type Overload struct {
	limit int
	delay time.Duration
}

// NewOverload returns the state of an entry whose VM has a memory in megabytes; 0 means that the
// number of requests is not limited.
func NewOverload(memoryMB int) *Overload {
	if memoryMB <= 0 {
		return &Overload{}
	}
	return &Overload{limit: max((memoryMB-reservedMB)*perMB, minInFlight)}
}

// Observe records by how much a timer of the entry was late.
func (o *Overload) Observe(late time.Duration) {
	o.delay += time.Duration(delayWeight * float64(min(max(late, 0), maxDelay)-o.delay))
}

// Delay returns the average delay of the entry's goroutines.
func (o *Overload) Delay() time.Duration { return o.delay }

// Admits reports whether the entry takes a request of a rank with a target, while it has a
// number of others. Less urgent ranks are refused earlier.
func (o *Overload) Admits(rank, inFlight int, target time.Duration) bool {
	part := 1 - rankStep*float64(min(max(rank, 0), maxRankSteps))
	if o.limit > 0 && float64(inFlight) >= part*float64(o.limit) {
		return false
	}
	return target <= 0 || float64(delaysPerRequest*o.delay) <= part*maxDelayTargets*float64(target)
}
