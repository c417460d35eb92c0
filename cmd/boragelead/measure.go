package main

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/boragelead/boragelead/internal/bench"
)

// measureOptions are the flags of the measure command.
type measureOptions struct {
	scenario, document, policy, plot string
	seed                             uint64
	duration                         time.Duration
	json                             bool
}

// policyBoth runs a scenario with the naive policy and then with the current policy.
const policyBoth = "both"

// registerMeasure adds the command that runs measurement scenarios on loopback.
func registerMeasure(a *app) {
	options := measureOptions{document: "examples/portfolio.json", policy: policyBoth, seed: 1, duration: bench.DefaultDuration}
	sub := a.add(nil, "measure", "run scenarios with the naive and the current policy and compare them", []string{
		"boragelead measure --scenario steady",
		"boragelead measure --scenario chaos --policy current --seed 7 --document examples/calendar.json --json",
		"boragelead measure --plot plots",
	}, func(ctx context.Context) error { return a.measure(ctx, options) })
	sub.String(&options.scenario, "s", "scenario", "one of "+strings.Join(bench.Scenarios, ", ")+"; all without it")
	sub.String(&options.document, "d", "document", "operators' document")
	sub.String(&options.policy, "p", "policy", "naive, current or both")
	sub.UInt64(&options.seed, "", "seed", "seed of arrivals and faults")
	sub.Duration(&options.duration, "", "duration", "how long calls arrive")
	sub.Bool(&options.json, "j", "json", "print JSON")
	sub.String(&options.plot, "", "plot", "folder for SVG plots")
}

func (a *app) measure(ctx context.Context, options measureOptions) error {
	policies := []bench.Policy{bench.Naive, bench.Current}
	if options.policy != policyBoth {
		policies = []bench.Policy{bench.Policy(options.policy)}
	}
	if !slices.Contains([]string{policyBoth, string(bench.Naive), string(bench.Current)}, options.policy) {
		return &usageError{message: "--policy must be naive, current or both"}
	}
	scenarios := bench.Scenarios
	if options.scenario != "" {
		scenarios = []string{options.scenario}
	}
	if !slices.Contains(bench.Scenarios, scenarios[0]) {
		return &usageError{message: "--scenario must be one of " + strings.Join(bench.Scenarios, ", ")}
	}
	document, err := os.ReadFile(options.document)
	if err != nil {
		return &usageError{message: err.Error()}
	}
	if !options.json {
		bench.WriteNotes(a.out)
	}
	var results []*bench.Result
	for _, scenario := range scenarios {
		runs, err := a.measureScenario(ctx, options, document, scenario, policies)
		if err != nil {
			return err
		}
		results = append(results, runs...)
	}
	if options.json {
		return a.printJSON(results)
	}
	return nil
}

// measureScenario runs one scenario with each policy and prints the results.
func (a *app) measureScenario(ctx context.Context, options measureOptions, document []byte, scenario string, policies []bench.Policy) ([]*bench.Result, error) {
	var results []*bench.Result
	for _, policy := range policies {
		stop := a.progress(func() string { return scenario + " with the " + string(policy) + " policy" })
		r, err := bench.Run(ctx, bench.RunConfig{Document: document, Scenario: scenario, Policy: policy, Seed: options.seed, Duration: options.duration})
		stop()
		if err != nil {
			return nil, err
		}
		results = append(results, r)
		if !options.json {
			bench.WriteResult(a.out, r)
		}
	}
	if len(results) == 2 && !options.json {
		bench.WriteComparison(a.out, results[0], results[1])
	}
	if options.plot == "" {
		return results, nil
	}
	return results, writePlot(options.plot, scenario, results)
}

func writePlot(folder, scenario string, results []*bench.Result) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	name := filepath.Join(folder, results[0].Environment+"-"+scenario+".svg")
	return os.WriteFile(name, bench.Plot(results), 0o644)
}
