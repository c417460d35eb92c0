package cloud

import (
	"time"

	"github.com/boragelead/boragelead/api/cloud"
)

// Step is an action that a script performs at a given time.
type Step struct {
	// After is the real time from the start of the script to the step.
	After time.Duration
	Do    func(c *Cloud)
}

// RunScript runs a script in the background until its end or until Close.
func (c *Cloud) RunScript(steps []Step) {
	begin := time.Now()
	go func() {
		for _, step := range steps {
			timer := time.NewTimer(time.Until(begin.Add(step.After)))
			select {
			case <-timer.C:
				step.Do(c)
			case <-c.ctx.Done():
				timer.Stop()
				return
			}
		}
	}()
}

// SetPrice sets the price of a machine class in a failure domain from now on.
func (c *Cloud) SetPrice(price cloud.Price) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accrueCost(time.Now())
	c.prices[priceKey{price.FailureDomain, price.Class}] = price
}

// refusalRule refuses starts. An empty domain or class matches any.
type refusalRule struct {
	domain, class   string
	reclaimableOnly bool
	// remaining is the number of starts still to be refused; a negative number
	// means all.
	remaining int
}

// RefuseStarts refuses the next count starts that match. An empty domain or
// class matches any. A negative count refuses all matching starts until
// AllowStarts is called.
func (c *Cloud) RefuseStarts(domain, class string, reclaimableOnly bool, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusalRules = append(c.refusalRules, refusalRule{domain, class, reclaimableOnly, count})
}

// AllowStarts removes all rules set by RefuseStarts.
func (c *Cloud) AllowStarts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusalRules = nil
}

// applyRefusalRules reports whether a rule refuses the start, and counts the
// refusal. The caller holds mu.
func (c *Cloud) applyRefusalRules(req *cloud.StartRequest) bool {
	for i := range c.refusalRules {
		rule := &c.refusalRules[i]
		matches := (rule.domain == "" || rule.domain == req.FailureDomain) &&
			(rule.class == "" || rule.class == req.Class) && (req.Reclaimable || !rule.reclaimableOnly)
		if matches && rule.remaining != 0 {
			rule.remaining--
			return true
		}
	}
	return false
}

// DropStartAnswers closes the connection without an answer on each of the next
// count starts. The VMs are started nevertheless.
func (c *Cloud) DropStartAnswers(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropAnswers = count
}

// Reclaim gives notice to VMs and stops them when the notice period is over. It
// ignores VMs that are on-demand, stopped or already being reclaimed.
func (c *Cloud) Reclaim(notice time.Duration, ids ...string) {
	c.mu.Lock()
	var noticed []cloud.VM
	for _, id := range ids {
		record := c.vms[id]
		if record == nil || !record.vm.Reclaimable || record.vm.State == cloud.VMStopped || record.vm.State == cloud.VMReclaiming {
			continue
		}
		record.vm.State = cloud.VMReclaiming
		record.deadline = time.Now().Add(notice)
		c.notices = append(c.notices, cloud.Notice{Seq: uint64(len(c.notices) + 1), VM: id})
		noticed = append(noticed, record.vm)
	}
	close(c.noticed)
	c.noticed = make(chan struct{})
	c.mu.Unlock()
	for _, vm := range noticed {
		time.AfterFunc(notice, func() { c.stop(vm.ID) })
		if c.config.Callbacks.Noticed != nil {
			go c.config.Callbacks.Noticed(vm, notice)
		}
	}
}

// ReclaimDomain reclaims all reclaimable VMs of a failure domain at once.
func (c *Cloud) ReclaimDomain(domain string, notice time.Duration) {
	c.Reclaim(notice, c.selectReclaimable(func(vm cloud.VM) bool { return vm.FailureDomain == domain })...)
}

// ReclaimShare reclaims each reclaimable VM with the probability share. The
// random numbers are derived from Config.Seed.
func (c *Cloud) ReclaimShare(share float64, notice time.Duration) {
	c.Reclaim(notice, c.selectReclaimable(func(cloud.VM) bool { return c.rand.Float64() < share })...)
}

// selectReclaimable returns the IDs of the starting and running reclaimable VMs
// that choose accepts. It calls choose with mu held.
func (c *Cloud) selectReclaimable(choose func(cloud.VM) bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for _, id := range c.order {
		vm := c.vms[id].vm
		if vm.Reclaimable && (vm.State == cloud.VMRunning || vm.State == cloud.VMStarting) && choose(vm) {
			ids = append(ids, id)
		}
	}
	return ids
}
