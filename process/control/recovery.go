package control

import (
	"context"
	"slices"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/process/replica"
	"github.com/landingtrail/landingtrail/process/snap"
	"github.com/landingtrail/landingtrail/process/wal"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/pkg/errors"
)

// ErrRemoved means that the group has removed this member's identity.
var ErrRemoved = errors.New("control: the group has removed this member")

// openDisk opens the data directory. With Join, a directory whose state is lost or damaged is
// discarded and the member rejoins as a new one, but only while the others have a leader: then they
// hold everything that was committed. Otherwise the damage is left for an operator to repair.
func openDisk(ctx context.Context, config Config, logger log.Logger) (*replica.Disk, error) {
	options := replica.DiskOptions{FileSystem: config.fileSystem, Dir: config.DataFolder, Group: config.GroupID}
	disk, err := replica.OpenDisk(options)
	if err == nil || !config.Join || !isDataLoss(err) {
		return disk, errors.Wrap(err, "control: open data directory")
	}
	if !othersHaveLeader(ctx, config) {
		return nil, errors.Wrap(err, "control: data directory not discarded, since no other member knows a leader")
	}
	event.ControlDiskDiscarded.Log(logger, "err", err)
	if err := replica.DiscardDisk(config.fileSystem, config.DataFolder); err != nil {
		return nil, errors.Wrap(err, "control: discard data directory")
	}
	disk, err = replica.OpenDisk(options)
	return disk, errors.Wrap(err, "control: open data directory")
}

func isDataLoss(err error) bool {
	return errors.Is(err, wal.ErrLostLog) || errors.Is(err, wal.ErrCorrupt) || errors.Is(err, snap.ErrCorrupt)
}

// othersHaveLeader reports whether any other member that the settings list, or that an earlier identity of
// this process knew, leads or follows a leader. The leader itself may not be among them.
func othersHaveLeader(ctx context.Context, config Config) bool {
	earlier, _ := config.contacts.earlier()
	return slices.ContainsFunc(config.contacts.configured(), func(configured Member) bool {
		return knowsLeader(ctx, config, configured.OperatorAddress)
	}) || slices.ContainsFunc(earlier, func(recorded state.Member) bool {
		return recorded.Name != config.Name && knowsLeader(ctx, config, recorded.OperatorAddress)
	})
}

func knowsLeader(ctx context.Context, config Config, operatorAddress string) bool {
	ctx, cancel := context.WithTimeout(ctx, config.Durations.Election)
	defer cancel()
	self, err := fetchMemberStatus(ctx, operatorAddress)
	return err == nil && self.Leader != uint64(raft.None)
}

// removalCheckElections is the number of election timeouts without a leader after which a member
// that its own log still lists as a member checks whether it was removed.
const removalCheckElections = 5

// signalRemoved makes the member stop because it was removed.
func (m *member) signalRemoved() {
	select {
	case m.removed <- struct{}{}:
	default:
	}
}

// watchRemoval detects that the group has removed this member, which would otherwise wait forever,
// since a removed member no longer hears from a leader.
//
// It does so by asking to join. The request reaches the leader through any member, changes nothing
// for a current member, and is refused as removed only once the removal is committed. Therefore no
// disk is discarded that a quorum may need.
func (m *member) watchRemoval(ctx context.Context) {
	leaderlessChecks := 0
	for pause.Sleep(ctx, m.config.Durations.Election) {
		status := m.replica.Status()
		switch {
		case len(status.Configuration.Voters) == 0:
			leaderlessChecks = 0 // has not joined yet
			continue
		case !slices.Contains(allMembers(status.Configuration), status.ID):
			// A member that was connected when it was removed has received its removal.
		case status.Leader != raft.None:
			leaderlessChecks = 0
			continue
		default:
			// A member that was disconnected has not: its own log still lists it.
			if leaderlessChecks++; leaderlessChecks%removalCheckElections != 0 {
				continue
			}
		}
		if isRemovedError(m.requestJoin(ctx)) {
			m.signalRemoved()
			return
		}
	}
}

// finishRemoved discards the data directory of a removed member if the member is to rejoin; the
// next start then generates a new identity. It returns ErrRemoved unless discarding fails.
func (m *member) finishRemoved() error {
	event.ControlRemoved.Log(m.logger, "id", uint64(m.id))
	if !m.config.Join {
		return ErrRemoved
	}
	if err := m.discardData(); err != nil {
		return err
	}
	return ErrRemoved
}
