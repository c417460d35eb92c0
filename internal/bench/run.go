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

// Policies. Naive takes live endpoints in turn, admits in order of arrival and
// restarts a broken answer.
const (
	Naive   Policy = "naive"
	Current Policy = "current"
)

// DefaultDuration is the time in which calls of a run arrive.
const DefaultDuration = 8 * time.Second

// answerGrace bounds the wait for answers after the last arrival. A flood of
// 1.5 times the capacity leaves a backlog of about as many seconds as it lasts.
const answerGrace = 30 * time.Second

// RunConfig describes one run of a scenario.
type RunConfig struct {
	Document []byte
	Scenario string
	Policy   Policy
	Seed     uint64
	// Duration is the time in which calls arrive; 0 takes DefaultDuration.
	Duration time.Duration
}

// bench is a running rig with its load.
type bench struct {
	config   RunConfig
	rig      *rig.Rig
	doc      *conf.Document
	machines []machine
	target   *balancer
	work     workload
}

// Run measures one scenario with one policy.
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
	alone, err := runOnce(ctx, config, false)
	if err != nil {
		return nil, err
	}
	result.SmallAloneP95MS = alone.Streams[0].TotalMS.P95
	return result, nil
}

func runOnce(ctx context.Context, config RunConfig, withBig bool) (*Result, error) {
	b, err := newBench(config)
	if err != nil {
		return nil, err
	}
	defer b.rig.Close()
	return b.measure(ctx, b.work.streams(config.Scenario, withBig))
}

func newBench(config RunConfig) (*bench, error) {
	scaled, doc, err := scaleDocument(config.Document)
	if err != nil {
		return nil, err
	}
	keys, err := findCallers(doc)
	if err != nil {
		return nil, err
	}
	straggle := 1.0
	if config.Scenario == Stragglers {
		straggle = stragglerFactor
	}
	options := daemon.Options{}
	if config.Policy == Naive {
		options.Baseline = entry.Baseline{RoundRobin: true, FIFO: true, Restart: true}
	}
	r, err := rig.Start(rig.Config{Document: scaled, Daemons: daemonsPerDomain, Options: options})
	if err != nil {
		return nil, err
	}
	b := &bench{config: config, rig: r, doc: doc, machines: machines(doc, straggle), target: newBalancer(r)}
	b.work = workload{doc: doc, keys: keys, capacity: capacity(doc), duration: config.Duration}
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

// measure runs the load, the faults and the publications together.
func (b *bench) measure(ctx context.Context, streams []load.Stream) (*Result, error) {
	faults := &faults{
		rig: b.rig, target: b.target, duration: b.config.Duration, gone: map[string]bool{},
		random: rand.New(rand.NewPCG(b.config.Seed, 1)),
	}
	publisher, err := newPublisher(b.rig, b.target, b.work.keys.urgent, b.config.Seed)
	if err != nil {
		return nil, err
	}
	arrivals, cancel := context.WithTimeout(ctx, b.config.Duration)
	defer cancel()
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var group, watcher sync.WaitGroup
	watcher.Go(func() { faults.watch(watching) })
	group.Go(func() { faults.inject(arrivals, b.config.Scenario) })
	if b.config.Scenario == Chaos {
		group.Go(func() { publisher.run(arrivals) })
	}
	reports := load.Run(ctx, b.target, load.Config{
		Streams: streams, Duration: b.config.Duration, Grace: answerGrace, Seed: b.config.Seed, Verify: rig.Verify,
	})
	group.Wait()
	stopWatching()
	watcher.Wait()
	result := b.result(streams, reports)
	result.EnginesLost, result.Faults = faults.lost, faults.events
	if b.config.Scenario == Chaos {
		result.Publications = publisher.check()
	}
	return result, ctx.Err()
}

func (b *bench) result(streams []load.Stream, reports []load.Report) *Result {
	totals := b.rig.EngineLedger.Totals()
	r := &Result{
		Scenario: b.config.Scenario, Environment: b.doc.Workspaces[0].Name, Policy: b.config.Policy, Seed: b.config.Seed,
		Seconds: b.config.Duration.Seconds(), TimeScale: TimeScale, CapacityTPS: b.work.capacity, Streams: reports,
		TokensGenerated: totals.GeneratedTokens, TokensRecomputed: totals.RecomputedTokens,
	}
	r.fillRanks(b.doc, streams)
	r.fillCost(b.machines, b.config.Duration)
	if b.config.Scenario == FloodLow || b.config.Scenario == FloodUrgent {
		r.fillFloors(b.doc, streams, b.config.Duration)
	}
	return r
}
