package wal

import (
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"syscall"

	"github.com/pkg/errors"
)

// FileSystem is the part of the operating system's file system that durable
// state is kept on. Tests put one in its place that crashes, tears writes and
// fails.
type FileSystem interface {
	// MakeDir creates the folder and its parents and syncs the parents it
	// created entries in.
	MakeDir(name string) error
	// SyncDir makes creations, renames and removals in the folder durable.
	SyncDir(name string) error
	// List returns the sorted names of the files in the folder.
	List(dir string) ([]string, error)
	// ReadFile returns the whole file; a missing one gives fs.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// Create makes an empty file, cutting an existing one to nothing.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// Lock takes the folder for this process alone, or returns ErrLocked.
	Lock(dir string) (io.Closer, error)
}

// File is a file opened for writing.
type File interface {
	io.WriteCloser
	// Sync returns when everything written is durable.
	Sync() error
}

// ErrLocked says that another process holds the folder.
var ErrLocked = errors.New("wal: folder is in use by another process")

const (
	lockName        = "lock"
	filePermission  = 0o600
	dirPermission   = 0o700
	temporarySuffix = ".tmp"
)

// OS is the file system of the operating system.
type OS struct{}

var _ FileSystem = OS{}

// MakeDir implements FileSystem.
func (o OS) MakeDir(name string) error {
	if _, err := os.Stat(name); err == nil {
		return nil
	}
	parent := filepath.Dir(name)
	if parent != name {
		if err := o.MakeDir(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(name, dirPermission); err != nil && !errors.Is(err, fs.ErrExist) {
		return errors.WithStack(err)
	}
	return o.SyncDir(parent)
}

// SyncDir implements FileSystem.
func (OS) SyncDir(name string) error {
	dir, err := os.Open(name)
	if err != nil {
		return errors.WithStack(err)
	}
	defer dir.Close()
	return errors.WithStack(dir.Sync())
}

// List implements FileSystem.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		if !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// ReadFile implements FileSystem.
func (OS) ReadFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	return data, errors.WithStack(err)
}

// Create implements FileSystem.
func (OS) Create(name string) (File, error) {
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, filePermission)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return file, nil
}

// Append implements FileSystem.
func (OS) Append(name string) (File, error) {
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_APPEND, filePermission)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return file, nil
}

// Rename implements FileSystem.
func (OS) Rename(from, to string) error { return errors.WithStack(os.Rename(from, to)) }

// Remove implements FileSystem.
func (OS) Remove(name string) error { return errors.WithStack(os.Remove(name)) }

// Lock implements FileSystem by an advisory lock that the kernel drops when the
// process ends, however it ends.
func (OS) Lock(dir string) (io.Closer, error) {
	file, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, filePermission)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return file, nil
	}
	file.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, errors.Wrap(ErrLocked, dir)
	}
	return nil, errors.WithStack(err)
}

// WriteFile replaces the file in one step: after a crash it holds either the old
// content or the new. When it returns nil the new content is durable.
func WriteFile(fileSystem FileSystem, name string, data []byte) error {
	temporary := name + temporarySuffix
	file, err := fileSystem.Create(temporary)
	if err != nil {
		return err
	}
	if err := writeAndSync(file, data); err != nil {
		file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return errors.WithStack(err)
	}
	if err := fileSystem.Rename(temporary, name); err != nil {
		return err
	}
	return fileSystem.SyncDir(filepath.Dir(name))
}

func writeAndSync(file File, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(file.Sync())
}
