package entry

import (
	"time"

	"github.com/boragelead/boragelead/internal/core/retry"
)

// QueueView is the admission load of a group of models that share endpoints.
type QueueView struct {
	// Group is the name of the first model in the group.
	Group            string
	Running, Waiting int
}

// Queues returns the admission load of each group of models.
func (s *Service) Queues() []QueueView {
	var list []QueueView
	for _, pool := range s.pools.list() {
		running, waiting := pool.admitter.Load()
		list = append(list, QueueView{Group: pool.key, Running: running, Waiting: waiting})
	}
	return list
}

// EndpointView returns the state of an endpoint's circuit breaker and this
// daemon's share of its concurrency limit.
func (s *Service) EndpointView(id string, now time.Time) (breaker string, limit int) {
	state := s.directory.find(id)
	if state == nil {
		return "", 0
	}
	return breakerName(state.breaker.State(now)), s.pools.shares.Share(id, state.limiter.Limit())
}

func breakerName(state retry.BreakerState) string {
	switch state {
	case retry.Open:
		return "open"
	case retry.HalfOpen:
		return "half_open"
	default:
		return "closed"
	}
}
