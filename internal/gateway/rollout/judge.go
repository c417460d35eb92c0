package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// falseAlarm is the greatest probability that a version which is not worse is found bad
	// at any look.
	falseAlarm = 0.01
	// suspicion is the evidence with which a version is suspect.
	suspicion = 3
	// failureFactor and failureSlack are how much more often than the old version a version
	// may fail without being worse. They cover that endpoints differ.
	failureFactor = 1.25
	failureSlack  = 0.01
	// lateFactor and lateSlack are the same for late answers, and lateShift is the number of
	// time ranges by which the new version may be slower: KV caches of new endpoints are
	// empty at first, and endpoints differ in speed.
	lateFactor = 1.15
	lateSlack  = 0.01
	lateShift  = 1
	// lateStep is the number of time ranges from one tested bound to the next. Each bound costs
	// a part of the probability of a false alarm.
	lateStep = 2
	// minWindow is the least time between the starts of two windows, and windowsPerRollout
	// their number in a roll-out.
	minWindow         = time.Second
	windowsPerRollout = 16
	// expectedRoutes is the number of routes among which the probability of a false alarm is
	// divided if there are not more.
	expectedRoutes = 8
)

// Verdict is the result of comparing both versions.
type Verdict struct {
	// Bad is set if the new version is worse than the old one.
	Bad bool
	// Suspect is set if there is some evidence of that. A version that is not worse is suspect
	// at any look with a probability of at most 1/suspicion.
	Suspect bool
	// Reason names the route, the measure and the counts that decided, for log lines.
	Reason string
}

// or returns the verdict of two tests.
func (v Verdict) or(other Verdict) Verdict {
	if other.Bad || !v.Suspect {
		return other
	}
	return v
}

// Judge compares both versions of one roll-out. The leader creates one for each record and
// keeps it in memory. A new leader starts a new one: the evidence is cumulative. It is not
// safe for concurrent use.
type Judge struct {
	orderedAt time.Time
	interval  time.Duration
	windows   []window
}

// window is the evidence at the time at which a window starts.
type window struct {
	number int
	before Evidence
}

// NewJudge returns a judge for a roll-out.
func NewJudge(r *Record) *Judge {
	return &Judge{
		orderedAt: r.OrderedAt(), interval: max(minWindow, r.Duration()/windowsPerRollout),
		windows: []window{{number: 0}},
	}
}

// Look compares the versions by the evidence so far, at an agreed time. Besides all evidence
// it examines that since the start of each window, so that a version that turns bad late is
// found as fast as one that is bad from the start.
func (j *Judge) Look(e Evidence, now time.Time) Verdict {
	var verdict Verdict
	for _, w := range j.windows {
		if verdict = verdict.or(compare(e.Since(w.before), w.weight())); verdict.Bad {
			return verdict
		}
	}
	number := int(now.Sub(j.orderedAt) / j.interval)
	if number > j.windows[len(j.windows)-1].number {
		j.windows = append(j.windows, window{number, e.Since(nil)})
		if len(j.windows) > windowsPerRollout {
			j.windows = slices.Delete(j.windows, 1, 2)
		}
	}
	return verdict
}

// weight returns the window's part of the probability of a false alarm. The weights of all
// windows add up to at most 1.
func (w *window) weight() float64 {
	if w.number == 0 {
		return 0.5
	}
	return 0.5 / float64(w.number*(w.number+1))
}

// compare tests all routes, and the sum of them, with a part of the probability of a false
// alarm. One half goes to the sum and one to the routes.
func compare(e Evidence, part float64) Verdict {
	total := e.Total()
	verdict := compareCounts("all routes", &total, part/2)
	part /= 2 * float64(max(len(e), expectedRoutes))
	for route, counts := range e {
		verdict = verdict.or(compareCounts("route "+route, &counts, part))
	}
	return verdict
}

// compareCounts tests failures with one half of a part, and late answers with the other.
func compareCounts(name string, counts *RouteCounts, part float64) Verdict {
	failures := sample{counts.Old.Failures, counts.Old.Answers, counts.New.Failures, counts.New.Answers}
	verdict := failures.judge(failureFactor, failureSlack, part/2, func() string { return name + ": failures" })
	late := tails(&counts.Old.Times, &counts.New.Times)
	part /= 2 * float64((len(late)+lateStep-1)/lateStep)
	for i := 0; i < len(late); i += lateStep {
		verdict = verdict.or(late[i].judge(lateFactor, lateSlack, part, func() string {
			return fmt.Sprintf("%s: answers later than %d ms", name, boundOf(i).Milliseconds())
		}))
	}
	return verdict
}

// boundOf returns the end of a time range.
func boundOf(bucket int) time.Duration {
	return time.Duration(float64(shortestTime) * math.Pow(bucketFactor, float64(bucket)))
}

// tails returns, for each time range, the answers of the old version that were later than its
// end, and those of the new version that were later by lateShift more ranges.
func tails(oldTimes, newTimes *[TimeBuckets]int64) [TimeBuckets - lateShift - 1]sample {
	var list [TimeBuckets - lateShift - 1]sample
	var sums sample
	for i := range TimeBuckets {
		sums.oldAll += oldTimes[i]
		sums.newAll += newTimes[i]
	}
	oldLate, newLate := sums.oldAll, sums.newAll
	for i := range lateShift {
		newLate -= newTimes[i]
	}
	for i := range list {
		oldLate -= oldTimes[i]
		newLate -= newTimes[i+lateShift]
		list[i] = sample{oldLate, sums.oldAll, newLate, sums.newAll}
	}
	return list
}

// sample counts the requests with a property, and all, of both versions.
type sample struct{ oldWith, oldAll, newWith, newAll int64 }

// judge compares the samples. If the new version has the property at most factor times as
// often as the old one plus slack, the probability that any look finds it bad is at most part
// times falseAlarm.
func (s *sample) judge(factor, slack, part float64, property func() string) Verdict {
	logEvidence := s.logEvidence(factor, slack) + math.Log(part)
	switch {
	case logEvidence < math.Log(suspicion):
		return Verdict{}
	case logEvidence < -math.Log(falseAlarm):
		return Verdict{Suspect: true}
	}
	return Verdict{Bad: true, Suspect: true, Reason: fmt.Sprintf("%s %d of %d at the new version, %d of %d at the old",
		property(), s.newWith, s.newAll, s.oldWith, s.oldAll)}
}

// logEvidence returns the logarithm of the evidence that the new version has the property more
// often than factor times the rate of the old version plus slack.
//
// It is the likelihood of the counts of both versions, with a Beta(1/2, 1/2) prior over each
// rate, relative to their greatest likelihood under rates at which the new version is not
// worse. Under the true rates, the ratio to their likelihood is a martingale. The evidence is
// at most that, so by Ville's inequality it exceeds 1/p at any time with a probability of at
// most p.
func (s *sample) logEvidence(factor, slack float64) float64 {
	if s.newWith == 0 || s.oldAll == 0 {
		return math.Inf(-1)
	}
	oldRate, newRate := float64(s.oldWith)/float64(s.oldAll), float64(s.newWith)/float64(s.newAll)
	if newRate <= factor*oldRate+slack {
		return math.Inf(-1)
	}
	rate := s.likeliestRate(factor, slack, oldRate, (newRate-slack)/factor)
	return logMixture(s.newWith, s.newAll) - logLikelihood(s.newWith, s.newAll, factor*rate+slack) +
		logMixture(s.oldWith, s.oldAll) - logLikelihood(s.oldWith, s.oldAll, rate)
}

// likeliestRate returns the rate of the old version, between two rates, at which the counts
// are the most likely if the rate of the new one is factor times it plus slack. The logarithm
// of the likelihood is concave, so its slope tells the direction.
func (s *sample) likeliestRate(factor, slack, low, high float64) float64 {
	const steps = 40
	for range steps {
		rate := (low + high) / 2
		slope := factor*slopeAt(s.newWith, s.newAll, factor*rate+slack) + slopeAt(s.oldWith, s.oldAll, rate)
		if slope > 0 {
			low = rate
		} else {
			high = rate
		}
	}
	return (low + high) / 2
}

// slopeAt returns the derivative of logLikelihood by the rate.
func slopeAt(with, all int64, rate float64) float64 {
	return float64(with)/rate - float64(all-with)/(1-rate)
}

// logLikelihood returns the logarithm of the likelihood of counts by a rate.
func logLikelihood(with, all int64, rate float64) float64 {
	return xLogY(with, rate) + xLogY(all-with, 1-rate)
}

// logMixture returns the logarithm of the likelihood of counts by a Beta(1/2, 1/2) prior.
func logMixture(with, all int64) float64 {
	a, _ := math.Lgamma(float64(with) + 0.5)
	b, _ := math.Lgamma(float64(all-with) + 0.5)
	c, _ := math.Lgamma(float64(all) + 1)
	return a + b - c - math.Log(math.Pi)
}

// xLogY returns x times the logarithm of y, which is 0 for x = 0 also if y is 0.
func xLogY(x int64, y float64) float64 {
	if x == 0 {
		return 0
	}
	return float64(x) * math.Log(y)
}
