package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/boragelead/boragelead/internal/logview"
)

// quotasOptions are the flags of the quotas command.
type quotasOptions struct {
	logs                 []string
	window               time.Duration
	overshoot, allowance float64
	json                 bool
}

// registerQuotas adds the command that shows how near workspaces came to their quotas.
func registerQuotas(a *app) {
	options := quotasOptions{window: 8 * time.Second, overshoot: 0.1}
	sub := a.add(nil, "quotas", "show from collected logs how near each workspace came to its quota", []string{
		"boragelead quotas --log entry-1.log --log entry-2.log",
		"boragelead quotas --log all.log --window 8s --overshoot 0.1 --allowance 140000 --json",
	}, func(context.Context) error { return a.quotas(options) })
	sub.StringSlice(&options.logs, "l", "log", "log file of one or more entries")
	sub.Duration(&options.window, "w", "window", "window in which a quota holds")
	sub.Float64(&options.overshoot, "o", "overshoot", "what may be granted above a quota, relative to it")
	sub.Float64(&options.allowance, "a", "allowance", "what may be granted besides, in units of the quota")
	sub.Bool(&options.json, "j", "json", "print JSON")
}

func (a *app) quotas(options quotasOptions) error {
	if len(options.logs) == 0 || options.window <= 0 {
		return &usageError{message: "--log must name a file, and --window must be positive"}
	}
	lines, err := readLogs(options.logs)
	if err != nil {
		return err
	}
	uses := logview.QuotaUses(lines, logview.QuotaTolerance{Window: options.window, Overshoot: options.overshoot, Allowance: options.allowance})
	if options.json {
		encoder := json.NewEncoder(a.out)
		return encoder.Encode(uses)
	}
	t := a.newTable()
	t.row("WORKSPACE", "RATIO", "GRANTED", "ALLOWED", "LIMIT/S", "FROM", "REFUSED", "SOURCES")
	for i := range uses {
		use := &uses[i]
		var sources []string
		for _, source := range slices.Sorted(maps.Keys(use.BySource)) {
			sources = append(sources, fmt.Sprintf("%s=%.0f", source, use.BySource[source]))
		}
		t.row(use.Workspace, fmt.Sprintf("%.3f", use.Ratio()), fmt.Sprintf("%.0f", use.Granted), fmt.Sprintf("%.0f", use.Allowed),
			fmt.Sprintf("%.0f", use.LimitPerS), use.From.Format("15:04:05.000"), use.Refused, strings.Join(sources, " "))
	}
	t.flush()
	return nil
}
