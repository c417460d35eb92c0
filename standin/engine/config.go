package engine

import (
	"context"
	"math"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// Defaults of a Config.
const (
	defaultSlots            = 16
	defaultMaxWaiting       = 1024
	defaultKVCapacityTokens = 200_000
	defaultKVBytesPerToken  = 100_000
	defaultTransferRate     = 2_000_000_000
	defaultKVHold           = 30 * time.Second
	defaultAnnounceInterval = time.Second
	defaultLease            = 5 * time.Second
	defaultPingInterval     = 500 * time.Millisecond
	defaultFrameTokens      = 32
	// defaultMinRound bounds the rate of batch rounds. Steps shorter than a
	// round are grouped into frames of several tokens.
	defaultMinRound = time.Millisecond
)

// Speed is the speed of a machine class.
type Speed struct {
	// PrefillTokensPerSecond is shared by the generations in prefill.
	PrefillTokensPerSecond float64
	// DecodeStep is the time of one decode step for a batch of one.
	DecodeStep time.Duration
	// DecodeStepPerSequence is added to a step for each further generation.
	DecodeStepPerSequence time.Duration
}

// step returns the time between two tokens of a generation at a batch size.
func (s Speed) step(batch int) time.Duration {
	return s.DecodeStep + time.Duration(max(batch-1, 0))*s.DecodeStepPerSequence
}

// DefaultSpeed is a mid-range machine.
var DefaultSpeed = Speed{
	PrefillTokensPerSecond: 8000,
	DecodeStep:             12 * time.Millisecond,
	DecodeStepPerSequence:  200 * time.Microsecond,
}

// batchShare is the part of a full batch's step time that grows with the batch.
const batchShare = 0.5

// ClassSpeed returns the speed of a machine class that is described by its
// prefill speed and by its decode throughput with all slots in use.
func ClassSpeed(prefillTokensPerSecond, decodeTokensPerSecond float64, slots int) Speed {
	full := float64(slots) / decodeTokensPerSecond * float64(time.Second)
	grown := time.Duration(full * batchShare / float64(max(slots-1, 1)))
	return Speed{
		PrefillTokensPerSecond: prefillTokensPerSecond,
		DecodeStep:             time.Duration(full) - time.Duration(slots-1)*grown,
		DecodeStepPerSequence:  grown,
	}
}

// Weights fetches weights from the weight store.
type Weights interface {
	// Fetch downloads the weights of a model version, or of an adapter if one
	// is named, and returns their size in bytes.
	Fetch(ctx context.Context, model, version, adapter string) (int64, error)
}

// Config describes one engine. Zero fields have defaults.
type Config struct {
	ID            string
	FailureDomain string
	Class         string
	VM            string
	Reclaimable   bool
	Models        []endpoint.LoadedModel
	Role          endpoint.Role
	Slots         int
	// MaxWaiting bounds the waiting queue; a generation beyond it is refused as not run.
	MaxWaiting int
	Speed      Speed
	// TimeScale multiplies the durations of prefill, decode, transfer and
	// loading; 0.1 runs ten times faster. 0 means 1.
	TimeScale float64
	// FrameTokens bounds the tokens of one frame.
	FrameTokens int
	MinRound    time.Duration

	KVCapacityTokens int
	KVBytesPerToken  int64
	// TransferBytesPerSecond is the speed of a KV transfer between engines.
	TransferBytesPerSecond float64
	// KVHold is how long an exported KV cache is kept, not scaled.
	KVHold time.Duration

	Fencing endpoint.FencingMode
	// ControllerToken, if set, is required of orders in HeaderController.
	ControllerToken string
	Weights         Weights

	// Entries lists base URLs of daemons to announce to.
	Entries []string
	// Listen is an IP:port; port 0 picks a free one.
	Listen           string
	AnnounceInterval time.Duration
	Lease            time.Duration
	PingInterval     time.Duration
	// LoadLag is the age of the figures in load reports.
	LoadLag time.Duration
	// CacheEventDelay is the time between a change of the cache and its event.
	CacheEventDelay time.Duration
	// CacheEventLoss is the probability that an event is never sent.
	CacheEventLoss float64
	// PoisonMarker, if set, crashes the engine when a prompt that contains it starts to run.
	PoisonMarker string
	// Incarnation of the process; 0 takes one from the clock.
	Incarnation uint64
	Seed        uint64
	// Ledger can be shared by engines; nil creates one.
	Ledger *Ledger
}

func (c Config) withDefaults() Config {
	orDefault(&c.Slots, defaultSlots)
	orDefault(&c.MaxWaiting, defaultMaxWaiting)
	orDefault(&c.Speed, DefaultSpeed)
	orDefault(&c.TimeScale, 1)
	orDefault(&c.FrameTokens, defaultFrameTokens)
	orDefault(&c.MinRound, defaultMinRound)
	orDefault(&c.KVCapacityTokens, defaultKVCapacityTokens)
	orDefault(&c.KVBytesPerToken, defaultKVBytesPerToken)
	orDefault(&c.TransferBytesPerSecond, defaultTransferRate)
	orDefault(&c.KVHold, defaultKVHold)
	orDefault(&c.Fencing, endpoint.FencingEnforced)
	orDefault(&c.Role, endpoint.RoleBoth)
	orDefault(&c.Listen, "127.0.0.1:0")
	orDefault(&c.AnnounceInterval, defaultAnnounceInterval)
	orDefault(&c.Lease, defaultLease)
	orDefault(&c.PingInterval, defaultPingInterval)
	orDefault(&c.Incarnation, uint64(time.Now().UnixNano()))
	c.Models = cloneModels(c.Models)
	if c.Ledger == nil {
		c.Ledger = NewLedger()
	}
	return c
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// scaled converts a simulated duration to a real one.
func (c *Config) scaled(d time.Duration) time.Duration {
	return time.Duration(math.Round(float64(d) * c.TimeScale))
}

// transferTime returns the real duration of a KV transfer.
func (c *Config) transferTime(bytes int64) time.Duration {
	return c.scaled(time.Duration(float64(bytes) / c.TransferBytesPerSecond * float64(time.Second)))
}

func cloneModels(models []endpoint.LoadedModel) []endpoint.LoadedModel {
	cloned := make([]endpoint.LoadedModel, len(models))
	for i, m := range models {
		m.Adapters = append([]string(nil), m.Adapters...)
		cloned[i] = m
	}
	return cloned
}
