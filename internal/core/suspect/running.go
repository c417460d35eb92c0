package suspect

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const runningShards = 32

// RunningRequests records which requests of this entry run at which
// endpoint. It is safe for concurrent use.
type RunningRequests struct {
	shards [runningShards]runningShard
}

type runningShard struct {
	mu        sync.Mutex
	endpoints map[string]map[Fingerprint]int
}

// NewRunningRequests returns an empty record.
func NewRunningRequests() *RunningRequests {
	r := &RunningRequests{}
	for i := range r.shards {
		r.shards[i].endpoints = make(map[string]map[Fingerprint]int)
	}
	return r
}

func (r *RunningRequests) shard(endpoint string) *runningShard {
	return &r.shards[xxhash.Sum64String(endpoint)%runningShards]
}

// Start records an attempt. It must be called before the attempt is sent.
func (r *RunningRequests) Start(endpoint string, f Fingerprint) {
	s := r.shard(endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoints[endpoint] == nil {
		s.endpoints[endpoint] = make(map[Fingerprint]int)
	}
	s.endpoints[endpoint][f]++
}

// End records the end of an attempt. It does nothing for an attempt that Start did
// not record. After a crash of the endpoint it must be called after Tracker.Crash.
func (r *RunningRequests) End(endpoint string, f Fingerprint) {
	s := r.shard(endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.endpoints[endpoint]
	if m == nil {
		return
	}
	if m[f]--; m[f] <= 0 {
		delete(m, f)
	}
	if len(m) == 0 {
		delete(s.endpoints, endpoint)
	}
}

// At returns the requests that run at an endpoint.
func (r *RunningRequests) At(endpoint string) []Fingerprint {
	s := r.shard(endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Fingerprint, 0, len(s.endpoints[endpoint]))
	for f := range s.endpoints[endpoint] {
		list = append(list, f)
	}
	return list
}
