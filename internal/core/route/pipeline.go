package route

import (
	"math/rand/v2"
	"time"
)

// View is a candidate with the router's estimates for it at the time of a decision.
type View struct {
	*Candidate
	Speed Speed
	// Slots is the number of slots of the candidate.
	Slots int
	// Queue is the estimated number of generations that run or wait at the endpoint.
	Queue int
	// WaitTokens is the estimated number of prompt tokens to prefill before
	// those of a new request.
	WaitTokens int
	// CachedTokens is the part of the prompt expected in the prefix cache.
	CachedTokens int
	// Price is the price of the VM per hour.
	Price float64
	// Remote is set if the endpoint is in another failure domain than the entry.
	Remote bool

	state     *state
	expiresAt int64
}

// Rank is the part of a rank's configuration that scoring uses.
type Rank struct {
	// FirstToken is the target for the time to the first token in seconds, and
	// Worth the relative weight of the rank.
	FirstToken, Worth float64
	// FirstTokenWeight is the shortest target of all ranks divided by the target
	// of this rank.
	FirstTokenWeight float64
}

// Input holds the arguments of filters and scorers that are the same for all
// candidates of a decision.
type Input struct {
	Request      *Request
	Rank         Rank
	Now          time.Time
	nowNano      int64
	probeShare   float64
	domainNumber int32
	// PriceWeight converts price per hour into seconds.
	PriceWeight float64
	// CrossDomain is the penalty for a remote endpoint, in seconds.
	CrossDomain float64
}

// Filter drops candidates that cannot serve a request now.
type Filter interface {
	Name() string
	Keep(in *Input, view *View) bool
}

// Scorer estimates one part of the cost of a candidate, in seconds.
type Scorer interface {
	Name() string
	Seconds(in *Input, view *View) float64
}

// Scored is a candidate with its score.
type Scored struct {
	Score  float64
	Remote bool
	// Cached is the part of the prompt expected in the prefix cache, in tokens.
	Cached int32
	// Utilization is the estimated share of slots in use. It is above 1 if work
	// waits for a slot.
	Utilization float32
	index       int32
}

// Picker chooses among scored candidates and returns a position in the list,
// which is never empty.
type Picker interface {
	Pick(list []Scored, random *rand.Rand) int
}
