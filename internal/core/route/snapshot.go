package route

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// stragglerFactor is how much slower than the median of its class an endpoint
// must be, between tokens or in prefill, to count as a straggler.
const stragglerFactor = 1.5

// Snapshot is an immutable list of candidates with values that are computed once
// for many decisions. It is rebuilt when the registry changes, and at least with
// each load report.
type Snapshot struct {
	entries []entry
	// config is the configuration that prices and priors come from.
	config *config
	// pools caches the pool of each key. The map is copied on write, so that
	// reads take no lock.
	mu    sync.Mutex
	pools atomic.Pointer[map[poolKey]*pool]
	// domainNumbers assigns a number to each failure domain.
	domainNumbers map[string]int32
}

// entry is a candidate with values that are computed once per snapshot.
type entry struct {
	*Candidate
	state          *state
	countsAtReport counts
	// These fields are copies of the candidate fields that each decision reads,
	// so that a scan reads less memory.
	slots, running, waitingTokens, peerInFlight int64
	loadAt                                      int64
	expiresAt                                   int64
	price                                       float64
	straggler                                   bool
	// domainNumber is the number of the failure domain within the snapshot.
	domainNumber int32
}

// poolKey identifies the requests that the same candidates can serve.
type poolKey struct {
	model, version, adapter string
	role                    endpoint.Role
}

// pool lists the eligible entries of a key, ordered by failure domain. domains
// holds the index range of each failure domain.
type pool struct {
	entries    []*entry
	domains    map[string][2]int
	stragglers []int32
}

// Snapshot prepares candidates for decisions. The candidates must not be modified
// afterwards.
func (r *Router) Snapshot(candidates []*Candidate) *Snapshot {
	cfg := r.config.Load()
	s := &Snapshot{entries: make([]entry, len(candidates)), config: cfg}
	s.pools.Store(&map[poolKey]*pool{})
	for i, c := range candidates {
		st := r.updateState(c, cfg)
		st.reportedBatch.Store(int64(c.Load.Running))
		s.entries[i] = entry{
			Candidate: c, state: st, countsAtReport: st.at(c.LoadAt), price: cfg.price(c), slots: int64(c.Slots),
			running: int64(c.Load.Running + c.Load.Waiting), waitingTokens: int64(c.Load.WaitingTokens),
			peerInFlight: int64(c.PeerInFlight),
		}
		if !c.LoadAt.IsZero() {
			s.entries[i].loadAt = c.LoadAt.UnixNano()
		}
		if !c.Expires.IsZero() {
			s.entries[i].expiresAt = c.Expires.UnixNano()
		}
	}
	slices.SortStableFunc(s.entries, func(a, b entry) int {
		if n := strings.Compare(a.FailureDomain, b.FailureDomain); n != 0 {
			return n
		}
		return strings.Compare(a.ID, b.ID)
	})
	s.numberDomains()
	s.detectStragglers()
	return s
}

func (s *Snapshot) numberDomains() {
	s.domainNumbers = make(map[string]int32)
	for i := range s.entries {
		e := &s.entries[i]
		number, known := s.domainNumbers[e.FailureDomain]
		if !known {
			number = int32(len(s.domainNumbers))
			s.domainNumbers[e.FailureDomain] = number
		}
		e.domainNumber = number
	}
}

// domainNumber returns the number of a failure domain. It returns -1 for the empty
// name, for which no endpoint is remote, and an unused number for a failure domain
// without endpoints.
func (s *Snapshot) domainNumber(name string) int32 {
	if name == "" {
		return -1
	}
	if number, known := s.domainNumbers[name]; known {
		return number
	}
	return int32(len(s.domainNumbers))
}

// detectStragglers compares the speed of each endpoint with the median of its class.
func (s *Snapshot) detectStragglers() {
	classes := make(map[string][]*entry)
	for i := range s.entries {
		classes[s.entries[i].Class] = append(classes[s.entries[i].Class], &s.entries[i])
	}
	for _, list := range classes {
		prefill := make([]float64, 0, len(list))
		intervals := make([]float64, 0, len(list))
		for _, e := range list {
			speed := e.state.learner.speed()
			prefill = append(prefill, speed.PrefillS)
			intervals = append(intervals, speed.TokenInterval(max(e.Slots/2, 1)))
		}
		p, b := median(prefill), median(intervals)
		for _, e := range list {
			speed := e.state.learner.speed()
			e.straggler = speed.PrefillS > stragglerFactor*p || speed.TokenInterval(max(e.Slots/2, 1)) > stragglerFactor*b
		}
	}
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// pool returns the candidates for a key. The first request with a key computes
// them.
func (s *Snapshot) pool(key poolKey) *pool {
	p := (*s.pools.Load())[key]
	if p != nil {
		return p
	}
	p = &pool{domains: make(map[string][2]int)}
	for i := range s.entries {
		e := &s.entries[i]
		if !eligible(key, e.Candidate) {
			continue
		}
		index := len(p.entries)
		bounds, known := p.domains[e.FailureDomain]
		if !known {
			bounds[0] = index
		}
		p.domains[e.FailureDomain] = [2]int{bounds[0], index + 1}
		if e.straggler {
			p.stragglers = append(p.stragglers, int32(index))
		}
		p.entries = append(p.entries, e)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := *s.pools.Load(); len(known) < maxPools {
		updated := maps.Clone(known)
		updated[key] = p
		s.pools.Store(&updated)
	}
	return p
}

// maxPools bounds the cached pools, because callers can send any version or adapter.
const maxPools = 256

// view fills v with the current state of the entry.
func (e *entry) view(v *View, in *Input) {
	s := e.state
	v.Candidate, v.state, v.expiresAt, v.Price = e.Candidate, s, e.expiresAt, e.price
	v.Slots = int(e.slots)
	v.Speed = s.learner.speed()
	v.Remote = in.domainNumber >= 0 && e.domainNumber != in.domainNumber
	current := s.counts()
	inFlight := current.started - current.done + max(s.peerInFlight.Load(), e.peerInFlight)
	sinceReport := (current.started - e.countsAtReport.started) - (current.done - e.countsAtReport.done)
	v.Queue = int(max(inFlight, e.running+sinceReport, 0))
	v.WaitTokens = e.waitTokens(in, &current, &v.Speed)
	v.CachedTokens = 0
}

// waitTokens estimates the prompt tokens to prefill before a new request: the
// reported tokens, minus those processed and plus those sent since the report. It
// is at least the number of tokens that this entry and its peers have pending.
func (e *entry) waitTokens(in *Input, current *counts, speed *Speed) int {
	waiting := 0.0
	if e.waitingTokens > 0 {
		age := float64(in.nowNano-e.loadAt) / float64(time.Second)
		waiting = max(float64(e.waitingTokens)-age/speed.PrefillS, 0)
	}
	sinceReport := (current.startedTokens - e.countsAtReport.startedTokens) - (current.donePrefill - e.countsAtReport.donePrefill)
	waiting += float64(max(sinceReport, 0))
	return int(max(waiting, float64(current.startedTokens-current.donePrefill+e.state.peerPending.Load())))
}
