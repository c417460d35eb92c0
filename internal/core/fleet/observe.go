package fleet

import (
	"time"

	"github.com/boragelead/boragelead/internal/core/conf"
)

// VMState is the state of a VM in an observation.
type VMState string

// States of a VM.
const (
	// VMStarting is a VM that was requested and does not serve yet.
	VMStarting VMState = "starting"
	// VMServing is a VM whose endpoint is ready.
	VMServing VMState = "serving"
	// VMLeaving is a VM that is draining or that the cloud is reclaiming.
	VMLeaving VMState = "leaving"
)

// VM is a VM that runs an endpoint.
type VM struct {
	ID string
	Pool
	State VMState
	// Endpoint is the ID of the VM's endpoint, empty until the endpoint has
	// announced itself.
	Endpoint string
	// Model is the model that the VM is assigned to, and Version the version that
	// is loaded.
	Model, Version string
	// Speed is the measured capacity in tokens per second, 0 if it is unknown.
	Speed float64
	// Running counts the generations of a leaving VM that have not ended.
	Running int
}

// Demand is the demand for one model in generated tokens per second.
type Demand struct {
	Model  string
	Tokens float64
	// Urgent is the part of Tokens that belongs to the most urgent rank.
	Urgent float64
}

// Observation is the complete input of a plan.
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
	// LoadingBytes is the number of bytes that endpoints are fetching from the
	// weight store.
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
