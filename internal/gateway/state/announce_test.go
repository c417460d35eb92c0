package state

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/registry"
)

// Guards against odd entries that another replica forwards or that are stored on disk: they
// name no endpoint, and the others have to hold.
func TestOddAnnouncementsOfReplicasAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	s := &State{registry: registry.New(time.Minute), log: zap.NewNop()}
	sound := registry.Endpoint{ID: "sound", Service: "s", Address: "10.0.0.1:80", Domain: "z", Slots: 8, State: registry.Ready, Born: 17, Seq: 4}
	changed := func(change func(e *registry.Endpoint)) registry.ReceivedAnnouncement {
		e := sound
		e.ID = "odd"
		change(&e)
		return registry.ReceivedAnnouncement{Endpoint: e}
	}
	s.merge([]registry.ReceivedAnnouncement{
		changed(func(e *registry.Endpoint) { e.ID = "" }),
		changed(func(e *registry.Endpoint) { e.Address = "10.0.0.1:99999" }),
		changed(func(e *registry.Endpoint) { e.Slots = math.MaxInt }),
		changed(func(e *registry.Endpoint) { e.Born = math.MaxInt64 }),
		changed(func(e *registry.Endpoint) { e.TimeLeftMS = math.MaxInt64 }),
		changed(func(e *registry.Endpoint) { e.State = 9 }),
		{Endpoint: sound, AgeMS: math.MinInt64},
		{Endpoint: registry.Endpoint{ID: "gone", State: registry.Gone, Born: 12}},
	}, time.Now())
	g.Expect(s.registry.Live()).To(ConsistOf(sound))
}
