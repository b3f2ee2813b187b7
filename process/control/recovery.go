package control

import (
	"context"
	"slices"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
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
	options := replica.DiskOptions{Dir: config.DataFolder, Group: config.GroupID}
	disk, err := replica.OpenDisk(options)
	if err == nil || !config.Join || !isDamage(err) {
		return disk, errors.Wrap(err, "control: data folder")
	}
	if !othersHaveLeader(ctx, config) {
		return nil, errors.Wrap(err, "control: data folder; not emptied, since the others have no leader")
	}
	event.ControlDiskDiscarded.Log(logger, "err", err)
	if err := replica.DiscardDisk(wal.OS{}, config.DataFolder); err != nil {
		return nil, errors.Wrap(err, "control: discard data folder")
	}
	disk, err = replica.OpenDisk(options)
	return disk, errors.Wrap(err, "control: data folder")
}

func isDamage(err error) bool {
	return errors.Is(err, wal.ErrLostLog) || errors.Is(err, wal.ErrCorrupt) || errors.Is(err, snap.ErrDamaged)
}

// othersHaveLeader reports whether any other configured member leads now.
func othersHaveLeader(ctx context.Context, config Config) bool {
	return slices.ContainsFunc(askOthers(ctx, config), func(self operatorapi.MemberSelf) bool {
		return self.Role == operatorapi.MemberLeader
	})
}

// askOthers asks every other configured member for its own status.
func askOthers(ctx context.Context, config Config) []operatorapi.MemberSelf {
	var answers []operatorapi.MemberSelf
	for _, configured := range config.Members {
		if configured.Name == config.Name {
			continue
		}
		asking, cancel := context.WithTimeout(ctx, config.Durations.Election)
		if self, err := askMember(asking, configured.OperatorAddress); err == nil {
			answers = append(answers, self)
		}
		cancel()
	}
	return answers
}

// suspectElections is for how many election timeouts a member must look removed
// before it asks whether it was.
const suspectElections = 5

// noteRemoved has the member end as one that was removed.
func (m *member) noteRemoved() {
	select {
	case m.removed <- struct{}{}:
	default:
	}
}

// watchRemoval notes when the leader of the others does not count this member
// any more. A removed member hears from no leader from then on and would
// otherwise wait for ever.
func (m *member) watchRemoval(ctx context.Context) {
	suspect := 0
	for pause.For(ctx, m.config.Durations.Election) {
		if !looksRemoved(m.replica.Status()) {
			suspect = 0
			continue
		}
		suspect++
		if suspect%suspectElections == 0 && m.wasRemoved(ctx) {
			m.noteRemoved()
			return
		}
	}
}

// looksRemoved reports whether the member's own log says that it may have been
// removed. The log of a member that was away when it was removed still counts
// it, and the member knows no leader. The log of one that was there ends with
// the removal, and the leader that it last heard of stays known, since a member
// outside of the configuration stands for no election.
func looksRemoved(status raft.Status) bool {
	if len(status.Configuration.Voters) == 0 {
		return false // has yet to join
	}
	return status.Leader == raft.None || !slices.Contains(allMembers(status.Configuration), status.ID)
}

func (m *member) wasRemoved(ctx context.Context) bool {
	return slices.ContainsFunc(askOthers(ctx, m.config), func(self operatorapi.MemberSelf) bool {
		id := operatorapi.MemberID(m.id)
		counted := slices.Contains(self.Voters, id) || slices.Contains(self.Learners, id)
		return self.Role == operatorapi.MemberLeader && self.Term >= m.replica.Status().Term && !counted
	})
}

// endRemoved empties the data folder of a member that was removed, if it is to
// join again; the next start then draws a new identity.
func (m *member) endRemoved() error {
	event.ControlRemoved.Log(m.logger, "id", uint64(m.id))
	if !m.config.Join {
		return ErrRemoved
	}
	if err := replica.DiscardDisk(wal.OS{}, m.config.DataFolder); err != nil {
		return errors.Wrap(err, "control: discard data folder")
	}
	return ErrRemoved
}
