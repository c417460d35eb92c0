package suspect

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragelead/boragelead/internal/core/conf"
)

var config = conf.Retry{QuarantineCrashes: 2, QuarantineS: 600}

func testFingerprint(n int) Fingerprint { return NewFingerprint("w", []byte(fmt.Sprint(n))) }

func quarantined(err error) bool {
	var q *QuarantinedError
	return errors.As(err, &q)
}

var _ = Describe("Tracker", func() {
	var t *Tracker
	poison, innocent := testFingerprint(1), testFingerprint(2)
	BeforeEach(func() { t = NewTracker(config) })

	// Guards against a poison request that crashes one endpoint after another, and
	// against other requests that stay suspect because they ran beside it.
	It("isolates suspects, clears the innocent request and quarantines the poison request", func() {
		Expect(t.Begin(poison, epoch)).To(Equal(Clean))
		t.Crash("e1", 1, []Fingerprint{poison, innocent}, epoch)
		t.Crash("e1", 1, []Fingerprint{testFingerprint(3)}, epoch)
		Expect(t.Begin(testFingerprint(3), epoch)).To(Equal(Clean))
		Expect(t.Begin(innocent, epoch)).To(Equal(Alone))
		_, err := t.Begin(innocent, epoch)
		Expect(err).To(BeAssignableToTypeOf(&BusyError{}))
		t.End(innocent, Clean, false, epoch)
		_, err = t.Begin(innocent, epoch)
		Expect(err).To(HaveOccurred())
		t.End(innocent, Alone, true, epoch)
		Expect(t.Begin(innocent, epoch)).To(Equal(Clean))
		Expect(t.Begin(poison, epoch)).To(Equal(Alone))
		t.Crash("e2", 1, []Fingerprint{poison}, epoch.Add(time.Second))
		t.End(poison, Alone, false, epoch)
		_, err = t.Begin(poison, epoch.Add(2*time.Second))
		Expect(quarantined(err)).To(BeTrue())
		Expect(t.Begin(poison, epoch.Add(602*time.Second))).To(Equal(Clean))
		t.Expire(epoch.Add(602 * time.Second))
		Expect(t.Len()).To(BeZero())
	})

	// Guards against isolating every request after the loss of a rack.
	It("does not isolate requests that ran during a wave of crashes", func() {
		for i := range waveCrashes {
			t.Crash(fmt.Sprint("e", i), 1, []Fingerprint{testFingerprint(i)}, epoch)
		}
		for i := range waveCrashes {
			Expect(t.Begin(testFingerprint(i), epoch)).To(Equal(Clean))
		}
	})

	// Guards against memory that grows with the number of crashes, and against
	// eviction of a quarantined request by many innocent ones.
	It("stays bounded and keeps quarantines", func() {
		t.Crash("p1", 1, []Fingerprint{poison}, epoch)
		t.Crash("p2", 1, []Fingerprint{poison}, epoch.Add(time.Minute))
		many := make([]Fingerprint, maxRecords+100)
		for i := range many {
			many[i] = testFingerprint(100 + i)
		}
		t.Crash("e", 1, many, epoch.Add(2*time.Minute))
		Expect(t.Len()).To(Equal(maxRecords))
		_, err := t.Begin(poison, epoch.Add(3*time.Minute))
		Expect(quarantined(err)).To(BeTrue())
	})

	// Guards against a crash that makes requests at other endpoints suspect.
	It("lists the requests that run at an endpoint", func() {
		r := NewRunningRequests()
		r.Start("e1", poison)
		r.Start("e1", poison)
		r.Start("e2", innocent)
		r.End("e1", poison)
		Expect(r.At("e1")).To(Equal([]Fingerprint{poison}))
		r.End("e1", poison)
		r.End("e1", poison)
		Expect(r.At("e1")).To(BeEmpty())
	})
})

// Guards against losing more endpoints than the bound in the package comment:
// max(c, K) with c copies that run at the same time before the request is suspect,
// 2K + c - 1 in waves. Without records every resend would crash another endpoint.
func TestPoisonBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := rapid.IntRange(1, 4).Draw(t, "K")
		copies := rapid.IntRange(1, 6).Draw(t, "copies")
		waves := rapid.Bool().Draw(t, "waves")
		entries := make([]*Tracker, rapid.IntRange(1, 4).Draw(t, "entries"))
		for i := range entries {
			entries[i] = NewTracker(conf.Retry{QuarantineCrashes: k, QuarantineS: 600})
		}
		now, lost, resends := epoch, 0, 40
		for range resends {
			now = now.Add(5 * time.Second)
			entry := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")]
			var verdicts []Verdict
			for range copies {
				if verdict, err := entry.Begin(testFingerprint(1), now); err == nil {
					verdicts = append(verdicts, verdict)
				}
			}
			for _, verdict := range verdicts {
				lost++
				if !waves {
					now = now.Add(waveWindow + 1)
				}
				entry.Crash(fmt.Sprint("e", lost), 1, []Fingerprint{testFingerprint(1)}, now)
				entry.End(testFingerprint(1), verdict, false, now)
			}
			for i := range waveCrashes {
				if waves {
					entry.Crash(fmt.Sprint("other", now, i), 1, nil, now)
				}
			}
			data, err := entry.Payload(false, now)
			if err != nil {
				t.Fatal(err)
			}
			for _, peer := range entries {
				if _, err := peer.Merge(data, now); err != nil {
					t.Fatal(err)
				}
			}
		}
		bound := max(copies, k)
		if waves {
			bound = 2*k + copies - 1
		}
		if lost > bound || lost < 1 {
			t.Fatalf("lost %d endpoints, bound %d, without records %d", lost, bound, resends*copies)
		}
	})
}

// Guards against entries that disagree after exchanging their records, in any
// order.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := []*Tracker{NewTracker(config), NewTracker(config), NewTracker(config)}
		for i := range rapid.IntRange(0, 20).Draw(t, "events") {
			entry := entries[rapid.IntRange(0, 2).Draw(t, "entry")]
			f := testFingerprint(rapid.IntRange(0, 3).Draw(t, "request"))
			if rapid.Bool().Draw(t, "crash") {
				entry.Crash(fmt.Sprint("e", i), 1, []Fingerprint{f}, epoch.Add(time.Duration(i)*time.Minute))
			} else {
				entry.End(f, Clean, true, epoch)
			}
		}
		now := epoch.Add(time.Minute)
		for range 2 {
			for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
				data, err := entries[i].Payload(true, now)
				if err != nil {
					t.Fatal(err)
				}
				for _, peer := range entries {
					if _, err := peer.Merge(data, now); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
		for n := range 4 {
			want, wantErr := entries[0].Begin(testFingerprint(n), now)
			for _, e := range entries[1:] {
				got, err := e.Begin(testFingerprint(n), now)
				if got != want || (err == nil) != (wantErr == nil) {
					t.Fatalf("entries disagree on request %d: %v %v and %v %v", n, want, wantErr, got, err)
				}
			}
		}
		if _, err := entries[0].Merge([]byte{0xc1}, now); err == nil {
			t.Fatal("Merge accepted a damaged payload")
		}
	})
}

// Guards against records that circulate endlessly. When 69 entries forwarded
// records that they had received, polls took 5 of the 7.5 Mbit/s of each entry in
// a benchmark.
func TestChangesAreSentOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hub := NewTracker(config)
		entries := make([]*Tracker, 5)
		sentToHub, sentToEntry := make([]uint64, len(entries)), make([]uint64, len(entries))
		for i := range entries {
			entries[i] = NewTracker(config)
		}
		exchange := func() (records int) {
			for i, entry := range entries {
				for _, transfer := range []struct {
					from, to *Tracker
					version  *uint64
					own      bool
				}{{entry, hub, &sentToHub[i], true}, {hub, entry, &sentToEntry[i], false}} {
					data, next, err := transfer.from.Changes(*transfer.version, transfer.own, epoch)
					if err != nil {
						t.Fatal(err)
					}
					*transfer.version = next
					if data == nil {
						continue
					}
					records++
					if _, err := transfer.to.Merge(data, epoch); err != nil {
						t.Fatal(err)
					}
				}
			}
			return records
		}
		for crash := range rapid.IntRange(1, 6).Draw(t, "crashes") {
			var running []Fingerprint
			for n := range rapid.IntRange(1, 2*maxMessageRecords).Draw(t, "running") {
				running = append(running, testFingerprint(n))
			}
			entries[rapid.IntRange(0, 4).Draw(t, "entry")].Crash(fmt.Sprint("e", crash), 1, running, epoch)
			exchange()
		}
		rounds := 0
		for exchange() > 0 {
			if rounds++; rounds > 20 {
				t.Fatal("entries still exchange records after 20 rounds without a crash")
			}
		}
		for _, entry := range entries {
			if entry.Len() != hub.Len() {
				t.Fatalf("entry has %d of %d records", entry.Len(), hub.Len())
			}
		}
	})
}
