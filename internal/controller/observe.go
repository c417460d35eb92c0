package controller

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/boragelead/boragelead/api/cloud"
	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/fleet"
	"github.com/boragelead/boragelead/internal/core/member"
)

const (
	// silentBound is how long a running VM may be without an endpoint before it
	// is replaced: twice the five minutes that the planner counts for start,
	// load and warm up.
	silentBound = 10 * time.Minute
	// reclaimWindow is the time over which reclaims are counted.
	reclaimWindow = time.Hour
)

// observed is one observation with what the orders need.
type observed struct {
	fleet.Observation
	endpoints map[string]*member.Endpoint // by VM
	// ordinals in use, stopped VMs included, by model and pool.
	ordinals map[string]bool
	// unheard holds VMs without an endpoint in a failure domain of which no
	// endpoint is heard: they may serve behind a partition.
	unheard map[string]bool
	cost    float64
}

// observe asks the cloud and joins its VMs with the endpoints.
func (c *Controller) observe(ctx context.Context, doc *conf.Document) (*observed, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.OrderTimeout)
	defer cancel()
	prices, err := c.options.Cloud.Prices(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "read prices")
	}
	vms, err := c.options.Cloud.ListVMs(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "list VMs")
	}
	o := &observed{endpoints: make(map[string]*member.Endpoint), ordinals: make(map[string]bool), unheard: make(map[string]bool)}
	o.Now = c.options.Now()
	o.Fleet, o.Models, o.Backoff = doc.Fleet, doc.Models, c.backoff
	o.Demand = c.options.Demand.Demand()
	o.Prices = pricesByPool(prices)
	heard := make(map[string]bool)
	for _, e := range c.options.Endpoints.List() {
		if e.Kind == endpoint.KindEngine {
			o.endpoints[e.VM] = e
			heard[e.FailureDomain] = true
		}
	}
	for i := range vms {
		c.addVM(o, &vms[i], heard)
	}
	c.settleLoads(o)
	o.Reclaims = c.reclaimRate(o)
	return o, nil
}

func pricesByPool(list []cloud.Price) map[fleet.Pool]float64 {
	prices := make(map[fleet.Pool]float64, 2*len(list))
	for _, price := range list {
		pool := fleet.Pool{FailureDomain: price.FailureDomain, Class: price.Class}
		prices[pool] = price.OnDemand
		pool.Reclaimable = true
		prices[pool] = price.Reclaimable
	}
	return prices
}

// addVM adds a VM that the controller started; others are left alone.
func (c *Controller) addVM(o *observed, vm *cloud.VM, heard map[string]bool) {
	purpose, ours := parseToken(vm.ClientToken)
	if !ours {
		return
	}
	o.ordinals[vm.ClientToken] = true
	if vm.State == cloud.VMReclaiming {
		if _, known := c.reclaimed[vm.ID]; !known {
			c.reclaimed[vm.ID] = o.Now
		}
	}
	if vm.State == cloud.VMStopped {
		return
	}
	o.cost += o.Prices[purpose.pool]
	seen := fleet.VM{ID: vm.ID, Pool: purpose.pool, Model: purpose.model, State: fleet.VMStarting}
	e := o.endpoints[vm.ID]
	if e != nil {
		describe(o, &seen, e)
		delete(c.runningSince, vm.ID)
	}
	o.unheard[vm.ID] = e == nil && vm.State != cloud.VMStarting && !heard[purpose.pool.FailureDomain]
	if vm.State == cloud.VMReclaiming || e == nil && c.silent(vm, o.Now) && !o.unheard[vm.ID] {
		seen.State = fleet.VMLeaving
	}
	o.VMs = append(o.VMs, seen)
}

// describe enters what the endpoint of a VM announced.
func describe(o *observed, seen *fleet.VM, e *member.Endpoint) {
	seen.Endpoint = e.ID
	seen.Running = e.Load.Running + e.Load.Waiting
	wanted := wantedVersion(o.Models, seen.Model)
	for _, held := range e.Models {
		if held.Name == seen.Model && seen.Version != wanted {
			seen.Version = held.Version
		}
	}
	switch {
	case e.State == endpoint.StateLeaving:
		seen.State = fleet.VMLeaving
	case e.State == endpoint.StateReady && seen.Version != "":
		seen.State = fleet.VMServing
	}
}

func wantedVersion(models []conf.Model, name string) string {
	for i := range models {
		if models[i].Name == name {
			return models[i].Version
		}
	}
	return ""
}

// silent reports whether a VM runs too long without an endpoint.
func (c *Controller) silent(vm *cloud.VM, now time.Time) bool {
	if vm.State != cloud.VMRunning {
		return false
	}
	since, known := c.runningSince[vm.ID]
	if !known {
		c.runningSince[vm.ID] = now
		return false
	}
	return now.Sub(since) >= silentBound
}

// settleLoads counts the loads in progress against the weight store. Such an
// endpoint is not planned again and carries no capacity until it has finished.
func (c *Controller) settleLoads(o *observed) {
	present := make(map[string]bool)
	for i := range o.VMs {
		vm := &o.VMs[i]
		load, loading := c.loading[vm.ID]
		if !loading || vm.State == fleet.VMLeaving || vm.Endpoint == "" ||
			vm.Version == load.step.Version || wantedVersion(o.Models, vm.Model) != load.step.Version {
			continue
		}
		present[vm.ID] = true
		vm.Version = load.step.Version
		vm.State = fleet.VMStarting
		for m := range o.Models {
			if o.Models[m].Name == vm.Model {
				o.LoadingBytes += o.Models[m].WeightBytes
			}
		}
	}
	for id := range c.loading {
		if !present[id] {
			delete(c.loading, id)
		}
	}
}

// reclaimRate is the number of reclaims per reclaimable VM and hour.
func (c *Controller) reclaimRate(o *observed) float64 {
	for id, at := range c.reclaimed {
		if o.Now.Sub(at) > reclaimWindow {
			delete(c.reclaimed, id)
		}
	}
	count := len(c.reclaimed)
	for i := range o.VMs {
		if _, counted := c.reclaimed[o.VMs[i].ID]; o.VMs[i].Reclaimable && !counted {
			count++
		}
	}
	return float64(len(c.reclaimed)) / float64(max(count, 1))
}
