package bench

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/daemon"
	"github.com/boragelead/boragelead/internal/entry"
	"github.com/boragelead/boragelead/internal/load"
	"github.com/boragelead/boragelead/internal/rig"
)

// Policy selects the decisions of the daemons.
type Policy string

// Policies. Current is the behavior of the system. Naive chooses live endpoints
// in round-robin order, admits requests in order of arrival and restarts an
// interrupted answer from its beginning.
const (
	Naive   Policy = "naive"
	Current Policy = "current"
)

// DefaultDuration is the default of RunConfig.Duration.
const DefaultDuration = 8 * time.Second

// answerGrace limits the wait for answers after the last arrival. A flood of
// 1.5 times the capacity leaves a backlog that takes about as long to finish as
// the flood lasted.
const answerGrace = 30 * time.Second

// RunConfig describes one run of a scenario.
type RunConfig struct {
	Document []byte
	Scenario string
	Policy   Policy
	Seed     uint64
	// Duration is the time in which calls arrive; 0 uses DefaultDuration.
	Duration time.Duration
}

// bench is a running rig together with its workload.
type bench struct {
	config       RunConfig
	rig          *rig.Rig
	doc          *conf.Document
	machines     []machine
	target       *balancer
	scenarioLoad workload
}

// Run measures one scenario with one policy. BigCallers runs twice, the second
// time without the large callers.
func Run(ctx context.Context, config RunConfig) (*Result, error) {
	if !slices.Contains(Scenarios, config.Scenario) {
		return nil, &ScenarioError{Name: config.Scenario}
	}
	if config.Duration <= 0 {
		config.Duration = DefaultDuration
	}
	result, err := runOnce(ctx, config, true)
	if err != nil || config.Scenario != BigCallers {
		return result, err
	}
	withoutLarge, err := runOnce(ctx, config, false)
	if err != nil {
		return nil, err
	}
	result.SmallWithoutLargeP95MS = withoutLarge.Streams[0].TotalMS.P95
	return result, nil
}

func runOnce(ctx context.Context, config RunConfig, withLarge bool) (*Result, error) {
	b, err := newBench(config)
	if err != nil {
		return nil, err
	}
	defer b.rig.Close()
	return b.measure(ctx, b.scenarioLoad.streams(config.Scenario, withLarge))
}

func newBench(config RunConfig) (*bench, error) {
	scaled, doc, err := scaleDocument(config.Document)
	if err != nil {
		return nil, err
	}
	keys, err := findCallerKeys(doc)
	if err != nil {
		return nil, err
	}
	slowdown := 1.0
	if config.Scenario == Stragglers {
		slowdown = stragglerSlowdown
	}
	options := daemon.Options{}
	if config.Policy == Naive {
		options.Baseline = entry.Baseline{RoundRobin: true, FIFO: true, Restart: true}
	}
	r, err := rig.Start(rig.Config{Document: scaled, Daemons: daemonsPerDomain, Options: options})
	if err != nil {
		return nil, err
	}
	b := &bench{config: config, rig: r, doc: doc, machines: machines(doc, slowdown), target: newBalancer(r)}
	b.scenarioLoad = workload{doc: doc, keys: keys, capacity: capacity(doc), duration: config.Duration}
	if err := addEndpoints(r, b.machines); err != nil {
		r.Close()
		return nil, err
	}
	return b, nil
}

func newBalancer(r *rig.Rig) *balancer {
	b := &balancer{}
	client := &http.Client{Transport: load.NewTransport()}
	for _, d := range r.Daemons() {
		b.targets = append(b.targets, &load.OpenAITarget{BaseURL: "http://" + d.CallerAddress(), Client: client})
	}
	return b
}

// measure runs the load, the faults and the publications concurrently.
func (b *bench) measure(ctx context.Context, streams []load.Stream) (*Result, error) {
	injector := &faultInjector{
		rig: b.rig, target: b.target, duration: b.config.Duration, notReplaced: map[string]bool{},
		random: rand.New(rand.NewPCG(b.config.Seed, 1)),
	}
	publisher, err := newPublisher(b.rig, b.target, b.scenarioLoad.keys.urgent, b.config.Seed)
	if err != nil {
		return nil, err
	}
	arrivalCtx, cancelArrivals := context.WithTimeout(ctx, b.config.Duration)
	defer cancelArrivals()
	replaceCtx, stopReplacing := context.WithCancel(ctx)
	defer stopReplacing()
	var group, replacing sync.WaitGroup
	replacing.Go(func() { injector.replaceLostEngines(replaceCtx) })
	group.Go(func() { injector.inject(arrivalCtx, b.config.Scenario) })
	if b.config.Scenario == Chaos {
		group.Go(func() { publisher.run(arrivalCtx) })
	}
	reports := load.Run(ctx, b.target, load.Config{
		Streams: streams, Duration: b.config.Duration, Grace: answerGrace, Seed: b.config.Seed, Verify: rig.Verify,
	})
	group.Wait()
	stopReplacing()
	replacing.Wait()
	result := b.result(streams, reports)
	result.EnginesLost, result.Faults = injector.enginesLost, injector.events
	if b.config.Scenario == Chaos {
		result.Publications = publisher.checkLedger()
	}
	return result, ctx.Err()
}

func (b *bench) result(streams []load.Stream, reports []load.Report) *Result {
	totals := b.rig.EngineLedger.Totals()
	r := &Result{
		Scenario: b.config.Scenario, Environment: b.doc.Workspaces[0].Name, Policy: b.config.Policy, Seed: b.config.Seed,
		Seconds: b.config.Duration.Seconds(), TimeScale: TimeScale, CapacityTokensPerSecond: b.scenarioLoad.capacity, Streams: reports,
		TokensGenerated: totals.GeneratedTokens, TokensRecomputed: totals.RecomputedTokens,
	}
	r.fillRanks(b.doc, streams)
	r.fillCost(b.machines, b.config.Duration)
	if b.config.Scenario == FloodLow || b.config.Scenario == FloodUrgent {
		r.fillFloors(b.doc, streams, b.config.Duration)
	}
	return r
}
