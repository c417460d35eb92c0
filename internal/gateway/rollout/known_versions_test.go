package rollout

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/bootclock"
)

// Guards against an entry that learns of endpoints of a new version before it learns of their
// roll-out, and sends them its whole load; and against versions that stay withheld although
// the records have since been known to be the newest.
func TestVersionOfAnUnknownRolloutIsWithheld(t *testing.T) {
	g := NewWithT(t)
	table := NewTable("e")
	at := func(seconds int) bootclock.Instant { return bootclock.Instant(time.Duration(seconds) * time.Second) }
	side := func() Side { return table.Split(Attempt{Service: "s"}, time.Unix(100, 0), at(20)).Side }
	v1, v2 := ReadyVersion{Service: "s", Version: "v1", Born: 1}, ReadyVersion{Service: "s", Version: "v2", Born: 2}
	table.NoteVersions([]ReadyVersion{v1}, at(10))
	g.Expect(side()).To(Equal(Any))
	table.NoteVersions([]ReadyVersion{v1, v2}, at(12))
	table.Apply(Update{KnownAt: at(11)})
	g.Expect(side()).To(Equal(Old))
	g.Expect(table.MayReceive("s", "v2", at(20))).To(BeFalse())
	g.Expect(table.MayReceive("s", "v1", at(20))).To(BeTrue())
	table.Apply(Update{KnownAt: at(13)})
	g.Expect(side()).To(Equal(Any))
	g.Expect(table.Idle()).To(BeTrue())

	// A version that left and comes back may belong to a later roll-out.
	table.NoteVersions([]ReadyVersion{v2}, at(14))
	table.NoteVersions([]ReadyVersion{v2, {Service: "s", Version: "v1", Born: 9}}, at(15))
	g.Expect(table.MayReceive("s", "v1", at(20))).To(BeFalse())
	g.Expect(table.MayReceive("s", "v2", at(20))).To(BeTrue())

	// Without any knowledge, the version that started first gets the requests; a sole one
	// always does.
	fresh := NewTable("e")
	fresh.NoteVersions([]ReadyVersion{v2, v1}, at(10))
	g.Expect(fresh.MayReceive("s", "v2", at(20))).To(BeFalse())
	g.Expect(fresh.MayReceive("s", "v1", at(20))).To(BeTrue())
	fresh.NoteVersions([]ReadyVersion{v2}, at(11))
	g.Expect(fresh.MayReceive("s", "v2", at(20))).To(BeTrue())
}
