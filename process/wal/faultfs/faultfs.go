// Package faultfs is a wal.FileSystem in memory for tests. It tells what is
// written from what is durable: a crash loses unsynced bytes, tears writes by
// sectors and forgets unsynced folder entries. It can fail writes, fill up, and
// fail syncs in the way operating systems do, where the pages of a failed sync
// count as clean afterwards and are never written.
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
	// ErrPower says that the machine is off: see StopAfter.
	ErrPower = errors.New("faultfs: power is off")
	// ErrSync is an injected failure of a sync.
	ErrSync = errors.New("faultfs: sync failed")
	// ErrFull says that the capacity is used up.
	ErrFull = errors.New("faultfs: no space left")
)

// sectorBytes is the unit that a disk writes wholly or not at all.
const sectorBytes = 512

// pendingWrite is a write that is not durable yet.
type pendingWrite struct {
	offset int
	data   []byte
}

// inode is a file's content: as programs see it, and as the disk holds it.
type inode struct {
	visible []byte
	durable []byte
	pending []pendingWrite
}

// folderChange is a change of the name table that is not durable yet.
type folderChange struct {
	removed string
	added   string
	node    *inode
}

// FileSystem is a file system in memory with faults.
type FileSystem struct {
	mutex      sync.Mutex
	random     *rand.Rand
	visible    map[string]*inode
	durable    map[string]*inode
	changes    []folderChange
	boot       int // counts crashes; open files of an earlier boot are dead
	locked     map[string]bool
	operations int
	remaining  int // operations until the power goes, negative for never
	syncFaults int // syncs that will fail
	capacity   int // bytes, negative for endless
}

var _ wal.FileSystem = (*FileSystem)(nil)

// New returns an empty file system whose faults are drawn from seed.
func New(seed uint64) *FileSystem {
	return &FileSystem{
		random:    rand.New(rand.NewPCG(seed, seed)),
		visible:   make(map[string]*inode),
		durable:   make(map[string]*inode),
		locked:    make(map[string]bool),
		remaining: -1,
		capacity:  -1,
	}
}

// StopAfter lets the power go after this many more changing operations; each
// later one fails with ErrPower. A negative number takes that back.
func (f *FileSystem) StopAfter(operations int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.remaining = operations
}

// FailSyncs makes the next count syncs of files fail.
func (f *FileSystem) FailSyncs(count int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.syncFaults = count
}

// SetCapacity limits the bytes in all files; a negative number takes that back.
func (f *FileSystem) SetCapacity(bytes int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.capacity = bytes
}

// Operations returns how many changing operations were carried out.
func (f *FileSystem) Operations() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.operations
}

// Crash loses what is not durable, some of it only in part, and turns the power
// on again.
func (f *FileSystem) Crash() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.boot++
	f.remaining = -1
	f.locked = make(map[string]bool)
	for _, change := range f.changes {
		if f.random.IntN(2) == 0 {
			change.apply(f.durable)
		}
	}
	f.changes = nil
	f.visible = make(map[string]*inode, len(f.durable))
	for name, node := range f.durable {
		f.tear(node)
		f.visible[name] = node
	}
}

// Restart ends the process without a crash of the machine: locks and open files
// go, what was written stays visible and is as durable as before.
func (f *FileSystem) Restart() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.boot++
	f.locked = make(map[string]bool)
}

// tear makes some sectors of the pending writes durable and drops the rest.
func (f *FileSystem) tear(node *inode) {
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

func (c folderChange) apply(names map[string]*inode) {
	if c.removed != "" {
		delete(names, c.removed)
	}
	if c.added != "" {
		names[c.added] = c.node
	}
}

// writeAt writes into content; a gap before offset is filled with zeros.
func writeAt(content []byte, offset int, data []byte) []byte {
	if missing := offset + len(data) - len(content); missing > 0 {
		content = append(content, make([]byte, missing)...)
	}
	copy(content[offset:], data)
	return content
}

// Edit changes a file's content in place and durably, as damage would.
func (f *FileSystem) Edit(name string, change func(content []byte) []byte) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	node := f.visible[name]
	node.durable = change(slices.Clone(node.durable))
	node.visible = slices.Clone(node.durable)
	node.pending = nil
}

// Destroy removes a file durably.
func (f *FileSystem) Destroy(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.visible, name)
	delete(f.durable, name)
}

// begin counts a changing operation. The mutex is held.
func (f *FileSystem) begin() error {
	if f.remaining == 0 {
		return ErrPower
	}
	if f.remaining > 0 {
		f.remaining--
	}
	f.operations++
	return nil
}

func (f *FileSystem) change(c folderChange) {
	c.apply(f.visible)
	f.changes = append(f.changes, c)
}

// MakeDir implements wal.FileSystem; all folders exist.
func (f *FileSystem) MakeDir(string) error { return nil }

// SyncDir implements wal.FileSystem.
func (f *FileSystem) SyncDir(string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.begin(); err != nil {
		return err
	}
	for _, change := range f.changes {
		change.apply(f.durable)
	}
	f.changes = nil
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
	if err := f.begin(); err != nil {
		return nil, err
	}
	node := &inode{}
	f.change(folderChange{added: name, node: node})
	return &file{system: f, node: node, boot: f.boot}, nil
}

// Append implements wal.FileSystem.
func (f *FileSystem) Append(name string) (wal.File, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	node := f.visible[name]
	if node == nil {
		return nil, errors.Wrap(fs.ErrNotExist, name)
	}
	return &file{system: f, node: node, boot: f.boot}, nil
}

// Rename implements wal.FileSystem.
func (f *FileSystem) Rename(from, to string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.begin(); err != nil {
		return err
	}
	node := f.visible[from]
	if node == nil {
		return errors.Wrap(fs.ErrNotExist, from)
	}
	f.change(folderChange{removed: from, added: to, node: node})
	return nil
}

// Remove implements wal.FileSystem.
func (f *FileSystem) Remove(name string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.begin(); err != nil {
		return err
	}
	if f.visible[name] == nil {
		return errors.Wrap(fs.ErrNotExist, name)
	}
	f.change(folderChange{removed: name})
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
	return &lock{system: f, dir: dir, boot: f.boot}, nil
}

type lock struct {
	system *FileSystem
	dir    string
	boot   int
}

func (l *lock) Close() error {
	l.system.mutex.Lock()
	defer l.system.mutex.Unlock()
	if l.boot == l.system.boot {
		delete(l.system.locked, l.dir)
	}
	return nil
}

// file is an open file.
type file struct {
	system *FileSystem
	node   *inode
	boot   int
}

func (o *file) begin() error {
	if o.boot != o.system.boot {
		return ErrPower
	}
	return o.system.begin()
}

// Write appends; on a full disk only the part that fits is written.
func (o *file) Write(data []byte) (int, error) {
	o.system.mutex.Lock()
	defer o.system.mutex.Unlock()
	if err := o.begin(); err != nil {
		return 0, err
	}
	fitting := o.system.room(len(data))
	written := slices.Clone(data[:fitting])
	o.node.pending = append(o.node.pending, pendingWrite{offset: len(o.node.visible), data: written})
	o.node.visible = append(o.node.visible, written...)
	if fitting < len(data) {
		return fitting, ErrFull
	}
	return fitting, nil
}

// room returns how many of the wanted bytes fit.
func (f *FileSystem) room(wanted int) int {
	if f.capacity < 0 {
		return wanted
	}
	used := 0
	for _, node := range f.visible {
		used += len(node.visible)
	}
	return max(0, min(wanted, f.capacity-used))
}

// Sync makes the pending writes durable. When it fails they stay visible but are
// never written, by no later sync either.
func (o *file) Sync() error {
	o.system.mutex.Lock()
	defer o.system.mutex.Unlock()
	if err := o.begin(); err != nil {
		return err
	}
	pending := o.node.pending
	o.node.pending = nil
	if o.system.syncFaults > 0 {
		o.system.syncFaults--
		return ErrSync
	}
	for _, write := range pending {
		o.node.durable = writeAt(o.node.durable, write.offset, write.data)
	}
	return nil
}

func (o *file) Close() error { return nil }
