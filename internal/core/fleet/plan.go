package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/boragelead/boragelead/internal/core/conf"
)

const (
	// weightMemoryShare is the largest share of a VM's memory that weights may
	// use. The rest is used for the KV cache.
	weightMemoryShare = 0.8
	// replacementHours is the time in hours until a reclaimed VM is replaced: five
	// minutes to start a VM, load the model and warm up.
	replacementHours = 5.0 / 60
)

// ModelPlan is the wanted allocation of one model.
type ModelPlan struct {
	Model  string  `json:"model"`
	Need   Need    `json:"need"`
	Offers []Offer `json:"offers"`
	Allocation
	Reason string `json:"reason"`
}

// Plan is the wanted state of the fleet and the steps towards it.
type Plan struct {
	Models []ModelPlan `json:"models"`
	Steps  []Step      `json:"steps"`
	// Price is the price of the wanted state per hour.
	Price float64 `json:"price"`
	// Short is the missing capacity in tokens per second.
	Short float64 `json:"short"`
}

// MakePlan plans the fleet. The models share the pools and are planned in
// descending order of their urgent demand.
func MakePlan(o *Observation) Plan {
	models := slices.Clone(o.Models)
	slices.SortStableFunc(models, func(a, b conf.Model) int {
		return cmp.Compare(o.demandFor(b.Name).Urgent, o.demandFor(a.Name).Urgent)
	})
	free := freeVMs(o)
	var plan Plan
	for i := range models {
		m := planModel(o, &models[i], free)
		for at, count := range m.Counts {
			free[m.Offers[at].Pool] -= max(count, m.Offers[at].Have)
		}
		plan.Price += m.Price
		plan.Short += m.Short
		plan.Models = append(plan.Models, m)
	}
	plan.Steps = steps(o, plan.Models)
	return plan
}

// freeVMs returns the maximum number of VMs of each pool. The limit of a class
// applies to its on-demand and to its reclaimable VMs separately.
func freeVMs(o *Observation) map[Pool]int {
	free := make(map[Pool]int)
	for _, domain := range o.Fleet.Domains {
		for _, class := range domain.Classes {
			for _, reclaimable := range []bool{false, true} {
				free[Pool{FailureDomain: domain.FailureDomain, Class: class.Class, Reclaimable: reclaimable}] = class.MaxVMs
			}
		}
	}
	return free
}

func planModel(o *Observation, model *conf.Model, free map[Pool]int) ModelPlan {
	need := needFor(o, model)
	offers := offersFor(o, model, free)
	m := ModelPlan{Model: model.Name, Need: need, Offers: offers, Allocation: Solve(offers, need)}
	m.Reason = fmt.Sprintf("%.0f tokens/s needed after the loss of any one failure domain, %.0f of them on demand", need.Capacity, need.OnDemand)
	if m.Short > 0 {
		m.Reason += fmt.Sprintf("; %.0f tokens/s short, all pools are exhausted or refuse starts", m.Short)
	}
	return m
}

// needFor returns the demand of a model plus headroom and plus the average
// capacity that is missing while reclaimed VMs are replaced.
func needFor(o *Observation, model *conf.Model) Need {
	demand := o.demandFor(model.Name)
	missing := min(o.Reclaims*replacementHours, 1)
	factor := 1 + o.Fleet.Headroom + missing
	return Need{
		Capacity: demand.Tokens * factor,
		OnDemand: demand.Urgent * o.Fleet.UrgentFloorOnDemand * factor,
		MinVMs:   model.MinEndpoints,
	}
}

// offersFor returns an offer for each pool whose VMs have enough memory for the
// model.
func offersFor(o *Observation, model *conf.Model, free map[Pool]int) []Offer {
	classes := make(map[string]conf.MachineClass, len(o.Fleet.Classes))
	for _, class := range o.Fleet.Classes {
		classes[class.Name] = class
	}
	var offers []Offer
	for _, domain := range o.Fleet.Domains {
		for _, listed := range domain.Classes {
			class := classes[listed.Class]
			if float64(model.WeightBytes) > weightMemoryShare*float64(class.MemoryBytes) {
				continue
			}
			for _, reclaimable := range []bool{false, true} {
				pool := Pool{FailureDomain: domain.FailureDomain, Class: listed.Class, Reclaimable: reclaimable}
				offers = append(offers, offerFor(o, pool, listed, class, model.Name, free[pool]))
			}
		}
	}
	return offers
}

func offerFor(o *Observation, pool Pool, listed conf.ClassPrice, class conf.MachineClass, model string, free int) Offer {
	have, speed := currentVMs(o, pool, model)
	if speed == 0 {
		speed = class.DecodeTokensPerS
	}
	offer := Offer{Pool: pool, Price: o.price(pool, listed), Capacity: speed, Have: have, Max: max(free, have)}
	if o.Backoff.Blocked(pool, o.Now) {
		offer.Max = have
	}
	return offer
}

// currentVMs returns the number of VMs of a pool that serve a model or are
// starting for it, and the mean of their measured speeds, 0 if none is known.
func currentVMs(o *Observation, pool Pool, model string) (int, float64) {
	count, known, sum := 0, 0, 0.0
	for i := range o.VMs {
		vm := &o.VMs[i]
		if vm.Pool != pool || vm.Model != model || vm.State == VMLeaving {
			continue
		}
		count++
		if vm.Speed > 0 {
			known++
			sum += vm.Speed
		}
	}
	if known == 0 {
		return count, 0
	}
	return count, sum / float64(known)
}
