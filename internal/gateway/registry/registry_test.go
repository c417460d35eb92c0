package registry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a late announcement that revives a draining or withdrawn endpoint.
func TestLateAnnouncementDoesNotRevive(t *testing.T) {
	g := NewWithT(t)
	r := New(5 * time.Second)
	e := Endpoint{ID: "i", Service: "s", Address: "10.0.0.1:1", State: Ready, Born: 100, Seq: 7}
	r.Announce(e, at(0))
	draining := e
	draining.State, draining.Seq = Draining, 8
	g.Expect(r.Announce(draining, at(1))).To(BeTrue())
	late := e
	late.Seq = 9
	g.Expect(r.Announce(late, at(2))).To(BeFalse())
	g.Expect(r.Live()[0].State).To(Equal(Draining))
	r.Withdraw("i", 0, at(3))
	g.Expect(r.Announce(late, at(4))).To(BeFalse())
	g.Expect(r.Live()).To(BeEmpty())
	restarted := e
	restarted.Born, restarted.Seq = 101, 1
	g.Expect(r.Announce(restarted, at(5))).To(BeTrue())
	g.Expect(r.Live()).To(HaveLen(1))
}

// Guards against an endpoint that is withdrawn before its first announcement
// arrives, and is then revived by that delayed announcement.
func TestWithdrawalOfUnknownEndpointIsRemembered(t *testing.T) {
	g := NewWithT(t)
	r := New(5 * time.Second)
	r.Withdraw("i", 500, at(0))
	r.Announce(Endpoint{ID: "i", State: Ready, Born: 400, Seq: 3}, at(1))
	g.Expect(r.Live()).To(BeEmpty())
	r.Announce(Endpoint{ID: "i", State: Ready, Born: 600, Seq: 1}, at(1))
	g.Expect(r.Live()).To(HaveLen(1))
}

// Guards against an endpoint that stays in use after its lease has ended, and
// against one that cannot return by a new announcement.
func TestSilentEndpointExpires(t *testing.T) {
	g := NewWithT(t)
	r := New(5 * time.Second)
	r.Announce(Endpoint{ID: "i", State: Ready, Born: 1, Seq: 1}, at(0))
	before, changed := r.Since(0, 10)
	r.Expire(at(4))
	g.Expect(r.Live()).To(HaveLen(1))
	r.Expire(at(6))
	g.Expect(r.Live()).To(BeEmpty())
	g.Expect(changed).To(BeClosed())
	list, _ := r.Since(before.Version, 10)
	g.Expect(list.Views).To(ConsistOf(View{Endpoint: Endpoint{ID: "i", State: Ready, Born: 1, Seq: 1}, Expired: true}))
	r.Announce(Endpoint{ID: "i", State: Ready, Born: 1, Seq: 2}, at(7))
	g.Expect(r.Live()).To(HaveLen(1))
}

// Guards against replicas that disagree permanently: the same announcements must
// give the same state in any order.
func TestOrderOfAnnouncementsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Endpoint {
			return Endpoint{
				ID: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), State: State(rapid.IntRange(1, 3).Draw(t, "state")),
				Born: rapid.Int64Range(1, 3).Draw(t, "born"), Seq: rapid.Uint64Range(1, 4).Draw(t, "seq"),
			}
		}), 1, 8).Draw(t, "list")
		permuted := rapid.Permutation(list).Draw(t, "other")
		first, second := New(time.Hour), New(time.Hour)
		for i := range list {
			first.Announce(list[i], at(0))
			second.Merge(permuted[i], at(0))
		}
		g := NewWithT(t)
		g.Expect(first.Live()).To(ConsistOf(second.Live()))
	})
}

// Guards against an entry that drops an endpoint because a partitioned replica no
// longer receives its announcements, and against an entry that ignores that an
// endpoint drains or is gone.
func TestDirectoryTakesTheNewestView(t *testing.T) {
	g := NewWithT(t)
	d := NewDirectory()
	alive := Endpoint{ID: "i", State: Ready, Born: 1, Seq: 5}
	d.Apply("r1", Part{Views: []View{{Endpoint: alive}}, Full: true}, at(0))
	d.Apply("r2", Part{Views: []View{{Endpoint: Endpoint{ID: "i", State: Ready, Born: 1, Seq: 3}, Expired: true}}, Full: true}, at(0))
	g.Expect(d.Endpoints()).To(ConsistOf(alive))
	d.Apply("r2", Part{Views: []View{{Endpoint: Endpoint{ID: "i", State: Draining, Born: 1, Seq: 4}}}}, at(0))
	g.Expect(d.Endpoints()[0].State).To(Equal(Draining))
	d.Apply("r1", Part{Views: []View{{Endpoint: Endpoint{ID: "i", State: Gone, Born: 1, Seq: 5}}}}, at(0))
	g.Expect(d.Endpoints()).To(BeEmpty())
}

// Guards against an entry that loses endpoints while a full update arrives in parts, or
// keeps those that the update does not name, and against a part that is left out.
func TestFullUpdateArrivesInParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		count, limit := rapid.IntRange(0, 40).Draw(t, "endpoints"), rapid.IntRange(1, 12).Draw(t, "limit")
		r := New(time.Hour)
		for i := range count {
			r.Announce(Endpoint{ID: fmt.Sprint(i), State: Ready, Born: 1, Seq: 1}, at(0))
		}
		d := NewDirectory()
		d.Apply("r", Part{Views: []View{{Endpoint: Endpoint{ID: "old", State: Ready, Born: 1}}}, Full: true}, at(0))
		version, full := uint64(0), true
		for more := true; more; full = false {
			update, _ := r.Since(version, limit)
			g.Expect(len(update.Views)).To(BeNumerically("<=", limit))
			version, more = update.Version, update.More
			d.Apply("r", Part{Views: update.Views, Full: full, More: more}, at(0))
			if more {
				g.Expect(len(d.Endpoints())).To(BeNumerically(">", len(update.Views)))
			}
		}
		g.Expect(d.Endpoints()).To(HaveLen(count))
	})
}

// Guards against a version that counts as the only one because a replica is silent, has
// started lately or has not sent its whole view, or because another version left lately.
func TestSoleVersion(t *testing.T) {
	v1, v2 := Endpoint{ID: "1", Service: "s", State: Ready, Born: 1, SoftwareVersion: "v1"}, Endpoint{ID: "2", Service: "s", State: Ready, Born: 1, SoftwareVersion: "v2"}
	views := func(list ...Endpoint) (all []View) {
		for _, e := range list {
			all = append(all, View{Endpoint: e})
		}
		return all
	}
	for name, c := range map[string]struct {
		parts []Part
		at    time.Time
		sole  bool
	}{
		"one version":          {[]Part{{Views: views(v1), Full: true, Recorded: minHistory}}, at(0), true},
		"no endpoint":          {[]Part{{Full: true, Recorded: minHistory}}, at(0), false},
		"two versions":         {[]Part{{Views: views(v1, v2), Full: true, Recorded: minHistory}}, at(0), false},
		"silent replica":       {[]Part{{Views: views(v1), Full: true, Recorded: minHistory}}, at(0).Add(maxViewAge + 1), false},
		"new replica":          {[]Part{{Views: views(v1), Full: true, Recorded: minHistory - 1}}, at(0), false},
		"part of a view":       {[]Part{{Views: views(v1), Full: true, More: true, Recorded: minHistory}}, at(0), false},
		"past version":         {[]Part{{Views: views(v1), Full: true, Recorded: minHistory, Past: []ServiceVersion{{"s", "v0"}}}}, at(0), false},
		"past, other service":  {[]Part{{Views: views(v1), Full: true, Recorded: minHistory, Past: []ServiceVersion{{"t", "v0"}}}}, at(0), true},
		"version left":         {[]Part{{Views: views(v1, v2), Full: true}, {Views: views(v1), Full: true, Recorded: minHistory}}, at(0), false},
		"version was replaced": {[]Part{{Views: views(v1), Full: true}, {Views: views(Endpoint{ID: "1", Service: "s", State: Ready, Born: 2, SoftwareVersion: "v2"}), Recorded: minHistory}}, at(0), false},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDirectory()
			for _, part := range c.parts {
				d.Apply("r", part, at(0))
			}
			_, sole := d.SoleVersion("s", c.at)
			NewWithT(t).Expect(sole).To(Equal(c.sole))
		})
	}
}

// Guards against watchers that do not learn that a draining endpoint leaves earlier than it said first.
func TestEarlierShutdownIsAChange(t *testing.T) {
	g := NewWithT(t)
	r, start := New(time.Minute), time.Unix(1000, 0)
	announce := func(seq uint64, left, at time.Duration) bool {
		e := Endpoint{ID: "i", Born: 1, State: Draining, Seq: seq, TimeLeftMS: left.Milliseconds()}
		return r.Announce(e, start.Add(at))
	}
	g.Expect(announce(1, 20*time.Second, 0)).To(BeTrue())
	g.Expect(announce(2, 19*time.Second, time.Second)).To(BeFalse())
	g.Expect(announce(3, 700*time.Millisecond, 2*time.Second)).To(BeTrue())
	g.Expect(announce(4, 200*time.Millisecond, 2500*time.Millisecond)).To(BeFalse())
}
