package bench

import (
	"context"
	"sync"

	"github.com/boragelead/boragelead/internal/load"
)

// balancer sends calls to the live daemons in turn, as the load balancer of
// the platform does. It knows at once which daemons are lost.
type balancer struct {
	mu      sync.Mutex
	targets []*load.OpenAITarget
	turn    int
}

func (b *balancer) next() *load.OpenAITarget {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
	return b.targets[b.turn%len(b.targets)]
}

// remove takes a daemon out of the turn.
func (b *balancer) remove(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var kept []*load.OpenAITarget
	for _, t := range b.targets {
		if t.BaseURL != "http://"+address {
			kept = append(kept, t)
		}
	}
	b.targets = kept
}

// Do implements load.Target.
func (b *balancer) Do(ctx context.Context, call load.Call, observer load.Observer) error {
	return b.next().Do(ctx, call, observer)
}
