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

// FileSystem is the subset of file system operations that durable state needs.
// Tests replace it with an implementation that injects crashes, torn writes and
// errors.
type FileSystem interface {
	// MakeDir creates the directory and its missing parents, and syncs every
	// parent in which it created an entry.
	MakeDir(name string) error
	// SyncDir makes creations, renames and removals in the directory durable.
	SyncDir(name string) error
	// List returns the sorted names of the files in the directory.
	List(dir string) ([]string, error)
	// ReadFile returns the content of the file, or fs.ErrNotExist if it is missing.
	ReadFile(name string) ([]byte, error)
	// Create creates an empty file or truncates an existing one. The file's name is
	// durable only after SyncDir.
	Create(name string) (File, error)
	// Append opens an existing file for appending, or returns fs.ErrNotExist.
	Append(name string) (File, error)
	// Rename renames a file and replaces the target if it exists, or returns
	// fs.ErrNotExist. It is durable only after SyncDir.
	Rename(from, to string) error
	// Remove removes a file, or returns fs.ErrNotExist. It is durable only after
	// SyncDir.
	Remove(name string) error
	// Lock locks the directory exclusively for this process, or returns ErrLocked.
	Lock(dir string) (io.Closer, error)
}

// File is a file opened for writing.
type File interface {
	io.WriteCloser
	// Sync makes everything written so far durable.
	Sync() error
}

// ErrLocked means that another process holds the lock on the directory.
var ErrLocked = errors.New("wal: directory is in use by another process")

const (
	lockFileName    = "lock"
	filePermission  = 0o600
	dirPermission   = 0o700
	temporarySuffix = ".tmp"
)

// OS implements FileSystem with the operating system's file system.
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

// Lock implements FileSystem with an advisory lock, which the kernel releases when
// the process exits for any reason.
func (OS) Lock(dir string) (io.Closer, error) {
	file, err := os.OpenFile(filepath.Join(dir, lockFileName), os.O_RDWR|os.O_CREATE, filePermission)
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

// WriteFile replaces the file atomically: after a crash it holds either the old or
// the new content. When WriteFile returns nil, the new content is durable. After an
// error a file with the suffix .tmp may remain.
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
