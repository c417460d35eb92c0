package fleet

import (
	"time"

	"github.com/boragelead/boragelead/internal/core/conf"
)

// VMState is the state of a VM as the planner sees it.
type VMState string

// States of a VM.
const (
	// VMStarting is a VM that was asked for and does not serve yet.
	VMStarting VMState = "starting"
	// VMServing is a VM whose endpoint is ready.
	VMServing VMState = "serving"
	// VMLeaving is a VM that drains, or that the cloud reclaims.
	VMLeaving VMState = "leaving"
)

// VM is a VM that runs an endpoint.
type VM struct {
	ID string
	Pool
	State VMState
	// Endpoint is the ID of its endpoint once that announced itself.
	Endpoint string
	// Model is the model that the VM is meant for, Version the one it holds.
	Model, Version string
	// Speed is the learned capacity in tokens per second; 0 means not yet known.
	Speed float64
	// Running counts the generations of a leaving VM that have not ended.
	Running int
}

// Demand is what the callers of one model ask for, in generated tokens per second.
type Demand struct {
	Model  string
	Tokens float64
	// Urgent is the part of Tokens of the most urgent rank.
	Urgent float64
}

// Observation is everything that a plan depends on.
type Observation struct {
	Now    time.Time
	Fleet  conf.Fleet
	Models []conf.Model
	Demand []Demand
	VMs    []VM
	// Prices holds current prices per VM and hour where they differ from the document.
	Prices  map[Pool]float64
	Backoff *Backoff
	// Reclaims is the observed number of reclaims per reclaimable VM and hour.
	Reclaims float64
	// LoadingBytes is what endpoints are fetching from the weight store.
	LoadingBytes int64
}

// demandFor returns the demand of a model.
func (o *Observation) demandFor(model string) Demand {
	for i := range o.Demand {
		if o.Demand[i].Model == model {
			return o.Demand[i]
		}
	}
	return Demand{Model: model}
}

// price returns the current price of a pool.
func (o *Observation) price(pool Pool, listed conf.ClassPrice) float64 {
	if price, known := o.Prices[pool]; known {
		return price
	}
	if pool.Reclaimable {
		return listed.Reclaimable
	}
	return listed.OnDemand
}
