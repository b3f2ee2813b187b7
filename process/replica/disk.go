package replica

import (
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/process/snap"
	"github.com/landingtrail/landingtrail/process/wal"
	"github.com/pkg/errors"
)

// DiskOptions says where a Disk keeps its files.
type DiskOptions struct {
	FileSystem   wal.FileSystem // wal.OS{} when nil
	Dir          string
	Group        uint64
	SegmentBytes int64 // wal.DefaultSegmentBytes when 0
}

// Disk is the Storage of a member with a data folder: a log and snapshots.
type Disk struct {
	log       *wal.Log
	snapshots *snap.Store
	recovery  Recovery
	initial   raft.InitialState
	empty     bool
	loaded    bool
	// pending holds a hard state whose loss is harmless until the next Save.
	unsavedHardState *raft.HardState
}

// Recovery tells what opening a Disk found.
type Recovery struct {
	Identity         wal.Identity
	Entries          int   // entries after the snapshot
	TornBytes        int64 // of a Save that a crash cut short
	DamagedSnapshots int   // newer ones that were passed over
}

var _ Storage = (*Disk)(nil)

// OpenDisk opens the folder, or makes it with a new identity. It returns
// wal.ErrLostLog when the folder lost state that it held once, wal.ErrCorrupt and
// snap.ErrDamaged when state is damaged: the member must not run then, and can
// come back as a new one after DiscardDisk.
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

// DiscardDisk removes the state and the identity from the folder. The next
// OpenDisk makes a new member, which has to join the group as a learner.
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

// reachesBack tells whether the log holds every entry after index.
func holdsEntriesAfter(recovered wal.Recovered, index uint64) bool {
	if len(recovered.Entries) == 0 {
		return recovered.LastIndex <= index
	}
	return recovered.Entries[0].Index <= index+1
}

// settleInstall ends an installation that a crash cut short: the log restarts
// after the snapshot if that was written, and stays as it is if not.
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

// checkComplete finds logs that lost their end or their beginning.
func checkCompleteness(recovered wal.Recovered, snapshot raft.Snapshot) error {
	switch {
	case snapshot.Index > recovered.LastIndex:
		return errors.Wrapf(wal.ErrLostLog, "log ends at %d, before snapshot %d", recovered.LastIndex, snapshot.Index)
	case recovered.HardState.Commit > recovered.LastIndex:
		return errors.Wrapf(wal.ErrLostLog, "log ends at %d, before commit index %d", recovered.LastIndex, recovered.HardState.Commit)
	case !holdsEntriesAfter(recovered, snapshot.Index):
		return errors.Wrapf(wal.ErrLostLog, "log does not reach back to snapshot %d", snapshot.Index)
	}
	return nil
}

func entriesAfter(entries []raft.Entry, index uint64) []raft.Entry {
	for len(entries) > 0 && entries[0].Index <= index {
		entries = entries[1:]
	}
	return entries
}

// Identity returns the identity of the folder.
func (d *Disk) Identity() wal.Identity { return d.recovery.Identity }

// Recovery tells what opening found.
func (d *Disk) Recovery() Recovery { return d.recovery }

// Empty tells whether the folder held nothing of a group when it was opened.
func (d *Disk) Empty() bool { return d.empty }

// Load implements Storage. It may be called once: the recovered entries are not
// kept.
func (d *Disk) Load() (raft.InitialState, error) {
	if d.loaded {
		return raft.InitialState{}, errors.New("replica: disk was loaded already")
	}
	d.loaded = true
	initial := d.initial
	d.initial = raft.InitialState{}
	return initial, nil
}

// Bootstrap implements Storage by a snapshot at index zero.
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

// install replaces the log by a received snapshot. The term goes first, because
// a snapshot is never of a later term than its member. The note before the
// snapshot tells a crash in between from a lost log.
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

// Close implements Storage. A hard state whose loss is harmless is saved first,
// so that a planned restart knows how far the log is committed.
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
