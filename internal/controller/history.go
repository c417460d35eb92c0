package controller

import (
	"time"

	"github.com/boragelead/boragelead/internal/core/fleet"
	"github.com/boragelead/boragelead/internal/status"
)

// historySteps bounds the history: about ten minutes of full rounds, 100 KB.
const historySteps = 512

// taken is a step that was carried out.
type taken struct {
	step status.FleetStep
	at   time.Time
}

// history is a ring of steps with their outcome.
type history struct {
	steps []taken
	next  int
}

// add records a step. A repeated one with equal outcome only renews its age.
func (h *history) add(step status.FleetStep, at time.Time) {
	if len(h.steps) > 0 {
		if last := &h.steps[(h.next+len(h.steps)-1)%len(h.steps)]; last.step == step {
			last.at = at
			return
		}
	}
	if len(h.steps) < historySteps {
		h.steps = append(h.steps, taken{step: step, at: at})
		return
	}
	h.steps[h.next] = taken{step: step, at: at}
	h.next = (h.next + 1) % historySteps
}

// list returns the steps, the newest first.
func (h *history) list(now time.Time) []status.FleetStep {
	steps := make([]status.FleetStep, 0, len(h.steps))
	for i := len(h.steps) - 1; i >= 0; i-- {
		entry := h.steps[(h.next+i)%len(h.steps)]
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
