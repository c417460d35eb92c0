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

// Recovered is what a folder holds.
type Recovered struct {
	Identity  Identity
	HardState raft.HardState
	// Snapshot has index 0 if there is none.
	Snapshot raft.Snapshot
	// Entries follow the snapshot.
	Entries []raft.Entry
	// New is set when the folder was empty.
	New bool
	// TornBytes counts what an incomplete last record left.
	TornBytes int
	// Records and Segments count what was verified.
	Records  int
	Segments int
}

const (
	identityName   = "IDENTITY"
	segmentPattern = "wal-%016x.log"
	snapPattern    = "snap-%016x.snap"
	tempSuffix     = ".tmp"
)

func segmentName(seq uint64) string { return fmt.Sprintf(segmentPattern, seq) }

func snapshotName(index uint64) string { return fmt.Sprintf(snapPattern, index) }

// numbers returns the numbers of the files of a pattern, in rising order.
func numbers(names []string, pattern string) []uint64 {
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

// segment is what is known of a file of the log.
type segment struct {
	seq uint64
	// last is the highest index of an entry in it, 0 if it has none.
	last uint64
	size int64
}

// scan is the result of reading a folder.
type scan struct {
	Recovered
	segments []segment
	// tornAt is the valid size of the last segment when it has a torn tail.
	tornAt int64
	torn   bool
	// hasIdentity is false when the folder was never completed.
	hasIdentity bool
	names       []string
}

// readFolder reads and checks everything without changing the folder.
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
	return s, s.finish()
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

// readSnapshot loads the newest snapshot. Its name appears only after its
// content is synced, so a bad one is damage, and the log before it may be gone.
func (s *scan) readSnapshot(fs FS) error {
	list := numbers(s.names, snapPattern)
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
	seqs := numbers(s.names, segmentPattern)
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
	at := 0
	seg := segment{seq: seq}
	for at < len(data) {
		kind, payload, size, err := readRecord(data[at:])
		if err == nil {
			err = s.take(&seg, kind, payload, at == 0)
		}
		if err != nil && newest && !validAfter(data[at+1:]) {
			s.torn, s.tornAt, s.TornBytes = true, int64(at), len(data)-at
			break
		}
		if err != nil {
			return &DamageError{File: segmentName(seq), Offset: int64(at), Reason: err.Error()}
		}
		s.Records++
		at += size
	}
	if at == 0 && !newest {
		return &DamageError{File: segmentName(seq), Reason: "empty segment before the newest"}
	}
	seg.size = int64(at)
	s.Segments++
	s.segments = append(s.segments, seg)
	return nil
}

// validAfter reports whether a complete record starts anywhere in data. A torn
// batch is one record, so a later one was written after it was synced.
func validAfter(data []byte) bool {
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

// take applies a record to what was recovered so far.
func (s *scan) take(seg *segment, kind recordKind, payload []byte, first bool) error {
	if first != (kind == kindHeader) {
		return &RecordError{Reason: "segment header in the wrong place"}
	}
	if first {
		p := &parser{data: payload}
		seq := p.number()
		s.HardState = raft.HardState{Term: p.number(), Vote: raft.ID(p.number()), Commit: p.number()}
		if p.bad || seq != seg.seq {
			return &RecordError{Reason: "segment header of another segment"}
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
		seg.last = max(seg.last, e.Index)
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

// finish joins snapshot and log.
func (s *scan) finish() error {
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
			// The snapshot was installed over this log, and the crash came before the reset record.
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

func isTemp(name string) bool { return strings.HasSuffix(name, tempSuffix) }
