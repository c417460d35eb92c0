package suspect

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragelead/boragelead/internal/core/conf"
)

var (
	partConfig = conf.Retry{QuarantineCrashes: 3, QuarantineS: 120}
	firstPart  = NewPartFingerprint("llm", 1)
	topic      = NewPartFingerprint("llm", 2)
	deadly     = NewPartFingerprint("llm", 3)
	otherTopic = NewPartFingerprint("llm", 4)
)

// crashApart records crashes that are too far apart for a wave and returns the time
// of the last one.
func crashApart(t *Tracker, count int, from time.Time, parts ...Fingerprint) time.Time {
	now := from
	for i := range count {
		now = now.Add(waveWindow + time.Millisecond)
		running := append([]Fingerprint{testFingerprint(i)}, parts...)
		t.Crash(fmt.Sprint("e", now.UnixNano()), 1, running, now)
	}
	return now
}

// Guards against holding back parts that sound requests share with deadly ones.
func TestSharedPartsAreNotQuarantined(t *testing.T) {
	g := NewWithT(t)
	tracker := NewTracker(partConfig)
	tracker.Survived([]Fingerprint{firstPart, topic}, epoch)
	now := crashApart(tracker, 3, epoch, firstPart, topic, deadly)
	var q *QuarantinedError
	g.Expect(errors.As(tracker.CheckPart(deadly, now.Add(time.Second)), &q)).To(BeTrue())
	g.Expect(q.Crashes).To(Equal(3))
	g.Expect(q.LastCrashAge).To(Equal(time.Second))
	g.Expect(q.RetryAfter).To(Equal(minPartProbeInterval - time.Second))
	g.Expect(tracker.CheckPart(topic, now)).To(Succeed())
	g.Expect(tracker.CheckPart(firstPart, now)).To(Succeed())
}

// Guards against a part that turns deadly after it was sound and is explained by
// its neighbours.
func TestPartThatTurnsDeadlyIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	tracker := NewTracker(partConfig)
	tracker.Survived([]Fingerprint{firstPart, topic}, epoch)
	now := crashApart(tracker, 3, epoch, firstPart, topic)
	tracker.Survived([]Fingerprint{firstPart}, now)
	g.Expect(tracker.CheckPart(topic, now)).NotTo(Succeed())
	g.Expect(tracker.CheckPart(firstPart, now)).To(Succeed())
}

// Guards against a quarantine of the parts of one request that is itself the cause.
func TestRepeatedRequestDoesNotIncriminateItsParts(t *testing.T) {
	g := NewWithT(t)
	tracker := NewTracker(partConfig)
	now := epoch
	for i := range 3 {
		now = now.Add(waveWindow + time.Millisecond)
		tracker.Crash(fmt.Sprint("e", i), 1, []Fingerprint{testFingerprint(0), topic}, now)
	}
	g.Expect(tracker.CheckPart(topic, now)).To(Succeed())
	_, err := tracker.Begin(testFingerprint(0), now)
	g.Expect(quarantined(err)).To(BeTrue())
}

// Guards against a quarantine by the loss of a failure domain: its endpoints crash
// at once, and each runs some of the requests with a part.
func TestWaveDoesNotQuarantineParts(t *testing.T) {
	g := NewWithT(t)
	tracker := NewTracker(partConfig)
	for i := range waveCrashes + 1 {
		tracker.Crash(fmt.Sprint("e", i), 1, []Fingerprint{topic}, epoch.Add(time.Duration(i)*100*time.Millisecond))
	}
	g.Expect(tracker.CheckPart(topic, epoch.Add(time.Second))).To(Succeed())
}

// Guards against a quarantine of a part that most requests share, by the loss of a few
// endpoints at once, and against a deadly part that is not held back because its crashes
// follow each other fast.
func TestSimultaneousCrashesDoNotQuarantineSoundParts(t *testing.T) {
	g := NewWithT(t)
	tracker := NewTracker(partConfig)
	tracker.Survived([]Fingerprint{firstPart}, epoch)
	now := epoch.Add(recentSurvival)
	for i := range waveCrashes - 1 {
		tracker.Crash(fmt.Sprint("e", i), 1, []Fingerprint{firstPart}, now.Add(time.Duration(i)*100*time.Millisecond))
	}
	now = now.Add(200 * time.Millisecond)
	g.Expect(tracker.CheckPart(firstPart, now)).To(Succeed())
	now = crashApart(tracker, 2, now, firstPart)
	g.Expect(tracker.CheckPart(firstPart, now)).NotTo(Succeed(), "a part that turns deadly")

	tracker = NewTracker(partConfig)
	for i := range waveCrashes - 1 {
		tracker.Crash(fmt.Sprint("e", i), 1, []Fingerprint{deadly}, epoch.Add(time.Duration(i)*50*time.Millisecond))
	}
	g.Expect(tracker.CheckPart(deadly, epoch.Add(time.Second))).NotTo(Succeed())
}

// Guards against a quarantine without a way back, and against more than one probe
// at a time, each of which costs an endpoint.
func TestProbesOfQuarantinedPart(t *testing.T) {
	g := NewWithT(t)
	tracker := NewTracker(partConfig)
	now := crashApart(tracker, 3, epoch, deadly)
	g.Expect(tracker.TakePartProbe(deadly, now.Add(minPartProbeInterval-1))).To(BeFalse())
	now = now.Add(minPartProbeInterval)
	g.Expect(tracker.TakePartProbe(deadly, now)).To(BeTrue())
	g.Expect(tracker.TakePartProbe(deadly, now)).To(BeFalse())
	tracker.Crash("probe", 1, []Fingerprint{deadly}, now)
	g.Expect(tracker.TakePartProbe(deadly, now.Add(2*minPartProbeInterval-1))).To(BeFalse())
	now = now.Add(2 * minPartProbeInterval)
	g.Expect(tracker.TakePartProbe(deadly, now)).To(BeTrue())
	g.Expect(tracker.CheckPart(deadly, now)).NotTo(Succeed())
	tracker.Survived([]Fingerprint{deadly}, now)
	g.Expect(tracker.CheckPart(deadly, now)).To(Succeed())
}

// Guards against a quarantine that ends while requests with the part still come:
// each end costs three more endpoints.
func TestQuarantineLastsWhileRequestsCome(t *testing.T) {
	g := NewWithT(t)
	tracker, hub := NewTracker(partConfig), NewTracker(partConfig)
	now := crashApart(tracker, 3, epoch, deadly)
	var version uint64
	for range 40 {
		now = now.Add(10 * time.Second)
		g.Expect(tracker.CheckPart(deadly, now)).NotTo(Succeed())
		data, next, err := tracker.Changes(version, true, now)
		g.Expect(err).NotTo(HaveOccurred())
		version = next
		if data != nil {
			_, err = hub.Merge(data, now)
			g.Expect(err).NotTo(HaveOccurred())
		}
		tracker.Expire(now)
		hub.Expire(now)
	}
	g.Expect(hub.CheckPart(deadly, now)).NotTo(Succeed())
	now = now.Add(121 * time.Second)
	tracker.Expire(now)
	g.Expect(tracker.Len()).To(BeZero())
}

// Guards against evidence that depends on the order in which it arrives, on the
// entry that saw it, or on a start without knowledge.
func TestPartEvidenceConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trackers := make([]*Tracker, 4)
		for i := range trackers {
			trackers[i] = NewTracker(partConfig)
		}
		parts := []Fingerprint{firstPart, topic, deadly, otherTopic}
		now := epoch
		for i := range rapid.IntRange(1, 30).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "gap")) * time.Millisecond)
			tracker := trackers[rapid.IntRange(0, 2).Draw(t, "entry")]
			var some []Fingerprint
			for _, part := range parts {
				if rapid.Bool().Draw(t, "in") {
					some = append(some, part)
				}
			}
			if rapid.Bool().Draw(t, "crash") {
				tracker.Crash(fmt.Sprint("e", i), 1, some, now)
			} else {
				tracker.Survived(some, now)
			}
		}
		for range 3 {
			for _, from := range rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order") {
				data, err := trackers[from].Payload(true, now)
				if err != nil {
					t.Fatal(err)
				}
				for _, peer := range trackers {
					if _, err := peer.Merge(data, now); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
		for _, part := range parts {
			want := trackers[0].CheckPart(part, now)
			for _, tracker := range trackers[1:] {
				if got := tracker.CheckPart(part, now); (got == nil) != (want == nil) {
					t.Fatalf("trackers disagree on part %x: %v and %v", part, want, got)
				}
			}
		}
	})
}

// Guards against a deadly part that crashes many endpoints and against sound parts
// that stay held back, while crashes, runs that end well and exchanges interleave
// over several entries. The bound is that of the users: five crashes, the time of an
// exchange, and three requests more.
func TestDeadlyPartBound(t *testing.T) {
	const pollTime, requestsPerS = 900 * time.Millisecond, 2
	rapid.Check(t, func(t *rapid.T) {
		hub := NewTracker(partConfig)
		entries := make([]*Tracker, 9)
		sent, received := make([]uint64, len(entries)), make([]uint64, len(entries))
		for i := range entries {
			entries[i] = NewTracker(partConfig)
		}
		now, polled := epoch, epoch
		crashes, late := 0, 0
		var fifthAt time.Time
		heldSound := 0
		for i := range 200 {
			now = now.Add(time.Second / (4 * requestsPerS))
			if now.Sub(polled) >= pollTime {
				exchangeAll(t, hub, entries, sent, received, now)
				polled = now
			}
			entry := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")]
			if i%4 != 0 {
				if entry.CheckPart(topic, now) != nil || entry.CheckPart(firstPart, now) != nil {
					heldSound++
					continue
				}
				entry.Survived([]Fingerprint{firstPart, topic}, now)
				continue
			}
			if entry.CheckPart(deadly, now) != nil {
				continue
			}
			crashes++
			if crashes == 5 {
				fifthAt = now
			}
			if crashes > 5 && now.Sub(fifthAt) > 3*time.Second {
				late++
			}
			entry.Crash(fmt.Sprint("e", crashes), 1, []Fingerprint{testFingerprint(i), firstPart, topic, deadly}, now)
		}
		if late > 3 || crashes > 12 {
			t.Fatalf("%d crashes, %d of them later than the bound", crashes, late)
		}
		if heldSound > 3 {
			t.Fatalf("%d of 150 sound requests held back", heldSound)
		}
	})
}

func exchangeAll(t *rapid.T, hub *Tracker, entries []*Tracker, sent, received []uint64, now time.Time) {
	transfer := func(from, to *Tracker, version *uint64, own bool) {
		data, next, err := from.Changes(*version, own, now)
		if err != nil {
			t.Fatal(err)
		}
		*version = next
		if data == nil {
			return
		}
		if _, err := to.Merge(data, now); err != nil {
			t.Fatal(err)
		}
	}
	for i := range entries {
		transfer(entries[i], hub, &sent[i], true)
	}
	for i := range entries {
		transfer(hub, entries[i], &received[i], false)
	}
}
