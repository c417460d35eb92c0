package inspect_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/adapter/wal"
	"github.com/boragelead/boragelead/internal/core/ledger"
	"github.com/boragelead/boragelead/internal/core/raft"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/replica/inspect"
)

func TestInspect(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "inspect")
}

var _ = Describe("the data folder of a stopped replica", func() {
	var folder string
	var fs wal.FS
	BeforeEach(func() {
		folder = GinkgoT().TempDir()
		var err error
		fs, err = wal.NewFS(folder)
		Expect(err).NotTo(HaveOccurred())
		log, _, err := wal.Open(fs, func() uint64 { return 5 })
		Expect(err).NotTo(HaveOccurred())
		Expect(log.SetIdentity(wal.Identity{Replica: 5, Cluster: 9})).To(Succeed())
		Expect(log.SaveSnapshot(&raft.Snapshot{Index: 1, Term: 1, Config: raft.Configuration{
			Voters: []raft.Member{{ID: 5}, {ID: 6}, {ID: 7}},
		}})).To(Succeed())
		for i := uint64(0); i < 3; i++ {
			c := ledger.Command{Promote: &port.PromoteRequest{OperationID: string(rune('a' + i)), Expect: i}}
			data, err := c.Encode()
			Expect(err).NotTo(HaveOccurred())
			Expect(log.Save(wal.Batch{
				HardState: &raft.HardState{Term: 1, Commit: i + 1},
				Entries:   []raft.Entry{{Index: i + 2, Term: 1, Data: data}},
			})).To(Succeed())
		}
		Expect(log.Close()).To(Succeed())
	})

	// Guards against a dump that contains entries not known to be committed.
	It("is verified and dumped up to the known commit index", func() {
		r, err := inspect.Verify(fs)
		Expect(err).NotTo(HaveOccurred())
		Expect([]uint64{r.Commit, r.Last}).To(Equal([]uint64{3, 4}))
		data, err := inspect.Dump(fs)
		Expect(err).NotTo(HaveOccurred())
		var dump struct {
			State struct{ Generations []port.Generation }
		}
		Expect(json.Unmarshal(data, &dump)).To(Succeed())
		Expect(dump.State.Generations).To(HaveLen(2))
	})

	// Guards against damage that Verify does not detect.
	It("is reported as damaged after a byte was changed", func() {
		names, err := filepath.Glob(filepath.Join(folder, "wal-*"))
		Expect(err).NotTo(HaveOccurred())
		data, err := os.ReadFile(names[0])
		Expect(err).NotTo(HaveOccurred())
		data[len(data)/2] ^= 1
		Expect(os.WriteFile(names[0], data, 0o600)).To(Succeed())
		_, err = inspect.Verify(fs)
		var damage *wal.DamageError
		Expect(errors.As(err, &damage)).To(BeTrue())
	})

	// Guards against a second cluster that is created by accident or exchanges messages
	// with the old one.
	It("is restored as a new cluster, but only with the confirmation", func() {
		to, err := wal.NewFS(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		_, err = inspect.RestoreAfterMajorityLoss(fs, to, "127.0.0.1:9", "yes")
		var unconfirmed *inspect.ConfirmationError
		Expect(errors.As(err, &unconfirmed)).To(BeTrue())
		r, err := inspect.RestoreAfterMajorityLoss(fs, to, "127.0.0.1:9", unconfirmed.Want)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Cluster).NotTo(BeEquivalentTo(9))
		Expect(r.Replica).NotTo(BeEquivalentTo(5))
		Expect(r.Config.Voters).To(HaveLen(1))
		data, err := inspect.Dump(to)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(string(data), `"operation_id"`)).To(Equal(3))
		var notEmpty *inspect.TargetNotEmptyError
		backup, err := inspect.Backup(fs)
		Expect(err).NotTo(HaveOccurred())
		_, err = inspect.RestoreBackup(backup, to, "127.0.0.1:9")
		Expect(errors.As(err, &notEmpty)).To(BeTrue())
	})
})
