package route

import (
	"math/rand/v2"
	"time"
)

// View is a candidate with what the router knows of it at the moment of a decision.
type View struct {
	*Candidate
	Speed Speed
	// Slots is that of the candidate.
	Slots int
	// Queue estimates the generations that run or wait at the endpoint.
	Queue int
	// WaitTokens estimates the prompt tokens to prefill before a new request.
	WaitTokens int
	// CachedTokens is the part of the prompt expected in the prefix cache.
	CachedTokens int
	// Price is per VM and hour.
	Price float64
	// Remote is set for another failure domain than that of the entry.
	Remote bool

	state     *state
	expiresAt int64
}

// Rank is the part of a rank's configuration that scoring uses.
type Rank struct {
	// FirstToken is the target in seconds and Worth the relative weight.
	FirstToken, Worth float64
	// FirstTokenWeight is the tightest target of all ranks divided by this one's.
	FirstTokenWeight float64
}

// Input is the input of filters and scorers beside the candidate.
type Input struct {
	Request    *Request
	Rank       Rank
	Now        time.Time
	nowNano    int64
	probeShare float64
	domain     int32
	// PriceWeight converts price per hour into seconds.
	PriceWeight float64
	// CrossDomain is added for a remote endpoint, in seconds.
	CrossDomain float64
}

// Filter drops candidates that cannot serve a request now.
type Filter interface {
	Name() string
	Keep(ctx *Input, view *View) bool
}

// Scorer estimates one part of the cost of a candidate, in seconds.
type Scorer interface {
	Name() string
	Seconds(ctx *Input, view *View) float64
}

// Scored is a candidate with its score.
type Scored struct {
	Score  float64
	Remote bool
	// Cached is the part of the prompt expected in the prefix cache, in tokens.
	Cached int32
	// Busy is the estimated use of the slots, above 1 where work waits.
	Busy  float32
	index int32
}

// Picker chooses among scored candidates and returns a position in the list,
// which is never empty.
type Picker interface {
	Pick(list []Scored, random *rand.Rand) int
}
