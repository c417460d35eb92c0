package route

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// marks is the number of remembered points of the counters. With one per
	// markInterval they reach back 6.4 s, beyond any useful load report.
	marks        = 64
	markInterval = 100 * time.Millisecond
	// decodeSample is the number of tokens over which the time between tokens is averaged.
	decodeSample = 24
)

// counts are cumulative, so that the change since a past moment is a difference.
type counts struct {
	started, done              int64
	startedTokens, donePrefill int64
}

type mark struct {
	at int64
	counts
}

// state is what the router keeps of one endpoint between decisions. The
// counters that each request writes share one cache line, apart from what
// decisions only read.
type state struct {
	started, done, startedTokens, donePrefill atomic.Int64
	// lastMark is the time of the newest mark.
	lastMark atomic.Int64
	_        [24]byte

	learner learner
	// isolated is set by this entry, peerIsolated by a live peer.
	blocked, isolated, peerIsolated atomic.Bool
	slot, probing                   atomic.Int32
	peerInFlight, peerPending       atomic.Int64
	// reported is the batch size of the newest load report.
	reported atomic.Int64

	// key names the endpoint in summaries.
	key uint32

	mu          sync.Mutex
	sent        Speed
	sentAt      time.Time
	incarnation uint64
	class       string
	prior       Speed
	ring        [marks]mark
	next        int
	peers       map[string]peerReport
}

// inFlight counts what this entry has running there.
func (s *state) inFlight() int64 { return s.started.Load() - s.done.Load() }

// pending counts the prompt tokens of this entry that wait for a first token.
func (s *state) pending() int64 { return s.startedTokens.Load() - s.donePrefill.Load() }

func (s *state) counts() counts {
	return counts{
		started: s.started.Load(), done: s.done.Load(),
		startedTokens: s.startedTokens.Load(), donePrefill: s.donePrefill.Load(),
	}
}

// remember keeps the counters before the first change of each interval.
func (s *state) remember(now time.Time) {
	at := now.UnixNano()
	if last := s.lastMark.Load(); last != 0 && at-last < int64(markInterval) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if last := s.lastMark.Load(); last != 0 && at-last < int64(markInterval) {
		return
	}
	s.lastMark.Store(at)
	s.ring[s.next] = mark{at: at, counts: s.counts()}
	s.next = (s.next + 1) % marks
}

// at returns the counters as they were at a past moment, or up to markInterval
// after it.
func (s *state) at(moment time.Time) counts {
	t := moment.UnixNano()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.counts()
	for i := range marks {
		m := &s.ring[(s.next+marks-1-i)%marks]
		if m.at == 0 || m.at <= t {
			break
		}
		found = m.counts
	}
	return found
}

// Flight follows one attempt at an endpoint. Its methods feed the learner and
// the load estimate; they are called by one goroutine at a time.
type Flight struct {
	state      *state
	tokens     int
	work       int
	startedAt  time.Time
	sampleAt   time.Time
	sampled    int
	first, end bool
	probe      bool
}

// Start notes that the attempt is sent. Done must be called once at its end.
func (d *Decision) Start(now time.Time) Flight {
	f := Flight{state: d.state, tokens: d.tokens, work: d.work, startedAt: now, probe: d.Probe}
	s := d.state
	if s == nil {
		// The decision was made elsewhere, as by the baseline of a measurement.
		s = &state{peers: make(map[string]peerReport)}
		f.state = s
	}
	s.remember(now)
	s.started.Add(1)
	s.startedTokens.Add(int64(d.tokens))
	if d.Probe {
		s.probing.Add(1)
	}
	return f
}

// Tokens notes the arrival of count tokens. The first call ends the prefill.
func (f *Flight) Tokens(count int, now time.Time) {
	if !f.first {
		f.first = true
		f.endPrefill(now)
		f.state.learner.observePrefill(now.Sub(f.startedAt).Seconds(), f.work)
		f.sampleAt = now
		return
	}
	f.sampled += count
	if f.sampled >= decodeSample {
		f.flush(now)
	}
}

// Done notes the end of the attempt, however it ended. Further calls do nothing.
func (f *Flight) Done(now time.Time) {
	if f.end || f.state == nil {
		return
	}
	f.end = true
	if f.first {
		f.flush(now)
	} else {
		f.endPrefill(now)
	}
	f.state.remember(now)
	f.state.done.Add(1)
	if f.probe {
		f.state.probing.Add(-1)
	}
}

func (f *Flight) endPrefill(now time.Time) {
	f.state.remember(now)
	f.state.donePrefill.Add(int64(f.tokens))
}

func (f *Flight) flush(now time.Time) {
	if f.sampled == 0 {
		return
	}
	seconds := now.Sub(f.sampleAt).Seconds() / float64(f.sampled)
	batch := max(f.state.inFlight()+f.state.peerInFlight.Load(), f.state.reported.Load())
	f.state.learner.observeDecode(seconds, int(batch))
	f.sampleAt, f.sampled = now, 0
}
