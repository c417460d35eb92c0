package pick

import (
	"fmt"
	"time"

	"github.com/boragelead/boragelead/internal/port"
)

// Request holds the properties of a request on which the choice depends.
type Request struct {
	Service string
	// Domain is the failure domain of this entry.
	Domain string
	Prefix []port.PromptPart
	// PromptTokens is the length of the whole prompt; 0 for plain services.
	PromptTokens int
	// Avoid lists endpoints that earlier attempts were sent to.
	Avoid []string
	// MaxConnections limits the connections of this entry to one endpoint; 0 means
	// no limit.
	MaxConnections int
	// SoftwareVersion is the version at which the endpoint must be; nil means any.
	SoftwareVersion *string
	// Rule restricts the request to a version of a roll-out; nil means any.
	Rule *VersionRule
	// IgnorePauses admits endpoints that are paused after a failure.
	IgnorePauses bool
	// WithRoom drops endpoints whose slots are taken, as far as this entry knows: the request
	// gives up another attempt, and a rejection would be its end.
	WithRoom bool
	// MaxSilence drops endpoints that have sent nothing for that long although attempts of this
	// entry run there; 0 drops none.
	MaxSilence time.Duration
	// PreferHeard prefers endpoints that have sent something within MaxSilence, and OnlyHeard
	// drops all others.
	PreferHeard, OnlyHeard bool

	Now time.Time
	// TimeOfDay is the time that all entries agree on. They take turns at brittle endpoints
	// by it.
	TimeOfDay time.Time
	// crowded is set if endpoints of a brittle service may be full.
	crowded bool
}

// NoEndpointError reports that no endpoint can receive the request now.
type NoEndpointError struct {
	Service string
	// Known is the number of endpoints of the service, and DroppedBy names the
	// filter that dropped the last of them.
	Known     int
	DroppedBy string
	// AvailableAt is when the first endpoint can receive the request, if only rate
	// limits and back-offs prevent it; zero if that is unknown.
	AvailableAt time.Time
	// ReturnAt is when the caller should return; zero if AvailableAt is.
	ReturnAt time.Time
	// Backoff is a back-off that excluded an endpoint; nil if none did.
	Backoff *Backoff
	// VersionGone is set if the request needs a software version at which no ready
	// endpoint is known, so that waiting is of no use.
	VersionGone bool
}

// Error implements error.
func (e *NoEndpointError) Error() string {
	text := fmt.Sprintf("no endpoint of service %s available: %d known, last one dropped by filter %s", e.Service, e.Known, e.DroppedBy)
	if e.Backoff != nil {
		text += fmt.Sprintf(", endpoint %s backs off since %s for another %s", e.Backoff.Endpoint, e.Backoff.Age.Round(time.Millisecond), e.Backoff.Left.Round(time.Millisecond))
	}
	return text
}

// View is the state of an endpoint that filters and scorers use.
type View struct {
	*stats
	uncachedTokens int
	// secondsPerToken is the time in which endpoints of the service process a prompt token.
	secondsPerToken float64
	// slownessNow is how many times longer the endpoint takes now than is usual for its service.
	slownessNow float64
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

// Choose picks the endpoint for an attempt and records the start of the attempt.
// The error is a *NoEndpointError.
func (b *Board) Choose(r *Request) (*Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	members := b.services[r.Service]
	r.Rule.selectFocus(members)
	r.crowded = b.isCrowded(r.Service, r.Now)
	views, dropped, backingOff := b.applyFilters(r, members)
	if len(views) == 0 {
		views = b.pausedOnce(r, members)
	}
	if len(views) == 0 {
		b.noteNoEndpoint(r, dropped)
		none := &NoEndpointError{Service: r.Service, Known: len(members), DroppedBy: dropped, VersionGone: versionGone(r, members)}
		none.AvailableAt, none.ReturnAt = b.availableAt(r, members)
		if backingOff != nil {
			none.Backoff = backingOff.describeBackoff(r.Now)
		}
		return nil, none
	}
	b.scores = append(b.scores[:0], make([]float64, len(views))...)
	scores := b.scores
	parts := SharedParts(r.Prefix)
	secondsPerToken := b.model(r.Service).secondsPerTokenOrInitial()
	usual := b.paceOf(r.Service, r.Now)
	if preferred := preferredIndex(parts, views); preferred >= 0 {
		scores[preferred] = -float64(affinityTokens(parts)) * secondsPerToken
	}
	for i := range views {
		views[i].secondsPerToken = secondsPerToken
		views[i].slownessNow = views[i].slownessAt(usual, r.Now)
		for _, scorer := range b.scorers {
			scores[i] += scorer.Seconds(r, &views[i])
		}
		if r.PreferHeard {
			scores[i] += UnheardScorer{}.Seconds(r, &views[i])
		}
	}
	chosen := b.picker.Pick(scores)
	choice := b.startAttempt(r, &views[chosen], scores[chosen], len(views))
	if backingOff != nil {
		choice.Excluded = backingOff.describeBackoff(r.Now)
	}
	return choice, nil
}

// applyFilters returns the endpoints that pass the filters, the name of the filter that
// dropped the last of the others, and the last endpoint that a back-off dropped. The
// list is valid until the next call.
func (b *Board) applyFilters(r *Request, members []*stats) (views []View, dropped string, backingOff *stats) {
	views = b.views[:0]
	for _, s := range members {
		views = append(views, View{stats: s})
		view := &views[len(views)-1]
		if name := b.droppedBy(r, view); name != "" {
			dropped = name
			views = views[:len(views)-1]
			if s.backoff.active(r.Now) {
				backingOff = s
			}
			continue
		}
		view.uncachedTokens = max(r.PromptTokens-s.residentParts.cached(r.Prefix), 0)
	}
	b.views = views
	return views, dropped, backingOff
}

// pausedOnce returns the endpoints that are paused after a single failure. They are
// used if no other endpoint is left, since an attempt is better than a refusal.
func (b *Board) pausedOnce(r *Request, members []*stats) []View {
	despitePause := *r
	despitePause.IgnorePauses = true
	var views []View
	for _, s := range members {
		v := View{stats: s}
		if s.consecutiveFailures == 1 && b.droppedBy(&despitePause, &v) == "" {
			v.uncachedTokens = r.PromptTokens
			views = append(views, v)
		}
	}
	return views
}

// availableAt returns when the first of the endpoints can receive the request and when
// its caller should return, if all that could receive it limit their rate or back off.
// Otherwise it returns zero: a pause ends with the next success, and a connection may
// become free at any moment, as may an attempt after a back-off.
func (b *Board) availableAt(r *Request, members []*stats) (first, returnAt time.Time) {
	despitePauses := *r
	despitePauses.IgnorePauses = true
	var nextPermit, firstEnd, lastEnd time.Time
	for _, s := range members {
		switch b.droppedBy(&despitePauses, &View{stats: s}) {
		case RateFilter{}.Name():
			nextPermit = earlier(nextPermit, s.permits.NextAt(r.Now))
		case BackoffFilter{}.Name():
			if !s.backoff.active(r.Now) {
				return time.Time{}, time.Time{}
			}
			firstEnd = earlier(firstEnd, s.backoff.until)
			if s.backoff.until.After(lastEnd) {
				lastEnd = s.backoff.until
			}
		case "", ConnectionFilter{}.Name():
			return time.Time{}, time.Time{}
		}
	}
	if firstEnd.IsZero() {
		return nextPermit, nextPermit
	}
	return earlier(nextPermit, firstEnd), earlier(nextPermit, b.returnTime(firstEnd, lastEnd))
}

// earlier returns the earlier of two times; zero means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// droppedBy returns the name of the first filter that drops the endpoint, or "".
func (b *Board) droppedBy(r *Request, v *View) string {
	for _, filter := range b.filters {
		if !filter.Keep(r, v) {
			return filter.Name()
		}
	}
	// Few requests leave a silent endpoint, few endpoints are brittle, and each filter costs
	// time for all of them.
	if r.MaxSilence > 0 && !(SilenceFilter{}).Keep(r, v) {
		return SilenceFilter{}.Name()
	}
	if v.rejections != nil && !(BrittleFilter{}).Keep(r, v) {
		return BrittleFilter{}.Name()
	}
	return ""
}

// startAttempt records the start of an attempt. The caller must hold mu.
func (b *Board) startAttempt(r *Request, v *View, score float64, candidates int) *Choice {
	s := v.stats
	c := &Choice{
		Endpoint: s.endpoint, Score: score, Requests: s.requests(r.Now), Cached: r.PromptTokens - v.uncachedTokens,
		Candidates: candidates, board: b, stats: s, uncachedTokens: v.uncachedTokens, queuedTokens: s.prefillTokens, startedAt: r.Now, awaitingAnswer: true, secondsPerToken: v.secondsPerToken,
	}
	if s.permits != nil {
		s.permits.TakeAhead(r.Now)
	}
	if s.rejections != nil && r.crowded {
		s.rejections.Sent(s.inFlight, r.TimeOfDay)
	}
	if s.backoff.ramp > 0 {
		c.ramped = true
		s.backoff.unanswered++
	}
	s.inFlight++
	if s.silentSince.IsZero() {
		s.silentSince = r.Now
	}
	s.pending++
	s.sentSinceReport++
	s.prefillTokens += v.uncachedTokens
	b.countWork(r.Service, v.uncachedTokens, r.Now)
	s.residentParts.touch(r.Prefix)
	return c
}
