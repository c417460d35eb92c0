package controller

import (
	"slices"
	"time"

	"github.com/boragelead/boragelead/internal/core/fleet"
	"github.com/boragelead/boragelead/internal/status"
)

// historySteps bounds the history to at least one minute of full rounds, and its memory to about 200 KB.
const historySteps = 512

// taken is a step that was carried out.
type taken struct {
	step status.FleetStep
	at   time.Time
}

// mergeWindow is the time within which a repeated step with equal outcome only
// renews its age: what waits is seen in each round and would push the rest out.
const mergeWindow = time.Minute

// history holds the latest steps with their outcome, the oldest first.
type history struct{ steps []taken }

// add records a step and reports whether it is a new one.
func (h *history) add(step status.FleetStep, at time.Time) bool {
	same := slices.IndexFunc(h.steps, func(t taken) bool { return t.step == step && at.Sub(t.at) < mergeWindow })
	if same >= 0 {
		h.steps = slices.Delete(h.steps, same, same+1)
	}
	h.steps = append(h.steps, taken{step: step, at: at})
	if excess := len(h.steps) - historySteps; excess > 0 {
		h.steps = slices.Delete(h.steps, 0, excess)
	}
	return same < 0
}

// list returns the steps, the newest first.
func (h *history) list(now time.Time) []status.FleetStep {
	steps := make([]status.FleetStep, 0, len(h.steps))
	for _, entry := range slices.Backward(h.steps) {
		entry.step.AgeS = now.Sub(entry.at).Seconds()
		steps = append(steps, entry.step)
	}
	return steps
}

// shown is a step as operators see it.
func shown(step *fleet.Step) status.FleetStep {
	name := step.Endpoint
	if name == "" {
		name = step.VM
	}
	return status.FleetStep{
		Action: string(step.Kind), FailureDomain: step.Pool.FailureDomain, Class: step.Pool.Class,
		Endpoint: name, Model: step.Model, Reason: step.Reason,
	}
}
