package registry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against an endpoint that becomes ready again for an entry to which it said that
// it leaves, by a late announcement, a lost replica or a long freeze of the entry, and
// against a new incarnation that is taken for leaving.
func TestDepartureHoldsForItsIncarnation(t *testing.T) {
	g := NewWithT(t)
	d := Departures{}
	e := Endpoint{ID: "i", State: Ready, Born: 5, Seq: 3}
	g.Expect(d.Note(&e, at(0))).To(BeTrue())
	g.Expect(d.Note(&e, at(1))).To(BeFalse())
	for _, moment := range []time.Time{at(1), at(2).Add(departureTTL), at(3).Add(2 * departureTTL)} {
		late := e
		late.Seq += 7
		list := []Endpoint{late}
		g.Expect(d.Apply(list, moment)).To(HaveLen(1))
		g.Expect(list[0].State).To(Equal(Draining))
	}
	reborn := e
	reborn.Born, reborn.Seq = 6, 1
	list := []Endpoint{reborn}
	g.Expect(d.Apply(list, at(4))).To(BeEmpty())
	g.Expect(list[0].State).To(Equal(Ready))
	g.Expect(d.Note(&e, at(5))).To(BeFalse(), "an answer of the former incarnation arrived late")
}

// Guards against departures that are kept for ever.
func TestDeparturesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		d := Departures{}
		count := rapid.IntRange(0, 30).Draw(t, "endpoints")
		for i := range count {
			d.Note(&Endpoint{ID: string(rune('a' + i)), Born: 1}, at(0))
		}
		listed := rapid.IntRange(0, count).Draw(t, "listed")
		var list []Endpoint
		for i := range listed {
			list = append(list, Endpoint{ID: string(rune('a' + i)), Born: 1, State: Draining})
		}
		d.Apply(list, at(1).Add(departureTTL))
		g.Expect(d).To(HaveLen(listed))
	})
}

// Guards against a draining endpoint that expires, or becomes ready again, because its
// announcements still say that it is ready.
func TestReadyAnnouncementsKeepADrainingEndpoint(t *testing.T) {
	g := NewWithT(t)
	r := New(5 * time.Second)
	e := Endpoint{ID: "i", State: Ready, Born: 1, Seq: 1}
	r.Announce(e, at(0))
	leaving := e
	leaving.State = Draining
	g.Expect(r.Announce(leaving, at(1))).To(BeTrue())
	for i := range 60 {
		e.Seq++
		moment := at(4).Add(time.Duration(i) * 4 * time.Second)
		g.Expect(r.Announce(e, moment)).To(BeFalse())
		r.Expire(moment.Add(time.Second))
		g.Expect(r.Live()).To(HaveLen(1))
		g.Expect(r.Live()[0].State).To(Equal(Draining))
	}
}

// Guards against a replica that missed the departure of an endpoint and never learns of it, because the replica that receives the endpoint's announcements does not share what it knows.
func TestReplicaThatMissedADepartureLearnsOfIt(t *testing.T) {
	g := NewWithT(t)
	receiver, late := New(5*time.Second), New(5*time.Second)
	e := Endpoint{ID: "i", Service: "s", Address: "10.0.0.1:1", State: Ready, Born: 100, Seq: 1}
	departed := e
	departed.State = Draining
	receiver.Merge(departed, at(0))
	late.Announce(e, at(0))
	e.Seq = 2
	receiver.Announce(e, at(10))
	for _, shared := range receiver.RecentLocal(at(10.1), time.Second) {
		late.Merge(shared.Endpoint, at(10.1))
	}
	g.Expect(late.Live()).To(HaveLen(1))
	g.Expect(late.Live()[0].State).To(Equal(Draining))
}
