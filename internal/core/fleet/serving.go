package fleet

import "github.com/boragelead/boragelead/internal/core/conf"

// servingCapacity is the capacity of the VMs that serve a model. Steps that take
// a VM out of use subtract its capacity.
type servingCapacity struct {
	need       float64
	vmCapacity map[Pool]float64
	total      float64
	vms        int
	minVMs     int
}

func newServingCapacity(o *Observation, m *ModelPlan) *servingCapacity {
	s := &servingCapacity{need: m.Need.Capacity, minVMs: m.Need.MinVMs, vmCapacity: make(map[Pool]float64, len(m.Offers))}
	for i := range m.Offers {
		s.vmCapacity[m.Offers[i].Pool] = m.Offers[i].Capacity
	}
	for i := range o.VMs {
		if vm := &o.VMs[i]; vm.Model == m.Model && vm.State == VMServing {
			s.total += s.capacityOf(vm)
			s.vms++
		}
	}
	return s
}

func (s *servingCapacity) capacityOf(vm *VM) float64 {
	if vm.Speed > 0 {
		return vm.Speed
	}
	return s.vmCapacity[vm.Pool]
}

// remove subtracts a VM if the remaining VMs meet the need, and reports whether
// it did.
func (s *servingCapacity) remove(vm *VM) bool {
	left := s.total - s.capacityOf(vm)
	if left+capacitySlack < s.need || s.vms-1 < s.minVMs {
		return false
	}
	s.total = left
	s.vms--
	return true
}

func findModel(o *Observation, name string) conf.Model {
	for i := range o.Models {
		if o.Models[i].Name == name {
			return o.Models[i]
		}
	}
	return conf.Model{Name: name}
}
