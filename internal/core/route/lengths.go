package route

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	lengthShards = 16
	// lengthGain is the weight of a new answer in the moving average.
	lengthGain = 0.05
	// maxLengthsPerShard bounds the pairs of workspace and model per shard.
	maxLengthsPerShard = 4096
	// defaultLength is the expected length before the first answer, in tokens.
	defaultLength = 128
)

// Lengths estimates the output length per workspace and model. It is safe for
// concurrent use.
type Lengths struct {
	shards [lengthShards]lengthShard
}

type lengthKey struct{ workspace, model string }

type lengthShard struct {
	mu    sync.RWMutex
	means map[lengthKey]float64
}

// NewLengths returns an estimator without observations.
func NewLengths() *Lengths {
	l := &Lengths{}
	for i := range l.shards {
		l.shards[i].means = make(map[lengthKey]float64)
	}
	return l
}

// Expect returns the expected output tokens, at most maxTokens and at least 1.
func (l *Lengths) Expect(workspace, model string, maxTokens int) int {
	key := lengthKey{workspace, model}
	shard := l.shard(key)
	shard.mu.RLock()
	mean, known := shard.means[key]
	shard.mu.RUnlock()
	if !known {
		mean = defaultLength
	}
	return max(min(int(mean+0.5), maxTokens), 1)
}

// Observe adds the length of a complete answer to the moving average.
func (l *Lengths) Observe(workspace, model string, tokens int) {
	key := lengthKey{workspace, model}
	shard := l.shard(key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	mean, known := shard.means[key]
	if !known {
		if len(shard.means) >= maxLengthsPerShard {
			clear(shard.means)
		}
		mean = float64(tokens)
	}
	shard.means[key] = mean + lengthGain*(float64(tokens)-mean)
}

func (l *Lengths) shard(key lengthKey) *lengthShard {
	return &l.shards[xxhash.Sum64String(key.workspace)%lengthShards]
}
