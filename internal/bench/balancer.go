package bench

import (
	"context"
	"sync"

	"github.com/boragelead/boragelead/internal/load"
)

// balancer distributes calls over the live daemons in round-robin order, as the
// load balancer of the platform does. Lost daemons are removed immediately,
// without a delay for health checks.
type balancer struct {
	mu      sync.Mutex
	targets []*load.OpenAITarget
	counter int
}

func (b *balancer) next() *load.OpenAITarget {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counter++
	return b.targets[b.counter%len(b.targets)]
}

// remove takes a daemon out of the rotation.
func (b *balancer) remove(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var remaining []*load.OpenAITarget
	for _, t := range b.targets {
		if t.BaseURL != "http://"+address {
			remaining = append(remaining, t)
		}
	}
	b.targets = remaining
}

// Do implements load.Target.
func (b *balancer) Do(ctx context.Context, call load.Call, observer load.Observer) error {
	return b.next().Do(ctx, call, observer)
}
