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
	// shortAnswer and longAnswer are lengths of answers in tokens.
	shortAnswer = 64
	longAnswer  = 192
	// waveAnswer takes longer than the notice of a reclaim.
	waveAnswer = 384
	// promptBytes keep the prefill small, so that capacity is that of decoding.
	promptBytes = 160
	// stragglerFactor slows the stragglers below the speed of their class.
	stragglerFactor = 4
	// floodLoad is a flood as a share of the fleet's capacity.
	floodLoad = 1.5
	// otherLoad is the urgent work of another workspace, well below its share.
	otherLoad = 0.05
	// bigConcurrency is the closed loop of each large caller.
	bigConcurrency = 150
	// poisonRate is how often the poison request is sent again, per second.
	poisonRate = 2
)

// Names of streams. Those of the ranks are in the order of the document.
const (
	streamUrgent = "urgent"
	streamMiddle = "middle"
	streamLow    = "low"
	streamFlood  = "flood"
	// streamOther is urgent work of another workspace than the one that floods.
	streamOther  = "other"
	streamSmall  = "small"
	streamBig    = "big"
	streamPoison = "poison"
)

// workload builds the streams of one scenario.
type workload struct {
	doc      *conf.Document
	keys     callers
	capacity float64
	duration time.Duration
}

// stream returns an open-loop stream of a rank at a share of the fleet's capacity.
func (w *workload) stream(name, key string, rank int, share float64, tokens int) load.Stream {
	r := w.doc.Ranks[rank]
	return load.Stream{
		Name: name, Rate: share * w.capacity / float64(tokens), PromptBytes: promptBytes,
		Call:        load.Call{Key: key, Rank: r.Name, Model: w.doc.Models[0].Name, MaxTokens: tokens},
		FirstTarget: time.Duration(r.FirstTokenMS) * time.Millisecond,
		GapTarget:   time.Duration(r.PerTokenMS) * time.Millisecond,
	}
}

// base returns one stream per rank at shares of the fleet's capacity.
func (w *workload) base(urgent, middle, low float64, tokens int) []load.Stream {
	return []load.Stream{
		w.stream(streamUrgent, w.keys.urgent, 0, urgent, tokens),
		w.stream(streamMiddle, w.keys.middle, 1, middle, tokens),
		w.stream(streamLow, w.keys.low, 2, low, tokens),
	}
}

// floors returns one stream per rank that asks for just its floor.
func (w *workload) floors() []load.Stream {
	r := w.doc.Ranks
	return w.base(r[0].Floor, r[1].Floor, r[2].Floor, shortAnswer)
}

// streams returns the load of a scenario. The large callers are left out on request.
func (w *workload) streams(scenario string, withBig bool) []load.Stream {
	switch scenario {
	case FloodLow:
		return w.flood(2, w.keys.low)
	case FloodUrgent:
		return w.flood(0, w.keys.urgent)
	case BigCallers:
		return w.bigCallers(withBig)
	case ReclaimWave, DomainLoss:
		return w.base(0.1, 0.15, 0.1, waveAnswer)
	case Poison:
		poison := w.stream(streamPoison, w.keys.low, 2, 0, shortAnswer)
		poison.Rate = poisonRate
		poison.Call.Prompt = "a prompt with " + poisonMarker
		return append(w.base(0.1, 0.15, 0.1, shortAnswer), poison)
	case Chaos:
		return w.base(0.1, 0.1, 0.1, shortAnswer)
	default:
		return w.base(0.15, 0.2, 0.15, shortAnswer)
	}
}

// flood adds a flood of one rank, from a fifth of the run to its end, to
// streams that ask for their floors. The rank that floods has no other stream.
func (w *workload) flood(rank int, key string) []load.Stream {
	streams := w.floors()
	flood := w.stream(streamFlood, key, rank, floodLoad, shortAnswer)
	flood.Start = w.duration / 5
	streams[rank] = flood
	if rank == 0 && w.keys.other != "" {
		streams = append(streams, w.stream(streamOther, w.keys.other, rank, otherLoad, shortAnswer))
	}
	return streams
}

// bigCallers puts two large callers beside a small one of the same workspace
// and rank. The large ones are a closed loop, so they always want more.
func (w *workload) bigCallers(withBig bool) []load.Stream {
	small := w.stream(streamSmall, w.keys.middle, 1, 0.05, shortAnswer)
	small.Call.User = "small"
	if !withBig {
		return []load.Stream{small}
	}
	big := w.stream(streamBig, w.keys.middle, 1, 0, longAnswer)
	big.Rate, big.Concurrency = 0, bigConcurrency
	one, two := big, big
	one.Name, one.Call.User = streamBig+"-1", "big-1"
	two.Name, two.Call.User = streamBig+"-2", "big-2"
	return []load.Stream{small, one, two}
}
