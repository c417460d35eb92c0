package state

import (
	"time"

	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/port"
)

// versionStopTime is how long after the end of a roll-out endpoints of the version that is not
// kept may still be stopping.
const versionStopTime = 30 * time.Second

// isRollingOut reports whether a service has endpoints of two versions because of a roll-out.
// The planner counts both, so that it sees a surplus. An order of fewer endpoints could then
// remove those of the version that is needed, while the surplus goes by itself at the end.
func (s *State) isRollingOut(service string, endpoints []registry.Endpoint) bool {
	table, _ := s.appliedRollouts()
	r := table.of(service)
	if r == nil {
		return false
	}
	if !r.Ended() {
		return true
	}
	others, same := countVersions(endpoints, service, r.To)
	return others > 0 && same > 0 && s.clock.Now().Sub(r.PhaseAt()) < versionStopTime
}

// reducesCount reports whether an order asks for fewer endpoints than its domain has ready.
func reducesCount(order port.CountOrder, endpoints []registry.Endpoint) bool {
	ready := 0
	for i := range endpoints {
		e := &endpoints[i]
		if e.State == registry.Ready && e.Domain == order.FailureDomain && e.Reclaimable == order.Reclaimable {
			ready++
		}
	}
	return order.Count < ready
}
