package fleet

import "github.com/boragelead/boragelead/internal/core/conf"

// serving tracks what the VMs that serve a model carry while steps take some away.
type serving struct {
	need   float64
	offers map[Pool]float64
	total  float64
	vms    int
	minVMs int
}

func newServing(o *Observation, m *ModelPlan) *serving {
	s := &serving{need: m.Need.Capacity, minVMs: m.Need.MinVMs, offers: make(map[Pool]float64, len(m.Offers))}
	for i := range m.Offers {
		s.offers[m.Offers[i].Pool] = m.Offers[i].Capacity
	}
	for i := range o.VMs {
		if vm := &o.VMs[i]; vm.Model == m.Model && vm.State == VMServing {
			s.total += s.capacity(vm)
			s.vms++
		}
	}
	return s
}

func (s *serving) capacity(vm *VM) float64 {
	if vm.Speed > 0 {
		return vm.Speed
	}
	return s.offers[vm.Pool]
}

// remove takes a VM away if the others carry the need, and reports whether it did.
func (s *serving) remove(vm *VM) bool {
	left := s.total - s.capacity(vm)
	if left+capacitySlack < s.need || s.vms-1 < s.minVMs {
		return false
	}
	s.total = left
	s.vms--
	return true
}

func modelOf(o *Observation, name string) conf.Model {
	for i := range o.Models {
		if o.Models[i].Name == name {
			return o.Models[i]
		}
	}
	return conf.Model{Name: name}
}
