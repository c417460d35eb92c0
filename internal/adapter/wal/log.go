package wal

import (
	"io"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/boragelead/boragelead/internal/core/raft"
)

const (
	// DefaultSegmentBytes is the size from which a segment is closed. A segment is
	// read into memory as a whole at the start, and space is freed by removing
	// whole segments.
	DefaultSegmentBytes = 16 << 20
	// maxSnapshots is the number of snapshot files that are kept. The older one
	// serves inspection only.
	maxSnapshots = 2
)

// Log is the open log of a folder. Save, Compact and Close must be called from one
// goroutine; SaveSnapshot may run concurrently in another.
type Log struct {
	fs           FS
	lock         io.Closer
	segmentBytes int64

	file      File
	segments  []segment
	hardState raft.HardState
	identity  Identity

	syncCount atomic.Uint64
	// snapshotsMu keeps two snapshot files from being written at the same time.
	snapshotsMu sync.Mutex

	mu sync.Mutex
	// firstErr is the first error of a file operation that changes or lists the
	// folder. The log rejects writes once it is set.
	firstErr error
}

// Open locks a folder, checks it, truncates an incomplete last record and returns
// the content. A new folder gets a replica ID from newID.
func Open(fs FS, newID func() uint64) (*Log, *Recovered, error) {
	lock, err := fs.Lock()
	if err != nil {
		return nil, nil, err
	}
	l := &Log{fs: fs, lock: lock, segmentBytes: DefaultSegmentBytes}
	recovered, err := l.open(newID)
	if err != nil {
		_ = lock.Close()
		return nil, nil, err
	}
	return l, recovered, nil
}

// SetSegmentBytes changes the size from which a segment is closed.
func (l *Log) SetSegmentBytes(n int64) { l.segmentBytes = n }

// Syncs returns the number of syncs of the log file.
func (l *Log) Syncs() uint64 { return l.syncCount.Load() }

// Identity returns the identity of the folder.
func (l *Log) Identity() Identity { return l.identity }

func (l *Log) open(newID func() uint64) (*Recovered, error) {
	s, err := readFolder(l.fs)
	if err != nil {
		return nil, err
	}
	for _, name := range s.names {
		if isTempFile(name) {
			if err := l.fs.Remove(name); err != nil {
				return nil, eris.Wrap(err, "remove temporary file")
			}
		}
	}
	l.segments, l.hardState, l.identity = s.segments, s.HardState, s.Identity
	if s.New {
		return &s.Recovered, l.create(&s.Recovered, newID)
	}
	return &s.Recovered, l.reopen(s)
}

// create writes the first segment and the identity of a new folder. The identity is
// written last, so a folder without an identity was never used.
func (l *Log) create(r *Recovered, newID func() uint64) error {
	l.segments = nil
	if err := l.addSegment(1); err != nil {
		return err
	}
	r.Identity = Identity{Replica: raft.ID(newID())}
	return l.SetIdentity(r.Identity)
}

func (l *Log) reopen(s *scan) error {
	newest := &l.segments[len(l.segments)-1]
	name := segmentName(newest.seq)
	if s.torn {
		if err := l.fs.Truncate(name, s.tornAt); err != nil {
			return eris.Wrap(err, "truncate incomplete last record")
		}
	}
	file, err := l.fs.Append(name)
	if err != nil {
		return eris.Wrap(err, "open segment")
	}
	l.file = file
	if newest.size == 0 {
		// The process crashed before the header of a new segment was synced.
		return l.writeHeader(newest)
	}
	return l.sync()
}

// SetIdentity replaces the identity file durably.
func (l *Log) SetIdentity(id Identity) error {
	if err := l.replaceFile(identityName, encodeIdentity(id)); err != nil {
		return err
	}
	l.identity = id
	return nil
}

// Save makes a batch durable. After an error the log rejects all later writes with a
// *StoppedError.
func (l *Log) Save(b Batch) error {
	if err := l.err(); err != nil {
		return err
	}
	newest := &l.segments[len(l.segments)-1]
	if newest.size >= l.segmentBytes {
		if err := l.addSegment(newest.seq + 1); err != nil {
			return err
		}
		newest = &l.segments[len(l.segments)-1]
	}
	if b.HardState != nil {
		l.hardState = *b.HardState
	}
	for i := range b.Entries {
		newest.lastIndex = max(newest.lastIndex, b.Entries[i].Index)
	}
	return l.write(newest, appendRecord(nil, kindBatch, b.encode()))
}

func (l *Log) write(seg *segment, record []byte) error {
	if _, err := l.file.Write(record); err != nil {
		return l.stop(err)
	}
	seg.size += int64(len(record))
	return l.sync()
}

func (l *Log) sync() error {
	l.syncCount.Add(1)
	if err := l.file.Sync(); err != nil {
		return l.stop(err)
	}
	return nil
}

// addSegment starts a segment. Its header repeats the hard state, so that older
// segments can be removed.
func (l *Log) addSegment(seq uint64) error {
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return l.stop(err)
		}
	}
	file, err := l.fs.Create(segmentName(seq))
	if err != nil {
		return l.stop(err)
	}
	l.file = file
	l.segments = append(l.segments, segment{seq: seq})
	return l.writeHeader(&l.segments[len(l.segments)-1])
}

func (l *Log) writeHeader(seg *segment) error {
	payload := appendUint64s(nil, seg.seq, l.hardState.Term, uint64(l.hardState.Vote), l.hardState.Commit)
	record := appendRecord(nil, kindHeader, payload)
	if err := l.write(seg, record); err != nil {
		return err
	}
	return l.syncDir()
}

// SaveSnapshot makes a snapshot durable and removes all but the newest maxSnapshots.
func (l *Log) SaveSnapshot(s *raft.Snapshot) error {
	l.snapshotsMu.Lock()
	defer l.snapshotsMu.Unlock()
	if err := l.replaceFile(snapshotName(s.Index), EncodeSnapshot(s)); err != nil {
		return err
	}
	names, err := l.fs.List()
	if err != nil {
		return l.stop(err)
	}
	list := fileNumbers(names, snapshotPattern)
	for len(list) > maxSnapshots {
		if err := l.fs.Remove(snapshotName(list[0])); err != nil {
			return l.stop(err)
		}
		list = list[1:]
	}
	return l.syncDir()
}

// replaceFile replaces a file atomically: it writes and syncs a temporary file,
// renames it and syncs the folder.
func (l *Log) replaceFile(name string, content []byte) error {
	if err := l.err(); err != nil {
		return err
	}
	file, err := l.fs.Create(name + tempSuffix)
	if err != nil {
		return l.stop(err)
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = l.fs.Rename(name+tempSuffix, name)
	}
	if err != nil {
		return l.stop(err)
	}
	return l.syncDir()
}

// Compact removes the segments that contain only entries up to index. A snapshot at
// or after index must be durable. The newest segment is kept.
func (l *Log) Compact(index uint64) error {
	if err := l.err(); err != nil {
		return err
	}
	for len(l.segments) > 1 && l.segments[0].lastIndex <= index {
		if err := l.fs.Remove(segmentName(l.segments[0].seq)); err != nil {
			return l.stop(err)
		}
		l.segments = slices.Clone(l.segments[1:])
		// The folder is synced after each removal, since removals that reach the disk
		// in another order would leave a gap in the log.
		if err := l.syncDir(); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) syncDir() error {
	if err := l.fs.SyncDir(); err != nil {
		return l.stop(err)
	}
	return nil
}

// Close closes the log file and unlocks the folder.
func (l *Log) Close() error {
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	if lockErr := l.lock.Close(); err == nil {
		err = lockErr
	}
	return err
}

func (l *Log) err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstErr != nil {
		return &StoppedError{Err: l.firstErr}
	}
	return nil
}

// stop records the first failure, after which the log rejects writes. What a failed
// sync left on the disk is unknown, and a second sync can report success without
// having written the data.
func (l *Log) stop(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstErr == nil {
		l.firstErr = err
	}
	return &StoppedError{Err: l.firstErr}
}

// ReadSnapshot reads the newest snapshot from its file.
func (l *Log) ReadSnapshot() (raft.Snapshot, error) {
	l.snapshotsMu.Lock()
	defer l.snapshotsMu.Unlock()
	names, err := l.fs.List()
	if err != nil {
		return raft.Snapshot{}, eris.Wrap(err, "list data folder")
	}
	list := fileNumbers(names, snapshotPattern)
	if len(list) == 0 {
		return raft.Snapshot{}, &DamageError{File: snapshotName(0), Reason: "no snapshot"}
	}
	name := snapshotName(list[len(list)-1])
	data, err := l.fs.ReadFile(name)
	if err != nil {
		return raft.Snapshot{}, eris.Wrap(err, "read snapshot")
	}
	s, err := DecodeSnapshot(data)
	if err != nil {
		return raft.Snapshot{}, &DamageError{File: name, Reason: err.Error()}
	}
	return s, nil
}
