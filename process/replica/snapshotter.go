package replica

import (
	"sync"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// snapshotter decides when a snapshot is due and tracks the goroutine that encodes and
// writes it. Only the loop accesses its fields, apart from done and background.
type snapshotter struct {
	maxEntries uint64
	maxBytes   int
	lastIndex  uint64 // of the last snapshot
	entries    uint64 // applied since the last snapshot
	bytes      int    // applied since the last snapshot
	running    bool
	done       chan snapshotResult // buffered for one result
	background *sync.WaitGroup
}

type snapshotResult struct {
	snapshot raft.Snapshot
	err      error
}

func newSnapshotter(config Config, lastIndex uint64) snapshotter {
	return snapshotter{
		maxEntries: config.SnapshotEntries,
		maxBytes:   config.SnapshotBytes,
		lastIndex:  lastIndex,
		done:       make(chan snapshotResult, 1),
		background: &sync.WaitGroup{},
	}
}

// countEntry counts an applied entry toward the next snapshot.
func (s *snapshotter) countEntry(entry raft.Entry) {
	s.entries++
	s.bytes += len(entry.Data)
}

// reset restarts the counts after a snapshot at index was received or started.
func (s *snapshotter) reset(index uint64) {
	s.lastIndex, s.entries, s.bytes = index, 0, 0
}

func (s *snapshotter) isDue() bool {
	return !s.running && (s.entries >= s.maxEntries || s.bytes >= s.maxBytes)
}

// wait waits until no snapshot is being encoded or written.
func (s *snapshotter) wait() { s.background.Wait() }

// startSnapshot starts a snapshot of the state machine at the applied index if one is
// due.
func (l *loop) startSnapshot() error {
	if !l.snapshots.isDue() {
		return nil
	}
	snapshot, err := l.node.SnapshotAt(l.applied, nil)
	if err != nil {
		return errors.Wrap(err, "replica: start snapshot")
	}
	encode := l.capture()
	l.snapshots.reset(l.applied)
	l.snapshots.running = true
	l.snapshots.background.Go(func() {
		data, err := encode()
		if err == nil {
			snapshot.Data = data
			err = l.config.Storage.SaveSnapshot(snapshot)
		}
		l.snapshots.done <- snapshotResult{snapshot: snapshot, err: err}
	})
	return nil
}

// capture returns a function that encodes the current state and can be called on
// another goroutine.
func (l *loop) capture() func() ([]byte, error) {
	if capturer, ok := l.config.StateMachine.(Capturer); ok {
		return capturer.Capture()
	}
	data, err := l.config.StateMachine.Snapshot()
	return func() ([]byte, error) { return data, err }
}

// finishSnapshot lets the node and the storage drop the entries that the snapshot
// covers. It ignores a snapshot that is older than one received in the meantime.
func (l *loop) finishSnapshot(result snapshotResult) error {
	l.snapshots.running = false
	if result.err != nil {
		return errors.Wrap(result.err, "replica: save snapshot")
	}
	err := l.node.Compact(result.snapshot)
	if errors.Is(err, raft.ErrCompacted) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "replica: compact Raft log")
	}
	return errors.Wrap(l.config.Storage.Compact(), "replica: compact storage")
}
