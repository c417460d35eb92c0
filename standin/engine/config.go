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
	defaultKVRetention      = 30 * time.Second
	defaultAnnounceInterval = time.Second
	defaultLease            = 5 * time.Second
	defaultPingInterval     = 500 * time.Millisecond
	defaultFrameTokens      = 32
	// defaultMinRound limits the rate of batch rounds. If decode steps are
	// shorter than a round, one frame carries the tokens of several steps.
	defaultMinRound = time.Millisecond
)

// Speed is the processing speed of a machine class.
type Speed struct {
	// PrefillTokensPerSecond is the total rate for all generations in prefill.
	PrefillTokensPerSecond float64
	// DecodeStep is the time of one decode step with one generation in the batch.
	DecodeStep time.Duration
	// DecodeStepPerSequence is added to DecodeStep for each further generation
	// in the batch.
	DecodeStepPerSequence time.Duration
}

// decodeStepTime returns the time of one decode step, in which each generation
// of the batch gets one token.
func (s Speed) decodeStepTime(batch int) time.Duration {
	return s.DecodeStep + time.Duration(max(batch-1, 0))*s.DecodeStepPerSequence
}

// DefaultSpeed is the speed of a mid-range machine.
var DefaultSpeed = Speed{
	PrefillTokensPerSecond: 8000,
	DecodeStep:             12 * time.Millisecond,
	DecodeStepPerSequence:  200 * time.Microsecond,
}

// batchDependentShare is the fraction of the decode step time of a full batch
// that depends on the number of generations in the batch.
const batchDependentShare = 0.5

// ClassSpeed returns the speed of a machine class with the given prefill rate
// and the given total decode rate when all slots are in use.
func ClassSpeed(prefillTokensPerSecond, decodeTokensPerSecond float64, slots int) Speed {
	fullStep := float64(slots) / decodeTokensPerSecond * float64(time.Second)
	perSequence := time.Duration(fullStep * batchDependentShare / float64(max(slots-1, 1)))
	return Speed{
		PrefillTokensPerSecond: prefillTokensPerSecond,
		DecodeStep:             time.Duration(fullStep) - time.Duration(slots-1)*perSequence,
		DecodeStepPerSequence:  perSequence,
	}
}

// Weights downloads weights from the weight store.
type Weights interface {
	// Fetch downloads the weights of a model version, or of an adapter if
	// adapter is not empty, and returns their size in bytes.
	Fetch(ctx context.Context, model, version, adapter string) (int64, error)
}

// Config configures an engine. Zero values of most fields are replaced by
// defaults; see withDefaults.
type Config struct {
	ID            string
	FailureDomain string
	Class         string
	VM            string
	Reclaimable   bool
	Models        []endpoint.LoadedModel
	Role          endpoint.Role
	Slots         int
	// MaxWaiting limits the length of the waiting queue. When the queue is full,
	// further generations are refused and marked as not run.
	MaxWaiting int
	Speed      Speed
	// TimeScale multiplies the durations of prefill, decode and KV transfer: 0.1
	// makes them ten times faster. 0 means 1. The time to load weights depends
	// on Weights alone.
	TimeScale float64
	// FrameTokens limits the number of tokens in one frame.
	FrameTokens int
	MinRound    time.Duration

	KVCapacityTokens int
	KVBytesPerToken  int64
	// TransferBytesPerSecond is the rate of a KV transfer between engines.
	TransferBytesPerSecond float64
	// KVRetention is the real time for which an exported or imported KV cache is
	// kept. TimeScale does not apply to it.
	KVRetention time.Duration

	Fencing endpoint.FencingMode
	// ControllerToken, if set, is the token that orders must carry in
	// HeaderController.
	ControllerToken string
	Weights         Weights

	// Entries lists the base URLs of the entry daemons to which the engine
	// announces itself.
	Entries []string
	// Listen is the IP address and port to listen on; port 0 picks a free port.
	Listen           string
	AnnounceInterval time.Duration
	Lease            time.Duration
	PingInterval     time.Duration
	// LoadLag is the age that the figures in load reports have.
	LoadLag time.Duration
	// CacheEventDelay is the time between a change to the prefix cache and the
	// sending of its event.
	CacheEventDelay time.Duration
	// CacheEventLoss is the probability that a cache event is never sent.
	CacheEventLoss float64
	// PoisonMarker, if set, crashes the engine when a generation starts whose
	// prompt contains it.
	PoisonMarker string
	// Incarnation is the incarnation of the engine process. 0 derives it from
	// the clock.
	Incarnation uint64
	Seed        uint64
	// Ledger can be shared by several engines. If nil, a new one is created.
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
	orDefault(&c.KVRetention, defaultKVRetention)
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

// realDuration converts a simulated duration to real time.
func (c *Config) realDuration(d time.Duration) time.Duration {
	return time.Duration(math.Round(float64(d) * c.TimeScale))
}

// transferTime returns the real duration of a KV transfer.
func (c *Config) transferTime(bytes int64) time.Duration {
	return c.realDuration(time.Duration(float64(bytes) / c.TransferBytesPerSecond * float64(time.Second)))
}

func cloneModels(models []endpoint.LoadedModel) []endpoint.LoadedModel {
	cloned := make([]endpoint.LoadedModel, len(models))
	for i, m := range models {
		m.Adapters = append([]string(nil), m.Adapters...)
		cloned[i] = m
	}
	return cloned
}
