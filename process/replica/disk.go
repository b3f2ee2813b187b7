package replica

import (
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/process/snap"
	"github.com/landingtrail/landingtrail/process/wal"
	"github.com/pkg/errors"
)

// DiskOptions configures where a Disk stores its files.
type DiskOptions struct {
	FileSystem   wal.FileSystem // wal.OS{} when nil
	Dir          string
	Group        uint64
	SegmentBytes int64 // wal.DefaultSegmentBytes when 0
}

// Disk is a Storage that keeps a log and snapshots in a data directory.
type Disk struct {
	log       *wal.Log
	snapshots *snap.Store
	recovery  Recovery
	initial   raft.InitialState
	empty     bool
	loaded    bool
	// unsavedHardState is a hard state that is written with the next synced update,
	// because losing it in a crash is harmless.
	unsavedHardState *raft.HardState
}

// Recovery describes what was recovered when a Disk was opened.
type Recovery struct {
	Identity         wal.Identity
	Entries          int   // entries after the snapshot
	TornBytes        int64 // of a record that was being appended during a crash
	DamagedSnapshots int   // newer snapshots that were skipped as corrupt
}

var _ Storage = (*Disk)(nil)

// OpenDisk opens the directory, or creates it with a new identity. It returns
// wal.ErrLostLog if the directory has lost state, and wal.ErrCorrupt or
// snap.ErrCorrupt if its state is corrupt. After these errors the member must not
// run; it can rejoin as a new member after DiscardDisk. wal.ErrLocked and
// wal.ErrWrongGroup mean that another process or group uses the directory.
func OpenDisk(options DiskOptions) (*Disk, error) {
	if options.FileSystem == nil {
		options.FileSystem = wal.OS{}
	}
	log, recovered, err := wal.Open(wal.Options{
		FileSystem:   options.FileSystem,
		Dir:          options.Dir,
		Group:        options.Group,
		SegmentBytes: options.SegmentBytes,
	})
	if err != nil {
		return nil, err
	}
	disk := &Disk{log: log}
	if err := disk.recover(options, recovered); err != nil {
		log.Close()
		return nil, err
	}
	return disk, nil
}

// DiscardDisk removes the state and the identity from the directory. The next
// OpenDisk creates a new member, which must join the group as a learner.
func DiscardDisk(fileSystem wal.FileSystem, dir string) error {
	if err := wal.Discard(fileSystem, dir); err != nil {
		return err
	}
	return snap.Discard(fileSystem, dir)
}

func (d *Disk) recover(options DiskOptions, recovered wal.Recovered) error {
	store, err := snap.Open(options.FileSystem, options.Dir)
	if err != nil {
		return err
	}
	d.snapshots = store
	loaded, err := store.Load(func(index uint64) bool { return holdsEntriesAfter(recovered, index) })
	if err != nil {
		return err
	}
	snapshot := loaded.Snapshot
	if err := d.resolvePendingInstall(&recovered, snapshot); err != nil {
		return err
	}
	if err := checkCompleteness(recovered, snapshot); err != nil {
		return err
	}
	d.initial = raft.InitialState{HardState: recovered.HardState, Entries: entriesAfter(recovered.Entries, snapshot.Index)}
	if snapshot.Index > 0 {
		d.initial.Snapshot = snapshot
	} else {
		d.initial.Configuration = snapshot.Configuration
	}
	d.empty = isEmptyState(d.initial)
	d.recovery = Recovery{
		Identity:         recovered.Identity,
		Entries:          len(d.initial.Entries),
		TornBytes:        recovered.TornBytes,
		DamagedSnapshots: loaded.Damaged,
	}
	return nil
}

// holdsEntriesAfter reports whether the log holds every entry after index.
func holdsEntriesAfter(recovered wal.Recovered, index uint64) bool {
	if len(recovered.Entries) == 0 {
		return recovered.LastIndex <= index
	}
	return recovered.Entries[0].Index <= index+1
}

// resolvePendingInstall completes an installation that a crash interrupted: the log
// restarts after the snapshot if that was written, and is left unchanged otherwise.
func (d *Disk) resolvePendingInstall(recovered *wal.Recovered, snapshot raft.Snapshot) error {
	if recovered.InstallIndex == 0 {
		return nil
	}
	if snapshot.Index != recovered.InstallIndex || snapshot.Term != recovered.InstallTerm {
		return d.log.CancelInstall()
	}
	recovered.Entries = nil
	recovered.LastTerm, recovered.LastIndex = snapshot.Term, snapshot.Index
	return d.log.Reset(snapshot.Term, snapshot.Index)
}

// checkCompleteness returns wal.ErrLostLog if the log has lost its head or tail.
func checkCompleteness(recovered wal.Recovered, snapshot raft.Snapshot) error {
	switch {
	case snapshot.Index > recovered.LastIndex:
		return errors.Wrapf(wal.ErrLostLog, "log ends at %d, before snapshot %d", recovered.LastIndex, snapshot.Index)
	case recovered.HardState.Commit > recovered.LastIndex:
		return errors.Wrapf(wal.ErrLostLog, "log ends at %d, before commit index %d", recovered.LastIndex, recovered.HardState.Commit)
	case !holdsEntriesAfter(recovered, snapshot.Index):
		return errors.Wrapf(wal.ErrLostLog, "log does not hold every entry after snapshot %d", snapshot.Index)
	}
	return nil
}

func entriesAfter(entries []raft.Entry, index uint64) []raft.Entry {
	for len(entries) > 0 && entries[0].Index <= index {
		entries = entries[1:]
	}
	return entries
}

// Identity returns the identity of the directory.
func (d *Disk) Identity() wal.Identity { return d.recovery.Identity }

// Recovery returns what was recovered when the Disk was opened.
func (d *Disk) Recovery() Recovery { return d.recovery }

// Empty reports whether the directory held no group state when it was opened.
func (d *Disk) Empty() bool { return d.empty }

// Load implements Storage. It can be called only once, because the recovered entries
// are not kept.
func (d *Disk) Load() (raft.InitialState, error) {
	if d.loaded {
		return raft.InitialState{}, errors.New("replica: disk has already been loaded")
	}
	d.loaded = true
	initial := d.initial
	d.initial = raft.InitialState{}
	return initial, nil
}

// Bootstrap implements Storage. It stores the configuration as a snapshot at index
// zero.
func (d *Disk) Bootstrap(configuration raft.Configuration) error {
	return d.snapshots.Save(raft.Snapshot{Configuration: configuration})
}

// Save implements Storage.
func (d *Disk) Save(update Update) error {
	if update.HardState != nil {
		d.unsavedHardState = update.HardState
	}
	if !update.MustSync {
		return nil
	}
	if update.Snapshot != nil {
		if err := d.install(*update.Snapshot); err != nil {
			return err
		}
	}
	hardState := d.unsavedHardState
	d.unsavedHardState = nil
	return d.log.Save(hardState, update.Entries)
}

// install replaces the log with a received snapshot. It saves the term first, because
// a snapshot must not have a later term than the member that stores it. The install
// record before the snapshot lets recovery tell a crash in between from a lost log.
func (d *Disk) install(snapshot raft.Snapshot) error {
	if d.unsavedHardState != nil {
		hardState := *d.unsavedHardState
		hardState.Commit = min(hardState.Commit, d.log.LastIndex())
		if err := d.log.Save(&hardState, nil); err != nil {
			return err
		}
	}
	if err := d.log.BeginInstall(snapshot.Term, snapshot.Index); err != nil {
		return err
	}
	if err := d.snapshots.Save(snapshot); err != nil {
		return err
	}
	return d.log.Reset(snapshot.Term, snapshot.Index)
}

// SaveSnapshot implements Storage.
func (d *Disk) SaveSnapshot(snapshot raft.Snapshot) error { return d.snapshots.Save(snapshot) }

// Compact implements Storage.
func (d *Disk) Compact() error {
	oldest, found := d.snapshots.OldestIndex()
	if !found {
		return nil
	}
	return d.log.Compact(oldest)
}

// Close implements Storage. It first saves a hard state that is not yet written, so
// that the commit index is known after a planned restart.
func (d *Disk) Close() error {
	err := error(nil)
	if d.unsavedHardState != nil {
		err = d.log.Save(d.unsavedHardState, nil)
	}
	if closeErr := d.log.Close(); err == nil {
		err = closeErr
	}
	return err
}
