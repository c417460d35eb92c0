package pick

import "time"

const (
	// maxBackoff limits the back-off that one answer can ask for.
	maxBackoff = 10 * time.Minute
	// backoffSpread is the share of a back-off by which it is prolonged at random, but at
	// most maxBackoffSpread, since many entries back off from an endpoint at once.
	backoffSpread    = 0.1
	maxBackoffSpread = 500 * time.Millisecond
	// rampStart is how many requests without an answer an endpoint may have after a
	// back-off. Each answer doubles the number, and beyond rampEnd it is not limited.
	rampStart = 1
	rampEnd   = 32
	// returnSpread is the time after the end of the last back-off over which callers are
	// told to return, so that an endpoint is not full again at once.
	returnSpread = 500 * time.Millisecond
	// backoffLogInterval is the least time between two log lines about the back-offs of
	// an endpoint.
	backoffLogInterval = time.Second
)

// backoff is the time in which an incarnation of an endpoint wants no request of this
// entry, and the limited load after it. The zero value is no back-off.
type backoff struct {
	// since is when the endpoint asked first, and until the end; zero without a back-off.
	since, until time.Time
	// askedAt is the time of day at which the endpoint asked last, in Unix milliseconds.
	askedAt int64
	// ramp limits the attempts without an answer after the end; 0 means no limit.
	ramp int
	// unanswered counts those attempts.
	unanswered int
	// loggedAt is when the start of a back-off was last logged. logged is set if the end
	// of the current one is to be logged too.
	loggedAt time.Time
	logged   bool
}

func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }

// extend applies an answer. Requests that were sent together get several answers about
// one back-off, so that the latest end holds.
func (b *backoff) extend(until, now time.Time) {
	if !b.active(now) {
		b.since = now
	}
	if until.After(b.until) {
		b.until = until
	}
	b.ramp = rampStart
}

// answered applies an answer to an attempt of the ramp.
func (b *backoff) answered() {
	if b.ramp *= 2; b.ramp > rampEnd {
		b.ramp = 0
	}
}

// inheritBackoff applies the back-off of the former incarnation of an endpoint if the new
// one had already started when it was asked for: the announcement of the new one arrives
// later than its first answers.
func (s *stats) inheritBackoff(former *stats) {
	if former.backoff.askedAt >= s.endpoint.Born {
		s.backoff = former.backoff
		s.backoff.unanswered = 0
	}
}

// admits reports whether the endpoint may get a request.
func (b *backoff) admits(now time.Time) bool {
	return b.ramp == 0 || !b.active(now) && b.unanswered < b.ramp
}

// BackoffFilter drops endpoints that want no request of this entry for a while, and those
// that have as many unanswered attempts as they may have after that.
type BackoffFilter struct{}

// Name implements Filter.
func (BackoffFilter) Name() string { return "backoff" }

// Keep implements Filter.
func (BackoffFilter) Keep(r *Request, v *View) bool { return v.backoff.admits(r.Now) }

// Backoff describes a back-off for logs.
type Backoff struct {
	Endpoint string
	// Age is the time since the endpoint asked for it.
	Age time.Duration
	// Left is the time to its end; negative after it.
	Left time.Duration
}

func (s *stats) describeBackoff(now time.Time) *Backoff {
	return &Backoff{Endpoint: s.endpoint.ID, Age: now.Sub(s.backoff.since), Left: s.backoff.until.Sub(now)}
}

// RecordBackoff records that the endpoint wants no request of this entry for a time.
// timeOfDay is the agreed time of day. It returns the back-off if its start is to be
// logged.
func (c *Choice) RecordBackoff(wanted time.Duration, now, timeOfDay time.Time) (started *Backoff) {
	b := c.board
	b.mu.Lock()
	defer b.mu.Unlock()
	s := c.stats
	begins := !s.backoff.active(now)
	s.backoff.askedAt = timeOfDay.UnixMilli()
	wanted = min(wanted, maxBackoff)
	spread := min(time.Duration(backoffSpread*float64(wanted)), maxBackoffSpread)
	s.backoff.extend(now.Add(wanted+time.Duration(b.random()*float64(spread))), now)
	if current := b.endpoints[c.Endpoint.ID]; current != nil && current != s {
		current.inheritBackoff(s)
	}
	if !begins || now.Sub(s.backoff.loggedAt) < backoffLogInterval {
		return nil
	}
	s.backoff.loggedAt, s.backoff.logged = now, true
	return s.describeBackoff(now)
}

// Expire returns the back-offs that have ended and whose end is to be logged, and forgets
// endpoints that are not listed and of which nothing is left to remember.
func (b *Board) Expire(now time.Time) (ended []Backoff) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.endpoints {
		if s.backoff.logged && !s.backoff.active(now) {
			s.backoff.logged = false
			ended = append(ended, *s.describeBackoff(now))
		}
	}
	b.expireBrittle(now)
	for id, s := range b.unlisted {
		if s.isForgettable(now) {
			delete(b.unlisted, id)
		}
	}
	return ended
}

// returnTime returns when the caller of a request should return, if the endpoints that
// could take it back off until first and last: at random, so that not all callers return
// at the same moment.
func (b *Board) returnTime(first, last time.Time) time.Time {
	spread := last.Sub(first) + returnSpread
	return first.Add(time.Duration(b.random() * float64(spread)))
}
