package inspect

import (
	"encoding/json"
	"fmt"

	"github.com/boragelead/boragelead/internal/adapter/wal"
	"github.com/boragelead/boragelead/internal/core/ledger"
	"github.com/boragelead/boragelead/internal/core/raft"
	"github.com/boragelead/boragelead/internal/replica"
)

// Report is the result of Verify.
type Report struct {
	Replica  raft.ID `json:"replica"`
	Cluster  uint64  `json:"cluster"`
	Segments int     `json:"segments"`
	Records  int     `json:"records"`
	// TornBytes is the size of the incomplete record that an interrupted write left at
	// the end of the log. A start of the replica removes it.
	TornBytes int    `json:"torn_bytes"`
	Term      uint64 `json:"term"`
	// SnapshotIndex, Commit and Last are log indexes. This replica has the entries
	// after Commit, but does not know whether they are committed.
	SnapshotIndex uint64             `json:"snapshot_index"`
	Commit        uint64             `json:"commit"`
	Last          uint64             `json:"last"`
	Config        raft.Configuration `json:"config"`
}

// Verify checks every record and checksum of a data folder and that the snapshot and
// the committed commands can be decoded. It changes nothing.
func Verify(fs wal.FS) (*Report, error) {
	recovered, err := readFolder(fs)
	if err != nil {
		return nil, err
	}
	if _, err := replayTo(recovered, recovered.HardState.Commit); err != nil {
		return nil, err
	}
	return newReport(recovered)
}

func readFolder(fs wal.FS) (*wal.Recovered, error) {
	recovered, err := wal.Verify(fs)
	if err != nil {
		return nil, err
	}
	if recovered.New {
		return nil, &NoReplicaError{}
	}
	return recovered, nil
}

func newReport(r *wal.Recovered) (*Report, error) {
	last := r.Snapshot.Index + uint64(len(r.Entries))
	config, err := configAt(r, last)
	return &Report{
		Replica: r.Identity.Replica, Cluster: r.Identity.Cluster, Segments: r.Segments, Records: r.Records,
		TornBytes: r.TornBytes, Term: r.HardState.Term, SnapshotIndex: r.Snapshot.Index,
		Commit: max(r.Snapshot.Index, r.HardState.Commit), Last: last, Config: config,
	}, err
}

// configAt returns the configuration after the entry at index.
func configAt(r *wal.Recovered, index uint64) (raft.Configuration, error) {
	config := r.Snapshot.Config
	for i := range r.Entries {
		if e := &r.Entries[i]; e.Kind == raft.EntryConfig && e.Index <= index {
			decoded, err := raft.DecodeConfiguration(e.Data)
			if err != nil {
				return config, &wal.DamageError{Reason: fmt.Sprintf("configuration at log index %d: %v", e.Index, err)}
			}
			config = decoded
		}
	}
	return config, nil
}

// replayTo builds the state after the entry at index.
func replayTo(r *wal.Recovered, index uint64) (*ledger.State, error) {
	state := ledger.New()
	if err := state.Restore(r.Snapshot.Data); err != nil {
		return nil, err
	}
	for i := range r.Entries {
		e := &r.Entries[i]
		if e.Index > index || e.Kind != raft.EntryCommand {
			continue
		}
		if outcome := state.Apply(e.Index, e.Data); outcome.Invalid != nil {
			return nil, &wal.DamageError{Reason: fmt.Sprintf("command at log index %d: %v", e.Index, outcome.Invalid)}
		}
	}
	return state, nil
}

// Dump returns the report and the committed state of a data folder as JSON.
func Dump(fs wal.FS) ([]byte, error) {
	recovered, err := readFolder(fs)
	if err != nil {
		return nil, err
	}
	summary, err := newReport(recovered)
	if err != nil {
		return nil, err
	}
	state, err := replayTo(recovered, summary.Commit)
	if err != nil {
		return nil, err
	}
	dump, err := state.Dump()
	if err != nil {
		return nil, err
	}
	return json.MarshalIndent(struct {
		Report *Report         `json:"report"`
		State  json.RawMessage `json:"state"`
	}{summary, dump}, "", "  ")
}

// Backup returns the committed state of a data folder in the format of a snapshot file.
func Backup(fs wal.FS) ([]byte, error) {
	recovered, err := readFolder(fs)
	if err != nil {
		return nil, err
	}
	return encodeBackup(recovered, max(recovered.Snapshot.Index, recovered.HardState.Commit))
}

func encodeBackup(r *wal.Recovered, index uint64) ([]byte, error) {
	state, err := replayTo(r, index)
	if err != nil {
		return nil, err
	}
	config, err := configAt(r, index)
	if err != nil {
		return nil, err
	}
	term := r.Snapshot.Term
	for i := range r.Entries {
		if r.Entries[i].Index <= index {
			term = r.Entries[i].Term
		}
	}
	return wal.EncodeSnapshot(&raft.Snapshot{Index: index, Term: term, Config: config, Data: state.Snapshot()}), nil
}

// Confirmation returns the value that RestoreAfterMajorityLoss requires for a data folder.
func Confirmation(r *Report) string { return fmt.Sprintf("lose-majority-of-%016x", r.Cluster) }

// RestoreAfterMajorityLoss writes a new data folder with the state of an old one. The
// replica of the new folder is the only voter of a new cluster. All entries of the old
// folder are applied, also those not known to be committed, because an acknowledged
// entry may be among them. Entries that only the lost replicas had are lost. Therefore
// the caller has to confirm the restore with the value of Confirmation. Replicas of
// the old cluster and of the new one ignore each other.
func RestoreAfterMajorityLoss(from, to wal.FS, address, confirmation string) (*Report, error) {
	lock, err := from.Lock()
	if err != nil {
		return nil, err
	}
	defer func() { _ = lock.Close() }()
	recovered, err := readFolder(from)
	if err != nil {
		return nil, err
	}
	old, err := newReport(recovered)
	if err != nil {
		return nil, err
	}
	if want := Confirmation(old); confirmation != want {
		return nil, &ConfirmationError{Want: want}
	}
	data, err := encodeBackup(recovered, old.Last)
	if err != nil {
		return nil, err
	}
	return RestoreBackup(data, to, address)
}

// restoreIndexGap is added to the log index of a restored state. Fencing numbers are
// log indexes, and numbers that the lost replicas granted must not be granted again.
// A voter cannot be behind by as many as a million entries.
const restoreIndexGap = 1 << 20

// RestoreBackup writes a new data folder with the state of a backup. Its replica is
// the only voter of a new cluster.
func RestoreBackup(data []byte, to wal.FS, address string) (*Report, error) {
	snapshot, err := wal.DecodeSnapshot(data)
	if err != nil {
		return nil, &BackupError{Err: err}
	}
	log, recovered, err := wal.Open(to, replica.RandomID)
	if err != nil {
		return nil, err
	}
	if !recovered.New {
		_ = log.Close()
		return nil, &TargetNotEmptyError{}
	}
	self := raft.Member{ID: recovered.Identity.Replica, Address: address}
	snapshot.Index += restoreIndexGap
	snapshot.Config = raft.Configuration{Voters: []raft.Member{self}}
	err = log.SaveSnapshot(&snapshot)
	if err == nil {
		// The term is higher than any before, so that fencing numbers and log positions
		// only increase.
		err = log.Save(wal.Batch{HardState: &raft.HardState{Term: snapshot.Term + 1, Commit: snapshot.Index}})
	}
	if err == nil {
		// The cluster ID is written last: a replica does not start on its own from a folder
		// without it.
		err = log.SetIdentity(wal.Identity{Replica: self.ID, Cluster: replica.RandomID()})
	}
	if closeErr := log.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, err
	}
	return Verify(to)
}
