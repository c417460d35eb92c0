package state

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/gateway/rules"
	"github.com/boragelead/boragelead/internal/gateway/scale"
	"github.com/boragelead/boragelead/internal/port"
)

// scaledService plays the planner of one service in one domain, one plan per half second.
type scaledService struct {
	planner *scale.Planner
	now     time.Time
	load    int
}

func (s *scaledService) run(d time.Duration, endpoints []registry.Endpoint, keepsAll bool) (orders []port.CountOrder) {
	for until := s.now.Add(d); s.now.Before(until); s.now = s.now.Add(scaleInterval) {
		for _, order := range s.planner.Plan(&scale.Input{
			Now: s.now, Domains: []string{"a"}, Endpoints: endpoints, InFlight: s.load,
			Service: &rules.Service{Name: "s", Engine: &rules.Engine{Slots: 12}, Scaling: &rules.Scaling{Min: 1, Max: 40}},
		}) {
			if keepsAll && reducesCount(order, endpoints) {
				continue
			}
			s.planner.RecordOrder(order, s.now)
			orders = append(orders, order)
		}
	}
	return orders
}

func versions(old, young int) []registry.Endpoint {
	var list []registry.Endpoint
	for i := range old + young {
		e := registry.Endpoint{ID: fmt.Sprint(i), Service: "s", Domain: "a", State: registry.Ready, Reclaimable: true, SoftwareVersion: "v1"}
		if i >= old {
			e.SoftwareVersion = "v2"
		}
		list = append(list, e)
	}
	return list
}

// Guards against a planner that orders endpoints during a roll-out which it already has at
// the other version, orders them again at its end, or orders fewer while the surplus of two
// versions is wanted.
func TestPlannerCountsBothVersionsOfARollout(t *testing.T) {
	g := NewWithT(t)
	s := &scaledService{planner: scale.New(), now: time.Unix(1000, 0), load: 11}
	steady := versions(8, 0)
	s.run(30*time.Second, steady, false)
	g.Expect(s.run(5*time.Second, steady, false)).To(BeEmpty())
	g.Expect(s.run(10*time.Second, versions(8, 8), true)).To(BeEmpty())
	g.Expect(s.run(10*time.Second, versions(0, 8), false)).To(BeEmpty())
	// A load that needs more than both versions have is still followed.
	s.load = 33
	orders := s.run(5*time.Second, versions(8, 8), true)
	g.Expect(orders).NotTo(BeEmpty())
	g.Expect(orders[len(orders)-1].Count).To(BeNumerically(">", 16))
}

// Guards against a former test that passes because the planner orders nothing at all:
// without a roll-out, the same surplus is removed.
func TestPlannerRemovesASurplusWithoutARollout(t *testing.T) {
	g := NewWithT(t)
	s := &scaledService{planner: scale.New(), now: time.Unix(1000, 0), load: 11}
	s.run(35*time.Second, versions(8, 0), false)
	orders := s.run(5*time.Second, versions(8, 8), false)
	g.Expect(orders).To(HaveLen(1))
	g.Expect(orders[0].Count).To(Equal(8))
}
