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
	"github.com/pkg/errors"
)

// ErrRemoved says that the group has removed this member's identity.
var ErrRemoved = errors.New("control: the group has removed this member")

// openDisk opens the data folder. With Join, a folder whose state is lost or
// damaged is emptied, and the member comes back as a new one, but only while the
// others have a leader: then everything that was committed is held by them.
// Without Join, or without a leader, the damage is left for an operator.
func openDisk(ctx context.Context, config Config, logger log.Logger) (*replica.Disk, error) {
	options := replica.DiskOptions{FileSystem: config.fileSystem, Dir: config.DataFolder, Group: config.GroupID}
	disk, err := replica.OpenDisk(options)
	if err == nil || !config.Join || !isDataLoss(err) {
		return disk, errors.Wrap(err, "control: data folder")
	}
	if !othersHaveLeader(ctx, config) {
		return nil, errors.Wrap(err, "control: data folder; not emptied, since the others have no leader")
	}
	event.ControlDiskDiscarded.Log(logger, "err", err)
	if err := replica.DiscardDisk(config.fileSystem, config.DataFolder); err != nil {
		return nil, errors.Wrap(err, "control: discard data folder")
	}
	disk, err = replica.OpenDisk(options)
	return disk, errors.Wrap(err, "control: data folder")
}

func isDataLoss(err error) bool {
	return errors.Is(err, wal.ErrLostLog) || errors.Is(err, wal.ErrCorrupt) || errors.Is(err, snap.ErrDamaged)
}

// othersHaveLeader reports whether any other configured member leads now, or
// follows a leader: the one that leads need not be among those configured.
func othersHaveLeader(ctx context.Context, config Config) bool {
	return slices.ContainsFunc(config.Members, func(configured Member) bool {
		return configured.Name != config.Name && knowsLeader(ctx, config, configured)
	})
}

func knowsLeader(ctx context.Context, config Config, configured Member) bool {
	ctx, cancel := context.WithTimeout(ctx, config.Durations.Election)
	defer cancel()
	self, err := fetchMemberStatus(ctx, configured.OperatorAddress)
	return err == nil && self.Leader != uint64(raft.None)
}

// removalCheckElections is for how many election timeouts a member that still counts
// itself must know no leader before it asks whether it was removed.
const removalCheckElections = 5

// signalRemoved has the member end as one that was removed.
func (m *member) signalRemoved() {
	select {
	case m.removed <- struct{}{}:
	default:
	}
}

// watchRemoval notes when the group has removed this member. A removed member
// hears from no leader from then on and would otherwise wait for ever.
//
// It asks to be taken in: that reaches the leader through any member, changes
// nothing for one that still counts, and is refused for good only once the
// removal is committed. So no disk is given up that a quorum may need.
func (m *member) watchRemoval(ctx context.Context) {
	suspect := 0
	for pause.For(ctx, m.config.Durations.Election) {
		status := m.replica.Status()
		switch {
		case len(status.Configuration.Voters) == 0:
			suspect = 0 // has yet to join
			continue
		case !slices.Contains(allMembers(status.Configuration), status.ID):
			// The log of a member that was there ends with its removal.
		case status.Leader != raft.None:
			suspect = 0
			continue
		default:
			// The log of one that was away still counts it.
			if suspect++; suspect%removalCheckElections != 0 {
				continue
			}
		}
		if client, err := m.joinClient(); err == nil && isRemovedError(m.requestJoin(ctx, client)) {
			m.signalRemoved()
			return
		}
	}
}

// finishRemoved empties the data folder of a member that was removed, if it is to
// join again; the next start then draws a new identity.
func (m *member) finishRemoved() error {
	event.ControlRemoved.Log(m.logger, "id", uint64(m.id))
	if !m.config.Join {
		return ErrRemoved
	}
	if err := replica.DiscardDisk(m.config.fileSystem, m.config.DataFolder); err != nil {
		return errors.Wrap(err, "control: discard data folder")
	}
	return ErrRemoved
}
