package bench

import (
	"time"

	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/load"
)

// Names of the scenarios.
const (
	Steady      = "steady"
	Stragglers  = "stragglers"
	FloodLow    = "flood-low"
	FloodUrgent = "flood-urgent"
	BigCallers  = "big-callers"
	ReclaimWave = "reclaim-wave"
	DomainLoss  = "domain-loss"
	Poison      = "poison"
	Silent      = "silent"
	Chaos       = "chaos"
)

// Scenarios lists the scenarios in the order of the design page.
var Scenarios = []string{Steady, Stragglers, FloodLow, FloodUrgent, BigCallers, ReclaimWave, DomainLoss, Poison, Silent, Chaos}

const (
	// shortAnswer, longAnswer and waveAnswer are lengths of answers in tokens.
	shortAnswer = 64
	longAnswer  = 192
	// Generating waveAnswer tokens takes longer than the notice of a reclaim.
	waveAnswer = 384
	// promptBytes is small, so that prefill is cheap and decoding limits the capacity.
	promptBytes = 160
	// stragglerSlowdown is the factor by which stragglers are slower than their class.
	stragglerSlowdown = 4
	// floodLoad is the load of a flood as a share of the fleet's capacity.
	floodLoad = 1.5
	// otherLoad is the urgent load of another workspace as a share of the fleet's
	// capacity. It is well below the share of that workspace.
	otherLoad = 0.05
	// bigConcurrency is the number of concurrent calls of each large caller (closed loop).
	bigConcurrency = 150
	// poisonRate is the number of poison requests per second.
	poisonRate = 2
)

// Names of streams. streamUrgent, streamMiddle and streamLow are the streams of
// the first three ranks, in the order of the document.
const (
	streamUrgent = "urgent"
	streamMiddle = "middle"
	streamLow    = "low"
	streamFlood  = "flood"
	// streamOther is urgent load from a workspace other than the one that floods.
	streamOther  = "other"
	streamSmall  = "small"
	streamBig    = "big"
	streamPoison = "poison"
)

// workload builds the streams of one scenario.
type workload struct {
	doc      *conf.Document
	keys     callerKeys
	capacity float64
	duration time.Duration
}

// stream returns an open-loop stream of a rank whose load is a share of the fleet's capacity.
func (w *workload) stream(name, key string, rank int, share float64, tokens int) load.Stream {
	r := w.doc.Ranks[rank]
	return load.Stream{
		Name: name, Rate: share * w.capacity / float64(tokens), PromptBytes: promptBytes,
		Call:        load.Call{Key: key, Rank: r.Name, Model: w.doc.Models[0].Name, MaxTokens: tokens},
		FirstTarget: time.Duration(r.FirstTokenMS) * time.Millisecond,
		GapTarget:   time.Duration(r.PerTokenMS) * time.Millisecond,
	}
}

// rankStreams returns one stream per rank. The loads are shares of the fleet's capacity.
func (w *workload) rankStreams(urgent, middle, low float64, tokens int) []load.Stream {
	return []load.Stream{
		w.stream(streamUrgent, w.keys.urgent, 0, urgent, tokens),
		w.stream(streamMiddle, w.keys.middle, 1, middle, tokens),
		w.stream(streamLow, w.keys.low, 2, low, tokens),
	}
}

// floorStreams returns one stream per rank whose load equals the floor of the rank.
func (w *workload) floorStreams() []load.Stream {
	ranks := w.doc.Ranks
	return w.rankStreams(ranks[0].Floor, ranks[1].Floor, ranks[2].Floor, shortAnswer)
}

// streams returns the streams of a scenario. Without withLarge, BigCallers has
// the small caller only.
func (w *workload) streams(scenario string, withLarge bool) []load.Stream {
	switch scenario {
	case FloodLow:
		return w.flood(2, w.keys.low)
	case FloodUrgent:
		return w.flood(0, w.keys.urgent)
	case BigCallers:
		return w.bigCallers(withLarge)
	case ReclaimWave, DomainLoss:
		return w.rankStreams(0.1, 0.15, 0.1, waveAnswer)
	case Poison:
		poison := w.stream(streamPoison, w.keys.low, 2, 0, shortAnswer)
		poison.Rate = poisonRate
		poison.Call.Prompt = "a prompt with " + poisonMarker
		return append(w.rankStreams(0.1, 0.15, 0.1, shortAnswer), poison)
	case Chaos:
		return w.rankStreams(0.1, 0.1, 0.1, shortAnswer)
	default:
		return w.rankStreams(0.15, 0.2, 0.15, shortAnswer)
	}
}

// flood returns one stream per rank whose load equals its floor, except for the
// rank that floods: its stream is the flood, which starts after a fifth of the run
// and lasts to the end.
func (w *workload) flood(rank int, key string) []load.Stream {
	streams := w.floorStreams()
	flood := w.stream(streamFlood, key, rank, floodLoad, shortAnswer)
	flood.Start = w.duration / 5
	streams[rank] = flood
	if rank == 0 && w.keys.otherWorkspace != "" {
		streams = append(streams, w.stream(streamOther, w.keys.otherWorkspace, rank, otherLoad, shortAnswer))
	}
	return streams
}

// bigCallers returns a small caller and two large callers of the same workspace
// and rank. The large callers are closed loops, so each of them always has
// bigConcurrency calls in flight.
func (w *workload) bigCallers(withLarge bool) []load.Stream {
	small := w.stream(streamSmall, w.keys.middle, 1, 0.05, shortAnswer)
	small.Call.User = "small"
	if !withLarge {
		return []load.Stream{small}
	}
	large := w.stream(streamBig, w.keys.middle, 1, 0, longAnswer)
	large.Rate, large.Concurrency = 0, bigConcurrency
	first, second := large, large
	first.Name, first.Call.User = streamBig+"-1", "big-1"
	second.Name, second.Call.User = streamBig+"-2", "big-2"
	return []load.Stream{small, first, second}
}
