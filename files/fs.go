// Package files holds the building blocks of the disk store: an interface to the
// file system of one folder, atomic file writes, the checksummed frames of the log
// segments, and the identity of a folder.
package files

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/gofrs/flock"
	"github.com/gravitational/trace"
)

// FS is the file system under a store. All names are relative to the folder.
type FS interface {
	// Lock locks the folder for this process until the returned function is
	// called. The error is a trace.AlreadyExists when another process has it locked.
	Lock() (unlock func() error, err error)
	// List returns the names of all regular files, in any order.
	List() ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create makes an empty file, replacing one of the same name.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes created, renamed and removed names durable.
	SyncDir() error
}

// File is a file opened for writing.
type File interface {
	Write(b []byte) (int, error)
	// Sync makes all written bytes and the size durable.
	Sync() error
	Close() error
}

const lockFile = "lock"

type folderFS struct{ dir string }

// Folder returns the operating system's file system for the folder dir, which is
// made if missing.
func Folder(dir string) (FS, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return folderFS{dir}, nil
}

func (f folderFS) path(name string) string { return filepath.Join(f.dir, name) }

func (f folderFS) Lock() (func() error, error) {
	l := flock.New(f.path(lockFile))
	ok, err := l.TryLock()
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if !ok {
		return nil, trace.AlreadyExists("folder %s is in use by another process", f.dir)
	}
	return l.Unlock, nil
}

func (f folderFS) List() ([]string, error) {
	entries, err := os.ReadDir(f.dir)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

func (f folderFS) ReadFile(name string) ([]byte, error) {
	b, err := os.ReadFile(f.path(name))
	return b, trace.ConvertSystemError(err)
}

func (f folderFS) Create(name string) (File, error) {
	return f.open(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND)
}

func (f folderFS) Append(name string) (File, error) {
	return f.open(name, os.O_WRONLY|os.O_APPEND)
}

func (f folderFS) open(name string, flags int) (File, error) {
	file, err := os.OpenFile(f.path(name), flags, 0o600)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return dataFile{file}, nil
}

func (f folderFS) Rename(from, to string) error {
	return trace.ConvertSystemError(os.Rename(f.path(from), f.path(to)))
}

func (f folderFS) Remove(name string) error {
	return trace.ConvertSystemError(os.Remove(f.path(name)))
}

func (f folderFS) SyncDir() error {
	d, err := os.Open(f.dir)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	err = d.Sync()
	return trace.NewAggregate(err, d.Close())
}

// dataFile syncs with fdatasync, which does not write the modification time.
type dataFile struct{ *os.File }

func (f dataFile) Sync() error {
	raw, err := f.SyscallConn()
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	var syncErr error
	err = raw.Control(func(fd uintptr) {
		for {
			syncErr = syscall.Fdatasync(int(fd))
			if syncErr != syscall.EINTR {
				return
			}
		}
	})
	return trace.NewAggregate(err, syncErr)
}
