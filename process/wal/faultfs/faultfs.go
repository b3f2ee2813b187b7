// Package faultfs implements an in-memory wal.FileSystem with fault injection for
// tests. It distinguishes written from durable data: a crash loses unsynced bytes,
// tears writes at sector boundaries and loses unsynced directory entries. It can
// fail writes, run out of space, and fail syncs the way operating systems do: the
// pages of a failed sync are marked clean and never written.
package faultfs

import (
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"

	"github.com/landingtrail/landingtrail/process/wal"
	"github.com/pkg/errors"
)

// Errors that the file system injects.
var (
	// ErrPower is returned after a simulated power failure, see StopAfter, and for a
	// file that was opened before the last Crash or Restart.
	ErrPower = errors.New("faultfs: power is off")
	// ErrSync is returned by a sync that was made to fail: see FailSyncs.
	ErrSync = errors.New("faultfs: sync failed")
	// ErrFull is returned when the capacity is exhausted: see SetCapacity.
	ErrFull = errors.New("faultfs: no space left")
)

// sectorBytes is the size of a sector, which a disk writes atomically.
const sectorBytes = 512

// pendingWrite is a write that has not been synced.
type pendingWrite struct {
	offset int
	data   []byte
}

// inode holds a file's content as programs read it and as it is stored on disk.
type inode struct {
	visible []byte
	durable []byte
	pending []pendingWrite
}

// directoryChange is a change of directory entries that has not been synced.
type directoryChange struct {
	removed string
	added   string
	node    *inode
}

// FileSystem is an in-memory file system with fault injection.
type FileSystem struct {
	mutex          sync.Mutex
	random         *rand.Rand
	visible        map[string]*inode
	durable        map[string]*inode
	pendingChanges []directoryChange
	bootCount      int // crashes and restarts so far; files opened before the last one are invalid
	locked         map[string]bool
	operations     int
	operationsLeft int // operations until the power failure; negative for none
	failingSyncs   int // how many of the next syncs fail
	capacity       int // bytes; negative for unlimited
}

var _ wal.FileSystem = (*FileSystem)(nil)

// New returns an empty file system. seed initializes the random generator that selects
// what a crash loses.
func New(seed uint64) *FileSystem {
	return &FileSystem{
		random:         rand.New(rand.NewPCG(seed, seed)),
		visible:        make(map[string]*inode),
		durable:        make(map[string]*inode),
		locked:         make(map[string]bool),
		operationsLeft: -1,
		capacity:       -1,
	}
}

// StopAfter simulates a power failure after this many further modifying operations:
// all later ones fail with ErrPower. A negative number cancels it.
func (f *FileSystem) StopAfter(operations int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.operationsLeft = operations
}

// FailSyncs makes the next count file syncs fail. SyncDir is not affected.
func (f *FileSystem) FailSyncs(count int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failingSyncs = count
}

// SetCapacity limits the total size of all files; a negative number removes the
// limit.
func (f *FileSystem) SetCapacity(bytes int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.capacity = bytes
}

// Operations returns the number of modifying operations carried out.
func (f *FileSystem) Operations() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.operations
}

// Crash simulates a crash and reboot of the machine: a random part of the data and
// directory changes that were not durable is lost, and locks are released.
func (f *FileSystem) Crash() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.bootCount++
	f.operationsLeft = -1
	f.locked = make(map[string]bool)
	for _, change := range f.pendingChanges {
		if f.random.IntN(2) == 0 {
			change.apply(f.durable)
		}
	}
	f.pendingChanges = nil
	f.visible = make(map[string]*inode, len(f.durable))
	for name, node := range f.durable {
		f.tearPendingWrites(node)
		f.visible[name] = node
	}
}

// Restart simulates a restart of the process without a crash of the machine: locks
// are released and open files become invalid; written data stays readable and is
// exactly as durable as before.
func (f *FileSystem) Restart() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.bootCount++
	f.locked = make(map[string]bool)
}

// tearPendingWrites makes a random subset of the sectors of pending writes durable
// and drops the rest.
func (f *FileSystem) tearPendingWrites(node *inode) {
	for _, write := range node.pending {
		for start := 0; start < len(write.data); start += sectorBytes {
			if f.random.IntN(2) == 0 {
				continue
			}
			end := min(start+sectorBytes, len(write.data))
			node.durable = writeAt(node.durable, write.offset+start, write.data[start:end])
		}
	}
	node.pending = nil
	node.visible = slices.Clone(node.durable)
}

func (c directoryChange) apply(names map[string]*inode) {
	if c.removed != "" {
		delete(names, c.removed)
	}
	if c.added != "" {
		names[c.added] = c.node
	}
}

// writeAt writes data into content at offset and fills a gap before it with zeros.
func writeAt(content []byte, offset int, data []byte) []byte {
	if missing := offset + len(data) - len(content); missing > 0 {
		content = append(content, make([]byte, missing)...)
	}
	copy(content[offset:], data)
	return content
}

// Edit changes a file's durable content in place, to simulate corruption. It panics if
// the file is missing.
func (f *FileSystem) Edit(name string, change func(content []byte) []byte) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	node := f.visible[name]
	node.durable = change(slices.Clone(node.durable))
	node.visible = slices.Clone(node.durable)
	node.pending = nil
}

// Destroy removes a file durably, to simulate its loss. A missing file is ignored.
func (f *FileSystem) Destroy(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.visible, name)
	delete(f.durable, name)
}

// beginOperation counts a modifying operation and fails after a power failure. The
// caller must hold the mutex.
func (f *FileSystem) beginOperation() error {
	if f.operationsLeft == 0 {
		return ErrPower
	}
	if f.operationsLeft > 0 {
		f.operationsLeft--
	}
	f.operations++
	return nil
}

func (f *FileSystem) applyChange(c directoryChange) {
	c.apply(f.visible)
	f.pendingChanges = append(f.pendingChanges, c)
}

// MakeDir implements wal.FileSystem; all directories exist.
func (f *FileSystem) MakeDir(string) error { return nil }

// SyncDir implements wal.FileSystem.
func (f *FileSystem) SyncDir(string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.beginOperation(); err != nil {
		return err
	}
	for _, change := range f.pendingChanges {
		change.apply(f.durable)
	}
	f.pendingChanges = nil
	return nil
}

// List implements wal.FileSystem.
func (f *FileSystem) List(dir string) ([]string, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var names []string
	for name := range f.visible {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile implements wal.FileSystem.
func (f *FileSystem) ReadFile(name string) ([]byte, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	node := f.visible[name]
	if node == nil {
		return nil, errors.Wrap(fs.ErrNotExist, name)
	}
	return slices.Clone(node.visible), nil
}

// Create implements wal.FileSystem.
func (f *FileSystem) Create(name string) (wal.File, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.beginOperation(); err != nil {
		return nil, err
	}
	node := &inode{}
	f.applyChange(directoryChange{added: name, node: node})
	return &file{fileSystem: f, node: node, bootCount: f.bootCount}, nil
}

// Append implements wal.FileSystem.
func (f *FileSystem) Append(name string) (wal.File, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	node := f.visible[name]
	if node == nil {
		return nil, errors.Wrap(fs.ErrNotExist, name)
	}
	return &file{fileSystem: f, node: node, bootCount: f.bootCount}, nil
}

// Rename implements wal.FileSystem.
func (f *FileSystem) Rename(from, to string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.beginOperation(); err != nil {
		return err
	}
	node := f.visible[from]
	if node == nil {
		return errors.Wrap(fs.ErrNotExist, from)
	}
	f.applyChange(directoryChange{removed: from, added: to, node: node})
	return nil
}

// Remove implements wal.FileSystem.
func (f *FileSystem) Remove(name string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.beginOperation(); err != nil {
		return err
	}
	if f.visible[name] == nil {
		return errors.Wrap(fs.ErrNotExist, name)
	}
	f.applyChange(directoryChange{removed: name})
	return nil
}

// Lock implements wal.FileSystem.
func (f *FileSystem) Lock(dir string) (io.Closer, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.locked[dir] {
		return nil, errors.Wrap(wal.ErrLocked, dir)
	}
	f.locked[dir] = true
	return &lock{fileSystem: f, dir: dir, bootCount: f.bootCount}, nil
}

type lock struct {
	fileSystem *FileSystem
	dir        string
	bootCount  int
}

func (l *lock) Close() error {
	l.fileSystem.mutex.Lock()
	defer l.fileSystem.mutex.Unlock()
	if l.bootCount == l.fileSystem.bootCount {
		delete(l.fileSystem.locked, l.dir)
	}
	return nil
}

// file is an open file.
type file struct {
	fileSystem *FileSystem
	node       *inode
	bootCount  int
}

func (o *file) beginOperation() error {
	if o.bootCount != o.fileSystem.bootCount {
		return ErrPower
	}
	return o.fileSystem.beginOperation()
}

// Write appends data; if it exceeds the capacity, only the part that fits is
// written.
func (o *file) Write(data []byte) (int, error) {
	o.fileSystem.mutex.Lock()
	defer o.fileSystem.mutex.Unlock()
	if err := o.beginOperation(); err != nil {
		return 0, err
	}
	fitting := o.fileSystem.writableBytes(len(data))
	written := slices.Clone(data[:fitting])
	o.node.pending = append(o.node.pending, pendingWrite{offset: len(o.node.visible), data: written})
	o.node.visible = append(o.node.visible, written...)
	if fitting < len(data) {
		return fitting, ErrFull
	}
	return fitting, nil
}

// writableBytes returns how many of the wanted bytes fit into the capacity.
func (f *FileSystem) writableBytes(wanted int) int {
	if f.capacity < 0 {
		return wanted
	}
	used := 0
	for _, node := range f.visible {
		used += len(node.visible)
	}
	return max(0, min(wanted, f.capacity-used))
}

// Sync makes the pending writes durable. If it fails, they stay readable but are
// never made durable, not even by a later sync.
func (o *file) Sync() error {
	o.fileSystem.mutex.Lock()
	defer o.fileSystem.mutex.Unlock()
	if err := o.beginOperation(); err != nil {
		return err
	}
	pending := o.node.pending
	o.node.pending = nil
	if o.fileSystem.failingSyncs > 0 {
		o.fileSystem.failingSyncs--
		return ErrSync
	}
	for _, write := range pending {
		o.node.durable = writeAt(o.node.durable, write.offset, write.data)
	}
	return nil
}

func (o *file) Close() error { return nil }
