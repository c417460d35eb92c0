package controller

import (
	"slices"
	"time"

	"github.com/boragelead/boragelead/internal/core/fleet"
	"github.com/boragelead/boragelead/internal/status"
)

// maxHistorySteps bounds the history. It covers at least one minute of full
// rounds and takes about 200 KB of memory.
const maxHistorySteps = 512

// historyEntry is a step with its outcome and the time of execution.
type historyEntry struct {
	step status.FleetStep
	at   time.Time
}

// mergeWindow is the time within which a repeated step with an equal outcome is not
// a new entry but renews the age of the old one. A waiting step is repeated in each
// round and would otherwise displace all other entries.
const mergeWindow = time.Minute

// history holds the latest steps, the oldest first.
type history struct{ steps []historyEntry }

// add records a step and reports whether it is a new entry.
func (h *history) add(step status.FleetStep, at time.Time) bool {
	repeated := slices.IndexFunc(h.steps, func(t historyEntry) bool { return t.step == step && at.Sub(t.at) < mergeWindow })
	if repeated >= 0 {
		h.steps = slices.Delete(h.steps, repeated, repeated+1)
	}
	h.steps = append(h.steps, historyEntry{step: step, at: at})
	if excess := len(h.steps) - maxHistorySteps; excess > 0 {
		h.steps = slices.Delete(h.steps, 0, excess)
	}
	return repeated < 0
}

// list returns the steps with their age, the newest first.
func (h *history) list(now time.Time) []status.FleetStep {
	steps := make([]status.FleetStep, 0, len(h.steps))
	for _, entry := range slices.Backward(h.steps) {
		entry.step.AgeS = now.Sub(entry.at).Seconds()
		steps = append(steps, entry.step)
	}
	return steps
}

// fleetStep converts a step to the form that operators see.
func fleetStep(step *fleet.Step) status.FleetStep {
	name := step.Endpoint
	if name == "" {
		name = step.VM
	}
	return status.FleetStep{
		Action: string(step.Kind), FailureDomain: step.Pool.FailureDomain, Class: step.Pool.Class,
		Endpoint: name, Model: step.Model, Reason: step.Reason,
	}
}
