package retry

import (
	"math/rand/v2"
	"time"

	"github.com/boragelead/boragelead/internal/core/conf"
)

// maxDoublings prevents an overflow of the shifted backoff.
const maxDoublings = 20

// Backoff returns the pause before a retry, with full jitter: a random time between
// 0 and a bound that doubles with each retry. The first retry has number 0.
func Backoff(config conf.Retry, retry int, random *rand.Rand) time.Duration {
	base := time.Duration(config.BackoffBaseMS) * time.Millisecond
	limit := time.Duration(config.BackoffMaxMS) * time.Millisecond
	if base <= 0 {
		return 0
	}
	bound := base << min(max(retry, 0), maxDoublings)
	if limit > 0 {
		bound = min(bound, limit)
	}
	return time.Duration(random.Int64N(int64(bound) + 1))
}
