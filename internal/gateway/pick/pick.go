package pick

import (
	"fmt"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/port"
)

// Request is what the choice needs to know of an exchange.
type Request struct {
	Service string
	// Domain is the failure domain of this entry.
	Domain string
	Prefix []port.PromptPart
	// PromptTokens counts the whole prompt; 0 for plain services.
	PromptTokens int
	// Avoid lists endpoints that earlier attempts were sent to.
	Avoid []string
	// MaxConnections is what this entry may open to one endpoint; 0 means no bound.
	MaxConnections int
	Now            time.Time
}

// NoEndpointError says that no endpoint may get the request now.
type NoEndpointError struct {
	Service string
	// Known counts the endpoints of the service, and DroppedBy names the filter
	// that dropped the last of them.
	Known     int
	DroppedBy string
}

// Error implements error.
func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("no endpoint of service %s: %d known, last dropped by %s", e.Service, e.Known, e.DroppedBy)
}

// View is an endpoint as filters and scorers see it.
type View struct {
	*stats
	uncached int
}

// Filter drops endpoints that must not get a request.
type Filter interface {
	Name() string
	Keep(r *Request, v *View) bool
}

// Scorer estimates a part of the cost of a request at an endpoint, in seconds.
type Scorer interface {
	Name() string
	Seconds(r *Request, v *View) float64
}

// Picker chooses among scored endpoints; the lists are not empty.
type Picker interface {
	Pick(scores []float64) int
}

// Choice is the outcome of a decision. Its attempt must be ended by End.
type Choice struct {
	Endpoint registry.Endpoint
	// Score is the estimated cost in seconds.
	Score float64
	// Busy is the estimated number of requests at the endpoint.
	Busy int
	// Cached counts the prompt tokens that are thought to be resident.
	Cached int
	// Candidates counts the endpoints that passed the filters.
	Candidates int

	board    *Board
	stats    *stats
	uncached int
	began    time.Time
	waiting  bool
}

// Choose picks the endpoint of an attempt and counts it. The error is a *NoEndpointError.
func (b *Board) Choose(r *Request) (*Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	members := b.services[r.Service]
	views, dropped := b.keep(r, members)
	if len(views) == 0 {
		views = b.briefly(r, members)
	}
	if len(views) == 0 {
		return nil, &NoEndpointError{Service: r.Service, Known: len(members), DroppedBy: dropped}
	}
	b.scores = append(b.scores[:0], make([]float64, len(views))...)
	scores := b.scores
	parts := shared(r.Prefix)
	if home := homeOf(parts, views); home >= 0 {
		scores[home] = -float64(homeBonus(parts)) / prefillTokensPerS
	}
	for i := range views {
		for _, scorer := range b.scorers {
			scores[i] += scorer.Seconds(r, &views[i])
		}
	}
	at := b.picker.Pick(scores)
	return b.begin(r, &views[at], scores[at], len(views)), nil
}

// keep returns the endpoints that pass the filters, and the filter that dropped
// the last of the others. The list is valid until the next decision.
func (b *Board) keep(r *Request, members []*stats) (views []View, dropped string) {
	views = b.views[:0]
	for _, s := range members {
		views = append(views, View{stats: s})
		last := &views[len(views)-1]
		if name := b.drops(r, last); name != "" {
			dropped = name
			views = views[:len(views)-1]
			continue
		}
		last.uncached = max(r.PromptTokens-s.resident.cached(r.Prefix), 0)
	}
	b.views = views
	return views, dropped
}

// briefly returns the endpoints that are only paused after one failure: where
// no other is left, a further attempt is better than a refusal.
func (b *Board) briefly(r *Request, members []*stats) []View {
	patient := *r
	patient.Now = r.Now.Add(longestPause)
	var views []View
	for _, s := range members {
		v := View{stats: s}
		if s.failures == 1 && b.drops(&patient, &v) == "" {
			v.uncached = r.PromptTokens
			views = append(views, v)
		}
	}
	return views
}

func (b *Board) drops(r *Request, v *View) string {
	for _, filter := range b.filters {
		if !filter.Keep(r, v) {
			return filter.Name()
		}
	}
	return ""
}

// begin must be called with the lock held.
func (b *Board) begin(r *Request, v *View, score float64, candidates int) *Choice {
	s := v.stats
	c := &Choice{
		Endpoint: s.endpoint, Score: score, Busy: s.busy(r.Now), Cached: r.PromptTokens - v.uncached,
		Candidates: candidates, board: b, stats: s, uncached: v.uncached, began: r.Now, waiting: true,
	}
	s.inFlight++
	if s.sentUnheard.IsZero() {
		s.sentUnheard = r.Now
	}
	s.pending++
	s.sentSince++
	s.prefill += v.uncached
	s.resident.note(r.Prefix)
	return c
}

// Answered notes the first byte of an answer, which ends the reading of the prompt.
func (c *Choice) Answered(load *port.EndpointLoad, now time.Time) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	s := c.stats
	c.stopWaiting()
	s.sentUnheard = time.Time{}
	if load != nil {
		s.reported = *load
		s.reportedAt = now
		s.sentSince = 0
	}
}

// Heard notes further bytes of an answer.
func (c *Choice) Heard() {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	c.stats.sentUnheard = time.Time{}
}

// Observe notes a run that went well, and learns the speed of the endpoint from
// the time to its first byte.
func (c *Choice) Observe(now time.Time) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	c.stats.failures = 0
	c.stats.errors = 0
	c.stats.pausedUntil = time.Time{}
	seconds := now.Sub(c.began).Seconds()
	typical := c.board.typical[c.Endpoint.Service]
	if typical == nil {
		typical = new(average)
		c.board.typical[c.Endpoint.Service] = typical
	}
	typical.add(seconds)
	ratio := seconds / max(typical.seconds, minTypical)
	c.stats.slowness += speedWeight * (min(ratio, maxSlowness) - c.stats.slowness)
}

const (
	// minTypical keeps ratios of very short times from swinging, in seconds.
	minTypical = 0.005
	// maxSlowness bounds what a single answer says of an endpoint.
	maxSlowness = 8
)

// Erred notes a run that the endpoint answered with an error of its own. Some
// requests fail wherever they run, so that only several in a row pause it.
func (c *Choice) Erred(now time.Time) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	c.stats.errors++
	if c.stats.errors >= errorsInARow {
		c.pause(now)
	}
}

// errorsInARow is the number of errors from which an endpoint counts as failing.
const errorsInARow = 4

// Failed notes an attempt that the endpoint broke, and pauses it.
func (c *Choice) Failed(now time.Time) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	c.pause(now)
}

// pause must be called with the lock held.
func (c *Choice) pause(now time.Time) {
	s := c.stats
	pause := min(firstPause<<min(s.failures, maxDoublings), longestPause)
	s.failures++
	s.pausedUntil = now.Add(pause)
}

// maxDoublings keeps the shift of a pause within its type.
const maxDoublings = 5

// Full notes that the endpoint had no room.
func (c *Choice) Full(load *port.EndpointLoad, now time.Time) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	c.stats.pausedUntil = now.Add(fullPause)
}

// fullPause lets a full endpoint end some requests before it gets new ones.
const fullPause = 50 * time.Millisecond

// Leaving notes that the endpoint must get no new work.
func (c *Choice) Leaving() {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	if c.stats.endpoint.State == registry.Ready {
		c.stats.endpoint.State = registry.Draining
	}
}

// End notes the end of the attempt, however it ended.
func (c *Choice) End() {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	c.stopWaiting()
	c.stats.inFlight--
	if c.stats.inFlight == 0 {
		c.stats.sentUnheard = time.Time{}
	}
}

// stopWaiting must be called with the lock held.
func (c *Choice) stopWaiting() {
	if !c.waiting {
		return
	}
	c.waiting = false
	c.stats.pending--
	c.stats.prefill -= c.uncached
}
