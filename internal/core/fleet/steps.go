package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// StepKind is the type of a step.
type StepKind string

// Kinds of step.
const (
	StepStart StepKind = "start"
	// StepDrain takes a VM out of use. The VM is stopped when its generations have
	// ended.
	StepDrain StepKind = "drain"
	StepStop  StepKind = "stop"
	// StepLoad loads the wanted version of its model into an endpoint.
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
	// Ordinal numbers the starts of a pool and model. A repeated start step has
	// the same ordinal and therefore the same client token.
	Ordinal int    `json:"ordinal,omitempty"`
	Reason  string `json:"reason"`
}

const (
	// maxStarts and maxDrains limit the steps of one plan, so that a wrong
	// observation cannot replace the whole fleet at once.
	maxStarts = 16
	maxDrains = 4
	// loadHorizon limits the loads in progress to the bytes that the weight store
	// can deliver in this time.
	loadHorizon = 60 * time.Second
)

// steps returns the steps from the current to the wanted state. A serving VM is
// drained only if the other serving VMs meet the need without it.
func steps(o *Observation, models []ModelPlan) []Step {
	var list []Step
	for i := range models {
		list = append(list, startSteps(o, &models[i])...)
	}
	serving := make([]*servingCapacity, len(models))
	for i := range models {
		serving[i] = newServingCapacity(o, &models[i])
	}
	list = append(list, loadSteps(o, models, serving)...)
	for i := range models {
		list = append(list, drainSteps(o, &models[i], serving[i])...)
	}
	list = append(list, drainRemoved(o, models, serving)...)
	return append(list, stopSteps(o)...)
}

// drainRemoved drains VMs whose model or pool is no longer in the document. Such
// VMs belong to no offer, so drainSteps never selects them.
func drainRemoved(o *Observation, models []ModelPlan, serving []*servingCapacity) []Step {
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

func startSteps(o *Observation, m *ModelPlan) []Step {
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

// drainSteps drains VMs that are no longer wanted, the slowest VMs of a pool first.
func drainSteps(o *Observation, m *ModelPlan, serving *servingCapacity) []Step {
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
		if starting := cmp.Compare(boolToInt(a.State == VMServing), boolToInt(b.State == VMServing)); starting != 0 {
			return starting
		}
		return cmp.Compare(a.Speed, b.Speed)
	})
	return list
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// stopSteps stops VMs that have drained.
func stopSteps(o *Observation) []Step {
	var list []Step
	for i := range o.VMs {
		if vm := &o.VMs[i]; vm.State == VMLeaving && vm.Running == 0 {
			list = append(list, Step{Kind: StepStop, Pool: vm.Pool, VM: vm.ID, Endpoint: vm.Endpoint, Model: vm.Model, Reason: "drained, no generation runs"})
		}
	}
	return list
}

// loadSteps loads the wanted versions into endpoints, in the order of the models
// and within the bandwidth of the weight store. A serving endpoint changes its
// version only if the other serving VMs meet the need.
func loadSteps(o *Observation, models []ModelPlan, serving []*servingCapacity) []Step {
	budget := int64(float64(o.Fleet.WeightStoreBytesPerS)*loadHorizon.Seconds()) - o.LoadingBytes
	idle := o.LoadingBytes == 0
	var list []Step
	for i := range models {
		m := &models[i]
		wanted := findModel(o, m.Model)
		for _, vm := range outdatedVMs(o, m.Model, wanted.Version) {
			// While the weight store is idle, one load of any size is allowed.
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

// outdatedVMs returns the VMs whose endpoint does not have the wanted version. VMs
// without any version come first.
func outdatedVMs(o *Observation, model, version string) []*VM {
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
