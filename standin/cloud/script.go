package cloud

import (
	"time"

	"github.com/boragelead/boragelead/api/cloud"
)

// Step is one step of a script.
type Step struct {
	// After is the real time from the start of the script.
	After time.Duration
	Do    func(c *Cloud)
}

// Play runs a script in the background until its end or Close.
func (c *Cloud) Play(steps []Step) {
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

// SetPrice changes a price.
func (c *Cloud) SetPrice(price cloud.Price) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle(time.Now())
	c.prices[place{price.FailureDomain, price.Class}] = price
}

// refusalRule refuses starts; empty fields match any.
type refusalRule struct {
	domain, class   string
	reclaimableOnly bool
	// left is the number of starts to refuse; negative means all.
	left int
}

// RefuseStarts refuses the next starts that match; an empty domain or class
// matches any, and a negative count refuses until AllowStarts.
func (c *Cloud) RefuseStarts(domain, class string, reclaimableOnly bool, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusal = append(c.refusal, refusalRule{domain, class, reclaimableOnly, count})
}

// AllowStarts ends all refusals.
func (c *Cloud) AllowStarts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusal = nil
}

// refuses applies the refusal rules to a start. The caller holds mu.
func (c *Cloud) refuses(req *cloud.StartRequest) bool {
	for i := range c.refusal {
		rule := &c.refusal[i]
		matches := (rule.domain == "" || rule.domain == req.FailureDomain) &&
			(rule.class == "" || rule.class == req.Class) && (req.Reclaimable || !rule.reclaimableOnly)
		if matches && rule.left != 0 {
			rule.left--
			return true
		}
	}
	return false
}

// LoseStartAnswers cuts the connection after each of the next starts, which
// take effect.
func (c *Cloud) LoseStartAnswers(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = count
}

// Reclaim gives notice to VMs and stops them at the deadline. VMs that cannot
// be reclaimed, or already are, are left alone.
func (c *Cloud) Reclaim(notice time.Duration, ids ...string) {
	c.mu.Lock()
	var noticed []cloud.VM
	for _, id := range ids {
		m := c.vms[id]
		if m == nil || !m.vm.Reclaimable || m.vm.State == cloud.VMStopped || m.vm.State == cloud.VMReclaiming {
			continue
		}
		m.vm.State = cloud.VMReclaiming
		m.deadline = time.Now().Add(notice)
		c.notices = append(c.notices, cloud.Notice{Seq: uint64(len(c.notices) + 1), VM: id})
		noticed = append(noticed, m.vm)
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
	c.Reclaim(notice, c.reclaimable(func(vm cloud.VM) bool { return vm.FailureDomain == domain })...)
}

// ReclaimWave reclaims a share of all reclaimable VMs, chosen by the seed.
func (c *Cloud) ReclaimWave(share float64, notice time.Duration) {
	c.Reclaim(notice, c.reclaimable(func(cloud.VM) bool { return c.rand.Float64() < share })...)
}

// reclaimable returns the running reclaimable VMs that are chosen. It calls choose with mu held.
func (c *Cloud) reclaimable(choose func(cloud.VM) bool) []string {
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
