package wal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

// Permissions for the owner only, since the log holds documents and recorded results.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// File is an open file that is only appended to.
type File interface {
	io.Writer
	// Sync makes the written bytes survive a crash.
	Sync() error
	Close() error
}

// FS gives access to one data folder. Names have no folder part. Tests replace it
// to lose unsynced data and to make a sync fail.
type FS interface {
	List() ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create makes an empty file and replaces an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes creations, renames and removals survive a crash.
	SyncDir() error
	// Lock fails with a *LockedError while another process has locked the folder.
	Lock() (io.Closer, error)
}

// lockName is the name of the file whose lock protects the folder.
const lockName = "LOCK"

// osFS is a folder of the operating system.
type osFS struct{ folder string }

// NewFS gives access to a folder and creates the folder if it does not exist.
func NewFS(folder string) (FS, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, eris.Wrapf(err, "create data folder %s", folder)
	}
	return &osFS{folder}, nil
}

func (f *osFS) path(name string) string { return filepath.Join(f.folder, name) }

// List implements FS.
func (f *osFS) List() ([]string, error) {
	entries, err := os.ReadDir(f.folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// ReadFile implements FS.
func (f *osFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

// Create implements FS.
func (f *osFS) Create(name string) (File, error) {
	return os.OpenFile(f.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append implements FS.
func (f *osFS) Append(name string) (File, error) {
	return os.OpenFile(f.path(name), os.O_APPEND|os.O_WRONLY, fileMode)
}

// Truncate implements FS.
func (f *osFS) Truncate(name string, size int64) error { return os.Truncate(f.path(name), size) }

// Rename implements FS.
func (f *osFS) Rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

// Remove implements FS.
func (f *osFS) Remove(name string) error { return os.Remove(f.path(name)) }

// SyncDir implements FS.
func (f *osFS) SyncDir() error {
	folder, err := os.Open(f.folder)
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	return folder.Sync()
}

// Lock implements FS. The kernel releases the lock when the process ends.
func (f *osFS) Lock() (io.Closer, error) {
	file, err := os.OpenFile(f.path(lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, &LockedError{Folder: f.folder, Err: err}
	}
	return file, nil
}
