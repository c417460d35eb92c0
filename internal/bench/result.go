package bench

import (
	"time"

	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/load"
)

// Result is one run of a scenario with one policy.
type Result struct {
	Scenario    string  `json:"scenario"`
	Environment string  `json:"document"`
	Policy      Policy  `json:"policy"`
	Seed        uint64  `json:"seed"`
	Seconds     float64 `json:"seconds"`
	TimeScale   float64 `json:"time_scale"`
	// CapacityTPS is the nominal decode rate of the fleet in tokens per real second.
	CapacityTPS float64       `json:"capacity_tokens_per_s"`
	Streams     []load.Report `json:"streams"`
	Ranks       []RankShare   `json:"ranks"`
	// CostPerHour sums the prices of the VMs. CostPerKilotoken divides what they
	// cost in the simulated time of the run by the tokens of the answers within target.
	CostPerHour      float64 `json:"cost_per_hour"`
	TokensWithin     int64   `json:"tokens_within_target"`
	CostPerKilotoken float64 `json:"cost_per_1000_tokens_within_target"`
	TokensGenerated  int     `json:"tokens_generated"`
	TokensRecomputed int     `json:"tokens_recomputed"`
	// Floors says what other ranks kept of their floors in a flood.
	Floors []FloorShare `json:"floors,omitempty"`
	// SmallAloneP95MS is the small caller's p95 of the whole answer without the large callers.
	SmallAloneP95MS float64       `json:"small_alone_p95_ms,omitempty"`
	Publications    *Publications `json:"publications,omitempty"`
	EnginesLost     int           `json:"engines_lost"`
	Faults          []string      `json:"faults,omitempty"`
}

// RankShare is the share of the calls of a rank that met its targets.
// A refused or broken call met none.
type RankShare struct {
	Rank        string  `json:"rank"`
	Calls       int     `json:"calls"`
	FirstTarget float64 `json:"first_token_target_ms"`
	GapTarget   float64 `json:"between_tokens_target_ms"`
	First       float64 `json:"share_first_token"`
	Gap         float64 `json:"share_between_tokens"`
	Both        float64 `json:"share_both"`
	// Accepted is the share that met both targets among the calls that were not refused.
	Accepted float64 `json:"share_both_of_accepted"`
}

// FloorShare is what a rank received in a flood, in tokens per second.
type FloorShare struct {
	Rank     string  `json:"rank"`
	Floor    float64 `json:"floor_tokens_per_s"`
	Offered  float64 `json:"offered_tokens_per_s"`
	Received float64 `json:"received_tokens_per_s"`
	// Kept is received / min(floor, offered).
	Kept float64 `json:"kept"`
}

// fillRanks sums the streams of each rank.
func (r *Result) fillRanks(doc *conf.Document, streams []load.Stream) {
	for _, rank := range doc.Ranks {
		share := RankShare{Rank: rank.Name, FirstTarget: float64(rank.FirstTokenMS), GapTarget: float64(rank.PerTokenMS)}
		first, gap, both, accepted := 0, 0, 0, 0
		for i, s := range streams {
			if s.Call.Rank != rank.Name || s.Name == streamPoison {
				continue
			}
			share.Calls += r.Streams[i].Calls
			first += r.Streams[i].WithinFirst
			gap += r.Streams[i].WithinGap
			both += r.Streams[i].Within
			accepted += r.Streams[i].Calls - refusals(r.Streams[i])
		}
		if share.Calls == 0 {
			continue
		}
		calls := float64(share.Calls)
		share.First, share.Gap, share.Both = float64(first)/calls, float64(gap)/calls, float64(both)/calls
		share.Accepted = ratio(both, accepted)
		r.Ranks = append(r.Ranks, share)
	}
}

// fillCost charges every VM for the whole run, a lost one until its
// replacement included. An engine that runs faster by the time scale does the
// work of that much more time, so the run costs seconds / TimeScale.
func (r *Result) fillCost(list []machine, duration time.Duration) {
	for _, m := range list {
		r.CostPerHour += m.price
	}
	for _, s := range r.Streams {
		r.TokensWithin += s.WithinTokens
	}
	if r.TokensWithin > 0 {
		cost := r.CostPerHour * duration.Hours() / TimeScale
		r.CostPerKilotoken = cost / float64(r.TokensWithin) * 1000
	}
}

// fillFloors compares the ranks that do not flood with their floors. Whole
// answers count for the time in which calls arrived, and offered is what the
// callers really sent.
func (r *Result) fillFloors(doc *conf.Document, streams []load.Stream, duration time.Duration) {
	for i, s := range streams {
		if s.Name == streamFlood || s.Name == streamOther {
			continue
		}
		floor := FloorShare{Rank: s.Call.Rank}
		for _, rank := range doc.Ranks {
			if rank.Name == s.Call.Rank {
				floor.Floor = rank.Floor * r.CapacityTPS
			}
		}
		tokens := float64(s.Call.MaxTokens) / duration.Seconds()
		floor.Offered = float64(r.Streams[i].Calls) * tokens
		floor.Received = float64(r.Streams[i].Whole) * tokens
		floor.Kept = floor.Received / max(min(floor.Floor, floor.Offered), 1)
		r.Floors = append(r.Floors, floor)
	}
}
