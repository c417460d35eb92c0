package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// StepKind is what a step does.
type StepKind string

// Kinds of step.
const (
	StepStart StepKind = "start"
	// StepDrain takes a VM out of use; it is stopped when its work has ended.
	StepDrain StepKind = "drain"
	StepStop  StepKind = "stop"
	// StepLoad gives an endpoint its model in the wanted version.
	StepLoad StepKind = "load"
)

// Step is one action towards the wanted state.
type Step struct {
	Kind StepKind `json:"kind"`
	Pool Pool     `json:"pool"`
	// VM is the VM that the step concerns; empty for a start.
	VM       string `json:"vm,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Model    string `json:"model,omitempty"`
	Version  string `json:"version,omitempty"`
	// Ordinal tells the starts of a pool and model apart: it makes the client
	// token of a start the same when the step is repeated.
	Ordinal int    `json:"ordinal,omitempty"`
	Reason  string `json:"reason"`
}

const (
	// maxStarts and maxDrains bound the steps of one plan, so that a wrong
	// observation cannot turn over the whole fleet at once.
	maxStarts = 16
	maxDrains = 4
	// loadHorizon bounds the loads in progress to what the weight store can deliver in this time.
	loadHorizon = 60 * time.Second
)

// steps compares what is held with what is wanted. VMs are only drained when
// the VMs that serve carry the need without them.
func steps(o *Observation, models []ModelPlan) []Step {
	var list []Step
	for i := range models {
		list = append(list, starts(o, &models[i])...)
	}
	serving := make([]*serving, len(models))
	for i := range models {
		serving[i] = newServing(o, &models[i])
	}
	list = append(list, loads(o, models, serving)...)
	for i := range models {
		list = append(list, drains(o, &models[i], serving[i])...)
	}
	list = append(list, retired(o, models, serving)...)
	return append(list, stops(o)...)
}

// retired drains VMs whose model or pool is no longer in the document. No
// offer counts them, so nothing else would ever stop them.
func retired(o *Observation, models []ModelPlan, serving []*serving) []Step {
	var list []Step
	for i := range o.VMs {
		vm := &o.VMs[i]
		at := slices.IndexFunc(models, func(m ModelPlan) bool { return m.Model == vm.Model })
		offered := at >= 0 && slices.ContainsFunc(models[at].Offers, func(offer Offer) bool { return offer.Pool == vm.Pool })
		if offered || vm.State == VMLeaving || len(list) >= maxDrains {
			continue
		}
		if at >= 0 && vm.State == VMServing && !serving[at].remove(vm) {
			continue
		}
		list = append(list, Step{
			Kind: StepDrain, Pool: vm.Pool, VM: vm.ID, Endpoint: vm.Endpoint, Model: vm.Model,
			Reason: "the document no longer has this model, or this pool for it",
		})
	}
	return list
}

func starts(o *Observation, m *ModelPlan) []Step {
	var list []Step
	for at, count := range m.Counts {
		offer := &m.Offers[at]
		for n := offer.Have; n < count && len(list) < maxStarts; n++ {
			list = append(list, Step{
				Kind: StepStart, Pool: offer.Pool, Model: m.Model, Ordinal: n,
				Reason: fmt.Sprintf("%d of %d wanted VMs are held at %.3f per hour: %s", n, count, offer.Price, m.Reason),
			})
		}
	}
	return list
}

// drains takes VMs that are no longer wanted out of use, the slowest of a pool first.
func drains(o *Observation, m *ModelPlan, serving *serving) []Step {
	var list []Step
	for at, count := range m.Counts {
		offer := &m.Offers[at]
		surplus := offer.Have - count
		for _, vm := range slowestFirst(o, offer.Pool, m.Model) {
			if surplus <= 0 || len(list) >= maxDrains {
				break
			}
			if vm.State == VMServing && !serving.remove(vm) {
				break
			}
			surplus--
			list = append(list, Step{
				Kind: StepDrain, Pool: vm.Pool, VM: vm.ID, Endpoint: vm.Endpoint, Model: m.Model,
				Reason: fmt.Sprintf("%d wanted, %d held: %s", count, offer.Have, m.Reason),
			})
		}
	}
	return list
}

func slowestFirst(o *Observation, pool Pool, model string) []*VM {
	var list []*VM
	for i := range o.VMs {
		if vm := &o.VMs[i]; vm.Pool == pool && vm.Model == model && vm.State != VMLeaving {
			list = append(list, vm)
		}
	}
	slices.SortStableFunc(list, func(a, b *VM) int {
		if starting := cmp.Compare(boolRank(a.State == VMServing), boolRank(b.State == VMServing)); starting != 0 {
			return starting
		}
		return cmp.Compare(a.Speed, b.Speed)
	})
	return list
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// stops ends VMs that have drained.
func stops(o *Observation) []Step {
	var list []Step
	for i := range o.VMs {
		if vm := &o.VMs[i]; vm.State == VMLeaving && vm.Running == 0 {
			list = append(list, Step{Kind: StepStop, Pool: vm.Pool, VM: vm.ID, Endpoint: vm.Endpoint, Model: vm.Model, Reason: "drained, no generation runs"})
		}
	}
	return list
}

// loads gives endpoints their model, the most needed first, as fast as the
// weight store delivers. A serving endpoint changes its version only while the
// others carry the need.
func loads(o *Observation, models []ModelPlan, serving []*serving) []Step {
	budget := int64(float64(o.Fleet.WeightStoreBytesPerS)*loadHorizon.Seconds()) - o.LoadingBytes
	idle := o.LoadingBytes == 0
	var list []Step
	for i := range models {
		m := &models[i]
		wanted := modelOf(o, m.Model)
		for _, vm := range outdated(o, m.Model, wanted.Version) {
			// One load is allowed on an idle store, however large it is.
			if wanted.WeightBytes > budget && !idle {
				return list
			}
			if vm.State == VMServing && !serving[i].remove(vm) {
				break
			}
			idle = false
			budget -= wanted.WeightBytes
			list = append(list, Step{
				Kind: StepLoad, Pool: vm.Pool, VM: vm.ID, Endpoint: vm.Endpoint, Model: m.Model, Version: wanted.Version,
				Reason: fmt.Sprintf("holds version %q, version %q is wanted", vm.Version, wanted.Version),
			})
		}
	}
	return list
}

// outdated lists endpoints without the wanted version, those without any first.
func outdated(o *Observation, model, version string) []*VM {
	var list []*VM
	for i := range o.VMs {
		vm := &o.VMs[i]
		if vm.Model == model && vm.Version != version && vm.State != VMLeaving && vm.Endpoint != "" {
			list = append(list, vm)
		}
	}
	slices.SortStableFunc(list, func(a, b *VM) int { return cmp.Compare(a.Version, b.Version) })
	return list
}
