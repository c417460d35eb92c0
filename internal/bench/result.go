package bench

import (
	"time"

	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/load"
)

// Result holds the measurements of one run of a scenario with one policy.
type Result struct {
	Scenario    string  `json:"scenario"`
	Environment string  `json:"document"`
	Policy      Policy  `json:"policy"`
	Seed        uint64  `json:"seed"`
	Seconds     float64 `json:"seconds"`
	TimeScale   float64 `json:"time_scale"`
	// CapacityTokensPerSecond is the nominal decode rate of the fleet in tokens per second of real time.
	CapacityTokensPerSecond float64       `json:"capacity_tokens_per_s"`
	Streams                 []load.Report `json:"streams"`
	Ranks                   []RankShare   `json:"ranks"`
	// CostPerHour is the sum of the VM prices. CostPerKilotoken is the cost of the
	// VMs over the simulated time of the run per 1000 tokens of answers within
	// their targets.
	CostPerHour         float64 `json:"cost_per_hour"`
	TokensWithinTargets int64   `json:"tokens_within_target"`
	CostPerKilotoken    float64 `json:"cost_per_1000_tokens_within_target"`
	TokensGenerated     int     `json:"tokens_generated"`
	TokensRecomputed    int     `json:"tokens_recomputed"`
	// Floors holds, for a flood, the throughput of each other rank compared with its floor.
	Floors []FloorShare `json:"floors,omitempty"`
	// SmallWithoutLargeP95MS is the p95 of the small caller's total answer time in
	// a run without the large callers.
	SmallWithoutLargeP95MS float64       `json:"small_alone_p95_ms,omitempty"`
	Publications           *Publications `json:"publications,omitempty"`
	EnginesLost            int           `json:"engines_lost"`
	Faults                 []string      `json:"faults,omitempty"`
}

// RankShare holds the shares of the calls of a rank that met its targets for the
// first token (First), for the mean time between tokens (Gap) and for both. A
// refused or broken call counts as missing both targets.
type RankShare struct {
	Rank        string  `json:"rank"`
	Calls       int     `json:"calls"`
	FirstTarget float64 `json:"first_token_target_ms"`
	GapTarget   float64 `json:"between_tokens_target_ms"`
	First       float64 `json:"share_first_token"`
	Gap         float64 `json:"share_between_tokens"`
	Both        float64 `json:"share_both"`
	// Accepted is the share of the calls that met both targets, refused calls left out.
	Accepted float64 `json:"share_both_of_accepted"`
}

// FloorShare compares the throughput of a rank during a flood with its floor,
// in tokens per second.
type FloorShare struct {
	Rank     string  `json:"rank"`
	Floor    float64 `json:"floor_tokens_per_s"`
	Offered  float64 `json:"offered_tokens_per_s"`
	Received float64 `json:"received_tokens_per_s"`
	// Kept is Received / min(Floor, Offered).
	Kept float64 `json:"kept"`
}

// fillRanks computes the shares of each rank from the reports of its streams.
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
			accepted += r.Streams[i].Calls - countRefused(r.Streams[i])
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

// fillCost computes the cost of the run. Every VM is charged for the whole run;
// a lost VM is also charged for the time until its replacement. Engines run
// faster by the time scale, so a run of n seconds does the work of
// n / TimeScale seconds and is charged for that time.
func (r *Result) fillCost(vms []machine, duration time.Duration) {
	for _, m := range vms {
		r.CostPerHour += m.price
	}
	for _, s := range r.Streams {
		r.TokensWithinTargets += s.WithinTokens
	}
	if r.TokensWithinTargets > 0 {
		cost := r.CostPerHour * duration.Hours() / TimeScale
		r.CostPerKilotoken = cost / float64(r.TokensWithinTargets) * 1000
	}
}

// fillFloors compares the throughput of the ranks that do not flood with their
// floors. Received counts the tokens of complete answers, and Offered those of
// all calls that were sent. Both are divided by the time in which calls arrived.
func (r *Result) fillFloors(doc *conf.Document, streams []load.Stream, duration time.Duration) {
	for i, s := range streams {
		if s.Name == streamFlood || s.Name == streamOther {
			continue
		}
		floor := FloorShare{Rank: s.Call.Rank}
		for _, rank := range doc.Ranks {
			if rank.Name == s.Call.Rank {
				floor.Floor = rank.Floor * r.CapacityTokensPerSecond
			}
		}
		tokens := float64(s.Call.MaxTokens) / duration.Seconds()
		floor.Offered = float64(r.Streams[i].Calls) * tokens
		floor.Received = float64(r.Streams[i].Complete) * tokens
		floor.Kept = floor.Received / max(min(floor.Floor, floor.Offered), 1)
		r.Floors = append(r.Floors, floor)
	}
}
