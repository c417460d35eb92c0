package route

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// checkpointCount is the number of stored checkpoints of the counters. With one
	// per checkpointInterval they cover 6.4 s, longer than the age of any useful
	// load report.
	checkpointCount    = 64
	checkpointInterval = 100 * time.Millisecond
	// decodeSample is the minimum number of tokens over which the time between
	// tokens is averaged, except at the end of an attempt.
	decodeSample = 24
)

// counts are cumulative counters: the change between two times is a difference.
type counts struct {
	started, done              int64
	startedTokens, donePrefill int64
}

type checkpoint struct {
	at int64
	counts
}

// state is what the router stores about one endpoint between decisions. The
// counters that each request writes share one cache line, separate from the
// fields that decisions only read.
type state struct {
	started, done, startedTokens, donePrefill atomic.Int64
	// lastCheckpoint is the time of the newest checkpoint.
	lastCheckpoint atomic.Int64
	_              [24]byte

	learner learner
	// isolated is set by this entry, peerIsolated by a peer whose lease is valid.
	blocked, isolated, peerIsolated atomic.Bool
	prefixSlot, probes              atomic.Int32
	peerInFlight, peerPending       atomic.Int64
	// reportedBatch is the batch size in the newest load report.
	reportedBatch atomic.Int64

	// key identifies the endpoint in summaries.
	key uint32

	mu             sync.Mutex
	sentSpeed      Speed
	speedSentAt    time.Time
	incarnation    uint64
	class          string
	prior          Speed
	checkpoints    [checkpointCount]checkpoint
	nextCheckpoint int
	peers          map[string]peerReport
}

// inFlight returns the number of attempts of this entry at the endpoint.
func (s *state) inFlight() int64 { return s.started.Load() - s.done.Load() }

// pending returns the number of uncached prompt tokens in attempts of this entry
// that have not received their first token.
func (s *state) pending() int64 { return s.startedTokens.Load() - s.donePrefill.Load() }

func (s *state) counts() counts {
	return counts{
		started: s.started.Load(), done: s.done.Load(),
		startedTokens: s.startedTokens.Load(), donePrefill: s.donePrefill.Load(),
	}
}

// saveCheckpoint stores the counters before the first change in each
// checkpointInterval.
func (s *state) saveCheckpoint(now time.Time) {
	at := now.UnixNano()
	if last := s.lastCheckpoint.Load(); last != 0 && at-last < int64(checkpointInterval) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if last := s.lastCheckpoint.Load(); last != 0 && at-last < int64(checkpointInterval) {
		return
	}
	s.lastCheckpoint.Store(at)
	s.checkpoints[s.nextCheckpoint] = checkpoint{at: at, counts: s.counts()}
	s.nextCheckpoint = (s.nextCheckpoint + 1) % checkpointCount
}

// at returns the counters at a past time, or up to checkpointInterval after it.
func (s *state) at(moment time.Time) counts {
	t := moment.UnixNano()
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.counts()
	for i := range checkpointCount {
		m := &s.checkpoints[(s.nextCheckpoint+checkpointCount-1-i)%checkpointCount]
		if m.at == 0 || m.at <= t {
			break
		}
		result = m.counts
	}
	return result
}

// Flight tracks one attempt at an endpoint. Its methods update the speed and load
// estimates. They must not be called concurrently.
type Flight struct {
	state                 *state
	uncachedTokens        int
	prefillWork           int
	startedAt             time.Time
	sampleStart           time.Time
	sampleTokens          int
	firstTokenSeen, ended bool
	probe                 bool
}

// Start records that the attempt is sent. Done must be called when it ends.
func (d *Decision) Start(now time.Time) Flight {
	f := Flight{state: d.state, uncachedTokens: d.uncachedTokens, prefillWork: d.prefillWork, startedAt: now, probe: d.Probe}
	s := d.state
	if s == nil {
		// The decision was not made by a router, for example in a benchmark baseline.
		s = &state{peers: make(map[string]peerReport)}
		f.state = s
	}
	s.saveCheckpoint(now)
	s.started.Add(1)
	s.startedTokens.Add(int64(d.uncachedTokens))
	if d.Probe {
		s.probes.Add(1)
	}
	return f
}

// Tokens records the arrival of count tokens. The first call ends the prefill.
func (f *Flight) Tokens(count int, now time.Time) {
	if !f.firstTokenSeen {
		f.firstTokenSeen = true
		f.endPrefill(now)
		f.state.learner.observePrefill(now.Sub(f.startedAt).Seconds(), f.prefillWork)
		f.sampleStart = now
		return
	}
	f.sampleTokens += count
	if f.sampleTokens >= decodeSample {
		f.observeSample(now)
	}
}

// Done records the end of the attempt, whatever its outcome. Further calls do
// nothing.
func (f *Flight) Done(now time.Time) {
	if f.ended || f.state == nil {
		return
	}
	f.ended = true
	if f.firstTokenSeen {
		f.observeSample(now)
	} else {
		f.endPrefill(now)
	}
	f.state.saveCheckpoint(now)
	f.state.done.Add(1)
	if f.probe {
		f.state.probes.Add(-1)
	}
}

func (f *Flight) endPrefill(now time.Time) {
	f.state.saveCheckpoint(now)
	f.state.donePrefill.Add(int64(f.uncachedTokens))
}

func (f *Flight) observeSample(now time.Time) {
	if f.sampleTokens == 0 {
		return
	}
	seconds := now.Sub(f.sampleStart).Seconds() / float64(f.sampleTokens)
	batch := max(f.state.inFlight()+f.state.peerInFlight.Load(), f.state.reportedBatch.Load())
	f.state.learner.observeDecode(seconds, int(batch))
	f.sampleStart, f.sampleTokens = now, 0
}
