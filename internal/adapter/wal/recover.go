package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/boragelead/boragelead/internal/core/raft"
)

// Recovered is the content of a folder.
type Recovered struct {
	Identity  Identity
	HardState raft.HardState
	// Snapshot has index 0 if the folder has no snapshot.
	Snapshot raft.Snapshot
	// Entries are the log entries after the snapshot.
	Entries []raft.Entry
	// New is set if the folder has no identity and so was never used.
	New bool
	// TornBytes is the size of the incomplete last record; 0 if there is none.
	TornBytes int
	// Records and Segments count the verified records and segments.
	Records  int
	Segments int
}

const (
	identityName    = "IDENTITY"
	segmentPattern  = "wal-%016x.log"
	snapshotPattern = "snap-%016x.snap"
	tempSuffix      = ".tmp"
)

func segmentName(seq uint64) string { return fmt.Sprintf(segmentPattern, seq) }

func snapshotName(index uint64) string { return fmt.Sprintf(snapshotPattern, index) }

// fileNumbers returns the numbers in the file names that match a pattern, in
// ascending order.
func fileNumbers(names []string, pattern string) []uint64 {
	var list []uint64
	for _, name := range names {
		var n uint64
		if _, err := fmt.Sscanf(name, pattern, &n); err == nil && fmt.Sprintf(pattern, n) == name {
			list = append(list, n)
		}
	}
	slices.Sort(list)
	return list
}

// segment describes a file of the log.
type segment struct {
	seq uint64
	// lastIndex is the highest index of an entry in the segment; 0 if it has none.
	lastIndex uint64
	size      int64
}

// scan is the state and the result of reading a folder.
type scan struct {
	Recovered
	segments []segment
	// tornAt is the offset of the incomplete last record in the last segment. It is
	// valid if torn is set.
	tornAt int64
	torn   bool
	// hasIdentity is false if the creation of the folder was not completed.
	hasIdentity bool
	names       []string
}

// readFolder reads and checks all files without changing the folder.
func readFolder(fs FS) (*scan, error) {
	names, err := fs.List()
	if err != nil {
		return nil, eris.Wrap(err, "list data folder")
	}
	s := &scan{names: names}
	if err := s.readIdentity(fs); err != nil {
		return nil, err
	}
	if err := s.readSnapshot(fs); err != nil {
		return nil, err
	}
	if err := s.readSegments(fs); err != nil {
		return nil, err
	}
	return s, s.joinSnapshotAndLog()
}

func (s *scan) readIdentity(fs FS) error {
	s.hasIdentity = slices.Contains(s.names, identityName)
	if !s.hasIdentity {
		return nil
	}
	data, err := fs.ReadFile(identityName)
	if err != nil {
		return eris.Wrap(err, "read identity")
	}
	if s.Identity, err = decodeIdentity(data); err != nil {
		return &DamageError{File: identityName, Reason: err.Error()}
	}
	return nil
}

// readSnapshot loads the newest snapshot. A snapshot file gets its name only after
// its content is synced, so an invalid one is damaged. It cannot be ignored, since
// the log before it may have been removed.
func (s *scan) readSnapshot(fs FS) error {
	list := fileNumbers(s.names, snapshotPattern)
	if len(list) == 0 {
		return nil
	}
	name := snapshotName(list[len(list)-1])
	data, err := fs.ReadFile(name)
	if err != nil {
		return eris.Wrap(err, "read snapshot")
	}
	if s.Snapshot, err = DecodeSnapshot(data); err != nil {
		return &DamageError{File: name, Reason: err.Error()}
	}
	if s.Snapshot.Index != list[len(list)-1] {
		return &DamageError{File: name, Reason: "index differs from the name"}
	}
	return nil
}

func (s *scan) readSegments(fs FS) error {
	seqs := fileNumbers(s.names, segmentPattern)
	for i, seq := range seqs {
		if i > 0 && seq != seqs[i-1]+1 {
			return &DamageError{File: segmentName(seq), Reason: "the segment before it is missing"}
		}
		data, err := fs.ReadFile(segmentName(seq))
		if err != nil {
			return eris.Wrapf(err, "read segment %d", seq)
		}
		if err := s.readSegment(seq, data, i == len(seqs)-1); err != nil {
			return err
		}
	}
	return nil
}

func (s *scan) readSegment(seq uint64, data []byte, newest bool) error {
	offset := 0
	seg := segment{seq: seq}
	for offset < len(data) {
		kind, payload, size, err := readRecord(data[offset:])
		if err == nil {
			err = s.applyRecord(&seg, kind, payload, offset == 0)
		}
		if err != nil && newest && !containsRecord(data[offset+1:]) {
			s.torn, s.tornAt, s.TornBytes = true, int64(offset), len(data)-offset
			break
		}
		if err != nil {
			return &DamageError{File: segmentName(seq), Offset: int64(offset), Reason: err.Error()}
		}
		s.Records++
		offset += size
	}
	if offset == 0 && !newest {
		return &DamageError{File: segmentName(seq), Reason: "empty segment before the newest"}
	}
	seg.size = int64(offset)
	s.Segments++
	s.segments = append(s.segments, seg)
	return nil
}

// containsRecord reports whether a complete record starts anywhere in data. A batch
// is one record and is synced before the next one is written, so a complete record
// after an invalid one proves that the invalid one had been synced.
func containsRecord(data []byte) bool {
	magic := binary.LittleEndian.AppendUint32(nil, recordMagic)
	for {
		at := bytes.Index(data, magic)
		if at < 0 {
			return false
		}
		if _, _, _, err := readRecord(data[at:]); err == nil {
			return true
		}
		data = data[at+1:]
	}
}

// applyRecord applies a record to the state recovered so far.
func (s *scan) applyRecord(seg *segment, kind recordKind, payload []byte, first bool) error {
	if first != (kind == kindHeader) {
		return &RecordError{Reason: "segment header is missing at the start or repeated later"}
	}
	if first {
		p := &payloadReader{data: payload}
		seq := p.nextUint64()
		s.HardState = raft.HardState{Term: p.nextUint64(), Vote: raft.ID(p.nextUint64()), Commit: p.nextUint64()}
		if p.truncated || seq != seg.seq {
			return &RecordError{Reason: "header belongs to another segment"}
		}
		return nil
	}
	if kind != kindBatch {
		return &RecordError{Reason: "unexpected kind of record"}
	}
	b, err := decodeBatch(payload)
	if err != nil {
		return err
	}
	if b.HardState != nil {
		s.HardState = *b.HardState
	}
	if b.Reset != nil {
		s.Entries = nil
	}
	for _, e := range b.Entries {
		if err := s.addEntry(e); err != nil {
			return err
		}
		seg.lastIndex = max(seg.lastIndex, e.Index)
	}
	return nil
}

func (s *scan) addEntry(e raft.Entry) error {
	if len(s.Entries) > 0 {
		first, last := s.Entries[0].Index, s.Entries[len(s.Entries)-1].Index
		if e.Index > last+1 {
			return &RecordError{Reason: fmt.Sprintf("entry %d follows entry %d", e.Index, last)}
		}
		keep := 0
		if e.Index > first {
			keep = int(e.Index - first)
		}
		s.Entries = s.Entries[:keep]
	}
	s.Entries = append(s.Entries, e)
	return nil
}

// joinSnapshotAndLog drops the entries that the snapshot covers and checks that
// identity, snapshot and log fit together.
func (s *scan) joinSnapshotAndLog() error {
	if s.hasIdentity && len(s.segments) == 0 {
		return &DamageError{File: segmentName(1), Reason: "identity without a log"}
	}
	if !s.hasIdentity {
		if s.Snapshot.Index > 0 || s.Records > 1 {
			return &DamageError{File: identityName, Reason: "log without an identity"}
		}
		s.New = true
	}
	for len(s.Entries) > 0 && s.Entries[0].Index <= s.Snapshot.Index {
		if s.Entries[0].Index == s.Snapshot.Index && s.Entries[0].Term != s.Snapshot.Term {
			// The snapshot was installed over this log, and the process crashed before
			// it wrote the reset record.
			s.Entries = nil
			break
		}
		s.Entries = s.Entries[1:]
	}
	if len(s.Entries) > 0 && s.Entries[0].Index != s.Snapshot.Index+1 {
		return &DamageError{
			File:   segmentName(s.segments[0].seq),
			Reason: fmt.Sprintf("entries %d to %d are missing", s.Snapshot.Index+1, s.Entries[0].Index-1),
		}
	}
	return nil
}

// Verify reads and checks a folder without changing or locking it.
func Verify(fs FS) (*Recovered, error) {
	s, err := readFolder(fs)
	if err != nil {
		return nil, err
	}
	return &s.Recovered, nil
}

func isTempFile(name string) bool { return strings.HasSuffix(name, tempSuffix) }
