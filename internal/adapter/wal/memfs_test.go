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

// memFile is the content of a file: all of it, and how much is synced.
type memFile struct {
	data   []byte
	synced int
}

// memFS is a folder that can lose what was not synced and fail a sync.
type memFS struct {
	// files is what the process sees; durable is what a crash leaves of the names.
	files, durable map[string]*memFile
	locked         bool
	// failAfter fails the n-th sync from now, if positive.
	failAfter int
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, durable: map[string]*memFile{}}
}

func (m *memFS) sync() error {
	m.failAfter--
	if m.failAfter == 0 {
		return errDisk
	}
	return nil
}

// crash keeps the names of the last folder sync, the synced bytes, and of the
// rest a random part with one random byte changed.
func (m *memFS) crash(r *rand.Rand) {
	m.locked = false
	m.files = map[string]*memFile{}
	for name, f := range m.durable {
		loose := slices.Clone(f.data[f.synced:])
		loose = loose[:r.IntN(len(loose)+1)]
		if len(loose) > 0 && r.IntN(2) == 0 {
			loose[r.IntN(len(loose))] ^= 0x40
		}
		data := append(slices.Clone(f.data[:f.synced]), loose...)
		m.files[name] = &memFile{data: data, synced: len(data)}
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
	f.synced = min(f.synced, int(size))
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

type memLock struct{ m *memFS }

func (l memLock) Close() error {
	l.m.locked = false
	return nil
}

type memHandle struct {
	m *memFS
	f *memFile
}

func (h *memHandle) Write(p []byte) (int, error) {
	h.f.data = append(h.f.data, p...)
	return len(p), nil
}

func (h *memHandle) Sync() error {
	if err := h.m.sync(); err != nil {
		return err
	}
	h.f.synced = len(h.f.data)
	return nil
}

func (h *memHandle) Close() error { return nil }
