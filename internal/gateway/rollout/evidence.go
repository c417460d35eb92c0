package rollout

import (
	"maps"
	"math"
	"time"
)

// TimeBuckets is the number of ranges in which times to answer are counted. Range i ends at
// shortestTime times bucketFactor to the power of i; the last one has no end.
const TimeBuckets = 24

const (
	shortestTime = 4 * time.Millisecond
	bucketFactor = math.Sqrt2
)

// Counts holds the results of the requests of one version at one route.
type Counts struct {
	// Answers counts the first attempts of requests that began a fixed time ago, and Failures
	// those of them that failed: server errors, answers that ended early or did not arrive.
	Answers, Failures int64
	// Times counts the others by their time to the answer or to the first event of a stream.
	// One that had no answer then counts with that time.
	Times [TimeBuckets]int64
}

// bucketOf returns the index of the range of a time.
func bucketOf(t time.Duration) int {
	if t <= shortestTime {
		return 0
	}
	return min(int(math.Ceil(2*math.Log2(float64(t)/float64(shortestTime)))), TimeBuckets-1)
}

// add adds other counts, multiplied by a sign.
func (c *Counts) add(other *Counts, sign int64) {
	c.Answers += sign * other.Answers
	c.Failures += sign * other.Failures
	for i := range c.Times {
		c.Times[i] += sign * other.Times[i]
	}
}

// clamp replaces negative counts by 0.
func (c *Counts) clamp() {
	c.Answers, c.Failures = max(c.Answers, 0), max(c.Failures, 0)
	for i := range c.Times {
		c.Times[i] = max(c.Times[i], 0)
	}
}

// RouteCounts holds the results of both versions at a route.
type RouteCounts struct {
	Old Counts `msgpack:"o"`
	New Counts `msgpack:"n"`
}

// Evidence holds the results of a roll-out by route. The counts are cumulative.
type Evidence map[string]RouteCounts

// Merge adds the counts of another source to e, which must not be nil.
func (e Evidence) Merge(other Evidence) { e.merge(other, 1) }

func (e Evidence) merge(other Evidence, sign int64) {
	for route, counts := range other {
		sum := e[route]
		sum.Old.add(&counts.Old, sign)
		sum.New.add(&counts.New, sign)
		e[route] = sum
	}
}

// Since returns the counts that were added since an earlier state. Counts that became
// smaller, because a new leader knows fewer entries, are 0.
func (e Evidence) Since(earlier Evidence) Evidence {
	difference := maps.Clone(e)
	if difference == nil {
		return Evidence{}
	}
	difference.merge(earlier, -1)
	for route, counts := range difference {
		counts.Old.clamp()
		counts.New.clamp()
		difference[route] = counts
	}
	return difference
}

// Total returns the sum over all routes.
func (e Evidence) Total() RouteCounts {
	var total RouteCounts
	for _, counts := range e {
		total.Old.add(&counts.Old, 1)
		total.New.add(&counts.New, 1)
	}
	return total
}
