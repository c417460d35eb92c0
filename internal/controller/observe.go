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
	// missingEndpointTimeout is how long a running VM may be without an
	// endpoint before it is replaced. It is twice the five minutes that the
	// planner allows for start, load and warm-up.
	missingEndpointTimeout = 10 * time.Minute
	// reclaimWindow is the time over which reclaims are counted.
	reclaimWindow = time.Hour
)

// observation is one observation of the fleet, with what is needed to give orders.
type observation struct {
	fleet.Observation
	endpoints map[string]*member.Endpoint // by VM
	// ordinals holds the client tokens in use, including those of stopped VMs.
	ordinals map[string]bool
	// unreachable holds the VMs without an endpoint in failure domains none of
	// whose endpoints is known. They may be serving behind a partition, so they
	// get no orders.
	unreachable map[string]bool
	cost        float64
}

// observe queries the cloud and matches its VMs with the announced endpoints.
func (c *Controller) observe(ctx context.Context, doc *conf.Document) (*observation, error) {
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
	o := &observation{endpoints: make(map[string]*member.Endpoint), ordinals: make(map[string]bool), unreachable: make(map[string]bool)}
	o.Now = c.options.Now()
	o.Fleet, o.Models, o.Backoff = doc.Fleet, doc.Models, c.backoff
	o.Demand = c.options.Demand.Demand()
	o.Prices = pricesByPool(prices)
	reachableDomains := make(map[string]bool)
	for _, e := range c.options.Endpoints.List() {
		if e.Kind == endpoint.KindEngine {
			o.endpoints[e.VM] = e
			reachableDomains[e.FailureDomain] = true
		}
	}
	for i := range vms {
		c.addVM(o, &vms[i], reachableDomains)
	}
	c.countLoads(o)
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

// addVM adds a VM to the observation. VMs that no controller started are ignored.
func (c *Controller) addVM(o *observation, vm *cloud.VM, reachableDomains map[string]bool) {
	purpose, owned := parseToken(vm.ClientToken)
	if !owned {
		return
	}
	o.ordinals[vm.ClientToken] = true
	if vm.State == cloud.VMReclaiming {
		if _, known := c.reclaimedAt[vm.ID]; !known {
			c.reclaimedAt[vm.ID] = o.Now
		}
	}
	if vm.State == cloud.VMStopped {
		return
	}
	o.cost += o.Prices[purpose.pool]
	observedVM := fleet.VM{ID: vm.ID, Pool: purpose.pool, Model: purpose.model, State: fleet.VMStarting}
	e := o.endpoints[vm.ID]
	if e != nil {
		applyAnnouncement(o, &observedVM, e)
		delete(c.noEndpointSince, vm.ID)
	}
	o.unreachable[vm.ID] = e == nil && vm.State != cloud.VMStarting && !reachableDomains[purpose.pool.FailureDomain]
	if vm.State == cloud.VMReclaiming || e == nil && c.lacksEndpoint(vm, o.Now) && !o.unreachable[vm.ID] {
		observedVM.State = fleet.VMLeaving
	}
	o.VMs = append(o.VMs, observedVM)
}

// applyAnnouncement adds what the endpoint of a VM announced.
func applyAnnouncement(o *observation, observedVM *fleet.VM, e *member.Endpoint) {
	observedVM.Endpoint = e.ID
	observedVM.Running = e.Load.Running + e.Load.Waiting
	wanted := wantedVersion(o.Models, observedVM.Model)
	for _, loaded := range e.Models {
		if loaded.Name == observedVM.Model && observedVM.Version != wanted {
			observedVM.Version = loaded.Version
		}
	}
	switch {
	case e.State == endpoint.StateLeaving:
		observedVM.State = fleet.VMLeaving
	case e.State == endpoint.StateReady && observedVM.Version != "":
		observedVM.State = fleet.VMServing
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

// lacksEndpoint reports whether a VM has been running without an endpoint for
// missingEndpointTimeout.
func (c *Controller) lacksEndpoint(vm *cloud.VM, now time.Time) bool {
	if vm.State != cloud.VMRunning {
		return false
	}
	since, known := c.noEndpointSince[vm.ID]
	if !known {
		c.noEndpointSince[vm.ID] = now
		return false
	}
	return now.Sub(since) >= missingEndpointTimeout
}

// countLoads adds the loads in progress to the load of the weight store and drops
// those that have ended. An endpoint that is loading counts as starting: it gets no
// further load and has no capacity until the load has finished.
func (c *Controller) countLoads(o *observation) {
	inProgress := make(map[string]bool)
	for i := range o.VMs {
		vm := &o.VMs[i]
		load, loading := c.loading[vm.ID]
		if !loading || vm.State == fleet.VMLeaving || vm.Endpoint == "" ||
			vm.Version == load.step.Version || wantedVersion(o.Models, vm.Model) != load.step.Version {
			continue
		}
		inProgress[vm.ID] = true
		vm.Version = load.step.Version
		vm.State = fleet.VMStarting
		for m := range o.Models {
			if o.Models[m].Name == vm.Model {
				o.LoadingBytes += o.Models[m].WeightBytes
			}
		}
	}
	for id := range c.loading {
		if !inProgress[id] {
			delete(c.loading, id)
		}
	}
}

// reclaimRate returns the number of reclaims per reclaimable VM and hour.
func (c *Controller) reclaimRate(o *observation) float64 {
	for id, at := range c.reclaimedAt {
		if o.Now.Sub(at) > reclaimWindow {
			delete(c.reclaimedAt, id)
		}
	}
	count := len(c.reclaimedAt)
	for i := range o.VMs {
		if _, counted := c.reclaimedAt[o.VMs[i].ID]; o.VMs[i].Reclaimable && !counted {
			count++
		}
	}
	return float64(len(c.reclaimedAt)) / float64(max(count, 1))
}
