package wal_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragelead/boragelead/internal/adapter/wal"
	"github.com/boragelead/boragelead/internal/core/raft"
)

func TestWAL(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wal")
}

func newID() uint64 { return 7 }

func entry(index, term uint64) raft.Entry {
	return raft.Entry{Index: index, Term: term, Data: []byte(fmt.Sprintf("entry %d of term %d", index, term))}
}

func openLog(fs wal.FS) (*wal.Log, *wal.Recovered) {
	GinkgoHelper()
	l, r, err := wal.Open(fs, newID)
	Expect(err).NotTo(HaveOccurred())
	return l, r
}

// newestFile returns the newest file whose name has the prefix.
func (m *memFS) newestFile(prefix string) *memFile {
	names, _ := m.List()
	for i := range names {
		if name := names[len(names)-1-i]; strings.HasPrefix(name, prefix) {
			return m.files[name]
		}
	}
	return nil
}

var _ = Describe("Log", func() {
	var fs *memFS
	var l *wal.Log
	BeforeEach(func() {
		fs = newMemFS()
		l, _ = openLog(fs)
		l.SetSegmentBytes(200)
		for i := uint64(1); i <= 20; i++ {
			Expect(l.Save(wal.Batch{
				HardState: &raft.HardState{Term: 2, Vote: 9, Commit: i}, Entries: []raft.Entry{entry(i, 2)},
			})).To(Succeed())
		}
	})

	// Guards against a replica that loses entries, its vote or its identity in a restart.
	It("recovers what was saved, over several segments", func() {
		Expect(l.Close()).To(Succeed())
		_, r := openLog(fs)
		Expect(r.Identity.Replica).To(BeEquivalentTo(7))
		Expect(r.HardState).To(Equal(raft.HardState{Term: 2, Vote: 9, Commit: 20}))
		Expect(r.Entries).To(HaveLen(20))
		Expect(r.Entries[19]).To(Equal(entry(20, 2)))
		Expect(r.Segments).To(BeNumerically(">", 3))
	})

	// Guards against two processes that write to the same folder.
	It("does not open while another process uses the folder", func() {
		_, _, err := wal.Open(fs, newID)
		var locked *wal.LockedError
		Expect(errors.As(err, &locked)).To(BeTrue())
	})

	// Guards against a replica that continues with a gap in its log.
	It("does not open with damage in the middle of any segment", func() {
		Expect(l.Close()).To(Succeed())
		var damage *wal.DamageError
		for _, prefix := range []string{"wal-0000000000000001", "wal-0000000000000003"} {
			f := fs.newestFile(prefix)
			f.data[30] ^= 1
			_, _, err := wal.Open(fs, newID)
			Expect(errors.As(err, &damage)).To(BeTrue(), "%s: %v", prefix, err)
			f.data[30] ^= 1
		}
		newest := fs.newestFile("wal-")
		newest.data[1] ^= 1
		_, _, err := wal.Open(fs, newID)
		Expect(errors.As(err, &damage)).To(BeTrue())
		newest.data[1] ^= 1
		delete(fs.files, "wal-0000000000000002.log")
		_, _, err = wal.Open(fs, newID)
		Expect(errors.As(err, &damage)).To(BeTrue())
	})

	// Guards against a log that reports success after a failed sync.
	It("rejects all writes after a failed sync", func() {
		fs.failSyncIn = 1
		var stopped *wal.StoppedError
		Expect(errors.As(l.Save(wal.Batch{Entries: []raft.Entry{entry(21, 2)}}), &stopped)).To(BeTrue())
		Expect(errors.As(l.Save(wal.Batch{Entries: []raft.Entry{entry(21, 2)}}), &stopped)).To(BeTrue())
		Expect(errors.As(l.SaveSnapshot(&raft.Snapshot{Index: 3}), &stopped)).To(BeTrue())
		Expect(errors.Is(stopped, errDisk)).To(BeTrue())
	})

	// Guards against space that is never freed, and against a vote that is lost when
	// the first segment is removed.
	It("removes segments before a snapshot and keeps the hard state", func() {
		snap := &raft.Snapshot{Index: 20, Term: 2, Data: []byte("state"), Config: raft.Configuration{
			Voters: []raft.Member{{ID: 7, Address: "127.0.0.1:1"}},
		}}
		Expect(l.SaveSnapshot(snap)).To(Succeed())
		Expect(l.Compact(20)).To(Succeed())
		Expect(l.Close()).To(Succeed())
		_, r := openLog(fs)
		Expect(r.Segments).To(Equal(1))
		Expect(r.Snapshot).To(Equal(*snap))
		Expect(r.Entries).To(BeEmpty())
		Expect(r.HardState.Vote).To(BeEquivalentTo(9))
	})

	// Guards against entries of an older term that are kept after a snapshot of a
	// newer term was installed over them.
	It("drops a log that contradicts an installed snapshot", func() {
		Expect(l.SaveSnapshot(&raft.Snapshot{Index: 10, Term: 3})).To(Succeed())
		Expect(l.Close()).To(Succeed())
		_, r := openLog(fs)
		Expect(r.Entries).To(BeEmpty())
		Expect(r.Snapshot.Index).To(BeEquivalentTo(10))
	})

	// Guards against a replica that starts without its state because its snapshot is damaged.
	It("reports a damaged snapshot", func() {
		Expect(l.SaveSnapshot(&raft.Snapshot{Index: 10, Term: 2, Data: []byte("state")})).To(Succeed())
		Expect(l.Close()).To(Succeed())
		f := fs.newestFile("snap-")
		f.data[len(f.data)-1] ^= 1
		var damage *wal.DamageError
		_, err := wal.Verify(fs)
		Expect(errors.As(err, &damage)).To(BeTrue())
	})
})

// TestSavedDataSurvivesCrashes guards against acknowledged data that is lost in a
// crash: after a crash at any sync, with any incomplete tail, everything that Save
// acknowledged must be recovered.
func TestSavedDataSurvivesCrashes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		fs, rng := newMemFS(), rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 2))
		var acked []raft.Entry
		var vote raft.ID
		var snapshotIndex uint64
		for range rapid.IntRange(1, 6).Draw(rt, "lives") {
			l, recovered, err := wal.Open(fs, newID)
			if errors.Is(err, errDisk) {
				fs.failSyncIn = 0
				fs.crash(rng)
				continue
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(recovered.Snapshot.Index).To(BeNumerically(">=", snapshotIndex))
			g.Expect(recovered.HardState.Vote).To(BeNumerically(">=", vote))
			last := recovered.Snapshot.Index + uint64(len(recovered.Entries))
			g.Expect(last).To(BeNumerically(">=", len(acked)))
			for _, e := range recovered.Entries {
				if e.Index <= uint64(len(acked)) {
					g.Expect(e).To(Equal(acked[e.Index-1]))
				}
			}
			// Entries that were written but not acknowledged may have been recovered or
			// not. Those that were recovered must survive later crashes.
			for i := uint64(len(acked)) + 1; i <= last; i++ {
				acked = append(acked, recovered.Entries[i-recovered.Snapshot.Index-1])
			}
			vote, snapshotIndex = recovered.HardState.Vote, recovered.Snapshot.Index
			l.SetSegmentBytes(150)
			fs.failSyncIn = rapid.IntRange(1, 25).Draw(rt, "failure")
			for err == nil {
				next := entry(uint64(len(acked))+1, uint64(vote)+1)
				hard := &raft.HardState{Term: next.Term, Vote: vote + 1}
				if err = l.Save(wal.Batch{HardState: hard, Entries: []raft.Entry{next}}); err == nil {
					acked, vote = append(acked, next), vote+1
				}
				if n := uint64(len(acked)); err == nil && n%5 == 0 {
					if err = l.SaveSnapshot(&raft.Snapshot{Index: n, Term: acked[n-1].Term}); err == nil {
						snapshotIndex = n
						err = l.Compact(n)
					}
				}
			}
			fs.failSyncIn = 0
			fs.crash(rng)
		}
	})
}

// FuzzSegment guards against a log file that makes the reader panic or return entries
// with gaps.
func FuzzSegment(f *testing.F) {
	fs := newMemFS()
	l, _, _ := wal.Open(fs, newID)
	f.Add(append([]byte(nil), fs.newestFile("wal-").data...))
	_ = l.Save(wal.Batch{HardState: &raft.HardState{Term: 1}, Entries: []raft.Entry{entry(1, 1), entry(2, 1)}})
	content := append([]byte(nil), fs.newestFile("wal-").data...)
	f.Add(content)
	f.Add(content[:len(content)-3])
	f.Fuzz(func(t *testing.T, data []byte) {
		fs := newMemFS()
		_, _, _ = wal.Open(fs, newID)
		fs.newestFile("wal-").data = data
		r, err := wal.Verify(fs)
		if err != nil {
			return
		}
		for i, e := range r.Entries {
			if e.Index != uint64(i)+1 {
				t.Fatalf("entry %d at position %d", e.Index, i)
			}
		}
	})
}

// FuzzSnapshot guards against a snapshot file that makes the decoder panic.
func FuzzSnapshot(f *testing.F) {
	fs := newMemFS()
	l, _, _ := wal.Open(fs, newID)
	_ = l.SaveSnapshot(&raft.Snapshot{Index: 1, Term: 1, Data: []byte("x")})
	f.Add(append([]byte(nil), fs.newestFile("snap-").data...))
	f.Add([]byte("BGL1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = wal.DecodeSnapshot(data)
	})
}
