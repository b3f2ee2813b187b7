package control

import (
	"context"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/process/replica"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/pkg/errors"
)

const (
	// leaveTimeout bounds how long a stop waits for the group to remove the member. It covers an
	// election, since the leader may stop at the same time.
	leaveTimeout = 2 * time.Second
	// leaveRetryInterval is the pause before a member asks again that the group could not remove at
	// that moment.
	leaveRetryInterval = 20 * time.Millisecond
)

// leaveGroup asks the group to remove this member, which stops as planned and may never return: a
// voter that is gone but still counted makes quorums harder to reach. It reports whether the member
// was removed. Members that the group needs, and those that could not rejoin by themselves, stay.
func (m *member) leaveGroup() bool {
	voters := m.replica.Status().Configuration.Voters
	if !m.config.Join || !slices.Contains(voters, m.id) || !m.group.Load().hasSurplus(voters) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	for {
		err := m.requestLeave(ctx, voters)
		if err == nil {
			event.ControlLeft.Log(m.logger, "id", uint64(m.id))
			return true
		}
		if errors.Is(err, errNoContacts) {
			return false
		}
		isFinal := isMembershipRefusal(err) && !isRetryableChange(err)
		if isFinal || !pause.Sleep(ctx, leaveRetryInterval) {
			event.ControlStays.Log(m.logger, "id", uint64(m.id), "err", err)
			return false
		}
	}
}

// requestLeave asks the contacts in turn to remove this member, one of the given voters, until one of them replies
// as a member of the group.
func (m *member) requestLeave(ctx context.Context, voters []raft.MemberID) error {
	_, err := m.askContacts(ctx, func(asked contact) (operatorapi.MemberReply, error) {
		return m.requestLeaveAt(ctx, asked, voters)
	})
	return err
}

// requestLeaveAt sends one request to leave to a member, which passes it on to the leader. Another server, or a
// member of another group, may use the address by now: only a reply that lists another voter of this group, and
// not this member, shows that the group has removed it.
func (m *member) requestLeaveAt(ctx context.Context, asked contact, voters []raft.MemberID) (operatorapi.MemberReply, error) {
	reply, err := m.changeMembersAt(ctx, asked, operatorapi.MemberRequest{Action: operatorapi.MemberLeave, ID: operatorapi.MemberID(m.id)})
	if err != nil {
		return reply, err
	}
	isOtherVoter := func(listed operatorapi.Member) bool { return slices.Contains(voters, raft.MemberID(listed.ID)) }
	isOwn := func(listed operatorapi.Member) bool { return raft.MemberID(listed.ID) == m.id }
	if slices.ContainsFunc(reply.Members, isOwn) || !slices.ContainsFunc(reply.Members, isOtherVoter) {
		return reply, errUnknownGroup
	}
	return reply, nil
}

// isRetryableChange reports whether the group refused a change for now only, such as during another
// change.
func isRetryableChange(err error) bool {
	var refused *operator.RefusedError
	return errors.As(err, &refused) && refused.Body.Code == operatorapi.ErrorRefused
}

// leave removes a member at its own request. It fails with errMemberNeeded if the group needs it.
// It is idempotent.
func (g *group) leave(ctx context.Context, id raft.MemberID) error {
	member := g.memberByID(id)
	if member.ID == 0 {
		member = state.Member{ID: uint64(id)}
	}
	return g.removeSurplus(ctx, member)
}

// discardData empties the data directory of an identity that the group has removed, so that the next
// start joins the group under a new one.
func (m *member) discardData() error {
	err := replica.DiscardDisk(m.config.fileSystem, m.config.DataFolder)
	return errors.Wrap(err, "control: discard data directory")
}
