package wal_test

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/boragelead/boragelead/internal/adapter/wal"
)

var errDisk = errors.New("disk failure")

// memFile is the content of a file and the length of its synced part.
type memFile struct {
	data      []byte
	syncedLen int
}

// memFS is a folder in memory that can lose unsynced data and fail a sync.
type memFS struct {
	// files are the files that the process sees. durable are the files whose names
	// survive a crash.
	files, durable map[string]*memFile
	locked         bool
	// failSyncIn is the number of syncs until one fails, if positive.
	failSyncIn int
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, durable: map[string]*memFile{}}
}

func (m *memFS) sync() error {
	m.failSyncIn--
	if m.failSyncIn == 0 {
		return errDisk
	}
	return nil
}

// crash keeps the files that existed at the last folder sync. Each file keeps its
// synced bytes and a random part of the bytes after them, half of the time with one
// byte changed.
func (m *memFS) crash(rng *rand.Rand) {
	m.locked = false
	m.files = map[string]*memFile{}
	for name, f := range m.durable {
		unsynced := slices.Clone(f.data[f.syncedLen:])
		unsynced = unsynced[:rng.IntN(len(unsynced)+1)]
		if len(unsynced) > 0 && rng.IntN(2) == 0 {
			unsynced[rng.IntN(len(unsynced))] ^= 0x40
		}
		data := append(slices.Clone(f.data[:f.syncedLen]), unsynced...)
		m.files[name] = &memFile{data: data, syncedLen: len(data)}
	}
	m.durable = maps.Clone(m.files)
}

func (m *memFS) List() ([]string, error) { return slices.Sorted(maps.Keys(m.files)), nil }

func (m *memFS) ReadFile(name string) ([]byte, error) {
	if f := m.files[name]; f != nil {
		return slices.Clone(f.data), nil
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) Create(name string) (wal.File, error) {
	m.files[name] = &memFile{}
	return &memHandle{m, m.files[name]}, nil
}

func (m *memFS) Append(name string) (wal.File, error) { return &memHandle{m, m.files[name]}, nil }

func (m *memFS) Truncate(name string, size int64) error {
	f := m.files[name]
	f.data = f.data[:size]
	f.syncedLen = min(f.syncedLen, int(size))
	return nil
}

func (m *memFS) Rename(from, to string) error {
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	delete(m.files, name)
	return nil
}

func (m *memFS) SyncDir() error {
	if err := m.sync(); err != nil {
		return err
	}
	m.durable = maps.Clone(m.files)
	return nil
}

func (m *memFS) Lock() (io.Closer, error) {
	if m.locked {
		return nil, &wal.LockedError{}
	}
	m.locked = true
	return memLock{m}, nil
}

type memLock struct{ fs *memFS }

func (l memLock) Close() error {
	l.fs.locked = false
	return nil
}

type memHandle struct {
	fs   *memFS
	file *memFile
}

func (h *memHandle) Write(p []byte) (int, error) {
	h.file.data = append(h.file.data, p...)
	return len(p), nil
}

func (h *memHandle) Sync() error {
	if err := h.fs.sync(); err != nil {
		return err
	}
	h.file.syncedLen = len(h.file.data)
	return nil
}

func (h *memHandle) Close() error { return nil }
