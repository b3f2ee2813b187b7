package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/raft"
)

// removeUnreachable removes the voter that has been unreachable for the longest time, once
// removalDelay has passed and if the group does not need it. Then a replacement has joined, and the
// lost voter only makes quorums harder to reach. The quorums of the configurations before and after
// share a member, as in every change of a single voter.
func (d *leaderTasks) removeUnreachable(ctx context.Context, term *termState, status raft.Status) {
	now := monotonic()
	term.updateUnreachable(status, now)
	voters := status.Configuration.Voters
	lost, away := term.longestUnreachable(status, now)
	if lost == raft.None || !d.group.hasSurplus(voters) || away < d.group.removalDelay(len(voters), len(term.unreachableSince)) {
		return
	}
	member := d.group.memberByID(lost)
	member.ID = uint64(lost)
	if d.group.removeSurplus(ctx, member) == nil {
		event.MemberRemoved.Log(d.logger, "id", member.ID, "member", member.Name, "away", away)
	}
}

// removalDelay returns how long a voter must have been unreachable to be removed. Usually that is
// MemberSilence. It is an election timeout if the tolerated losses, on top of the voters that are
// unreachable, would leave no quorum: without one, the group cannot even replace its members.
func (g *group) removalDelay(voters, unreachable int) time.Duration {
	quorum := voters/2 + 1
	if voters-unreachable-g.config.ToleratedLosses < quorum {
		return min(g.config.Durations.Election, g.config.Durations.MemberSilence)
	}
	return g.config.Durations.MemberSilence
}

// updateUnreachable records since when each voter has been unreachable.
func (t *termState) updateUnreachable(status raft.Status, now time.Duration) {
	maps.DeleteFunc(t.unreachableSince, func(id raft.MemberID, _ time.Duration) bool {
		return isActive(status, id) || !slices.Contains(status.Configuration.Voters, id)
	})
	for _, voter := range status.Configuration.Voters {
		if _, known := t.unreachableSince[voter]; !known && !isActive(status, voter) {
			t.unreachableSince[voter] = now
		}
	}
}

// longestUnreachable returns the voter that has been unreachable for the longest time, and for how
// long. It returns none and 0 if all voters are active.
func (t *termState) longestUnreachable(status raft.Status, now time.Duration) (lost raft.MemberID, away time.Duration) {
	for _, voter := range status.Configuration.Voters {
		since, isAway := t.unreachableSince[voter]
		if isAway && (lost == raft.None || now-since > away) {
			lost, away = voter, now-since
		}
	}
	return lost, away
}
