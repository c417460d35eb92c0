package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/gateway/registry"
)

// Guards against a part of a stream that counts as complete because its endpoint, which announced long before that it shuts
// down, is no longer listed when it closes the connection. The drain has to be remembered for drainRecordTTL from the last listing.
func TestLongDrainIsRememberedAfterTheLastListing(t *testing.T) {
	g := NewWithT(t)
	d, start := newDrains(), time.Unix(1000, 0)
	e := registry.Endpoint{ID: "i", Born: 1, State: registry.Draining, TimeLeftMS: 90_000}
	d.takeUnhandled(&e, start)
	d.forgetUnknown([]registry.Endpoint{e}, start.Add(89*time.Second))
	d.forgetUnknown(nil, start.Add(89*time.Second+500*time.Millisecond))
	_, known := d.leavesAt(&e)
	g.Expect(known).To(BeTrue())
}

// Guards against the drain of a later incarnation that hides that of an earlier one, of which a slow caller still reads a stream.
func TestDrainOfALaterIncarnationDoesNotHideTheEarlierOne(t *testing.T) {
	g := NewWithT(t)
	d, start := newDrains(), time.Unix(1000, 0)
	first := registry.Endpoint{ID: "i", Born: 1, State: registry.Draining, TimeLeftMS: 1000}
	second := registry.Endpoint{ID: "i", Born: 2, State: registry.Draining, TimeLeftMS: 1000}
	d.takeUnhandled(&first, start)
	d.takeUnhandled(&second, start.Add(5*time.Second))
	_, known := d.leavesAt(&first)
	g.Expect(known).To(BeTrue())
}
