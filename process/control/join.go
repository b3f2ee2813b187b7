package control

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/pkg/errors"
)

const (
	// minJoinPause is the pause after the first round of requests to join. It doubles with each round up to
	// joinRetryInterval.
	minJoinPause      = 50 * time.Millisecond
	joinRetryInterval = 250 * time.Millisecond
	// joinLogInterval is the least time between two log lines about a delayed join.
	joinLogInterval = 2 * time.Second
)

var (
	// errNoContacts means that this member knows no other member.
	errNoContacts = errors.New("control: no other member is known")
	// errNotListed means that the reply to a request to join does not list this member, so that it does not
	// come from a member of the group.
	errNotListed = errors.New("control: the reply does not list this member")
	// errUnknownGroup means that no member, or one of another group, uses an address from the replicated state.
	errUnknownGroup = errors.New("control: no member of the recorded group")
)

// join asks the group to add this member until it is a member.
func (m *member) join(ctx context.Context) {
	lastLogged, retryPause := -joinLogInterval, minJoinPause
	for !m.isMember() {
		err := m.requestJoin(ctx)
		if isRemovedError(err) && len(m.replica.Status().Configuration.Voters) == 0 {
			m.signalRemoved() // it never joined: its data directory holds only the identity
			return
		}
		isLoggable := err != nil && !errors.Is(err, errNoContacts) && ctx.Err() == nil
		if now := monotonic(); isLoggable && now-lastLogged >= joinLogInterval {
			_, age := m.config.contacts.earlier()
			event.ControlJoinDelayed.Log(m.logger, "earlier_state_age_ms", age.Milliseconds(), "err", err)
			lastLogged = now
		}
		if !pause.Sleep(ctx, retryPause) {
			return
		}
		retryPause = min(2*retryPause, joinRetryInterval)
	}
}

// requestJoin asks the contacts in turn to add this member, until one of them replies as a member of the
// group.
func (m *member) requestJoin(ctx context.Context) error {
	reply, err := m.askContacts(ctx, func(asked contact) (operatorapi.MemberReply, error) {
		return m.requestJoinAt(ctx, asked)
	})
	if err == nil {
		m.addAddresses(reply.Members)
	}
	return err
}

// askContacts asks the contacts in turn, until one of them replies as a member of the group or refuses as one.
// The contacts are determined anew each time, since the settings may change. Any of them may be gone, and another
// server may use its address.
func (m *member) askContacts(ctx context.Context, ask func(contact) (operatorapi.MemberReply, error)) (operatorapi.MemberReply, error) {
	var failures []string
	for _, asked := range m.contacts() {
		reply, err := ask(asked)
		if err == nil || isMembershipRefusal(err) || ctx.Err() != nil {
			return reply, err
		}
		failures = append(failures, fmt.Sprintf("%s %s (%s): %v", asked.name, asked.address, asked.source, err))
	}
	if len(failures) == 0 {
		return operatorapi.MemberReply{}, errNoContacts
	}
	return operatorapi.MemberReply{}, errors.New(strings.Join(failures, "; "))
}

// requestJoinAt sends one request to join to a member, which passes it on to the leader.
func (m *member) requestJoinAt(ctx context.Context, asked contact) (operatorapi.MemberReply, error) {
	if asked.source != sourceSettings && !m.recognizesGroupAt(ctx, asked.address) {
		return operatorapi.MemberReply{}, errUnknownGroup
	}
	own := m.config.selfMember(m.id)
	reply, err := m.changeMembersAt(ctx, asked, operatorapi.MemberRequest{
		Action:          operatorapi.MemberAdd,
		ID:              operatorapi.MemberID(own.ID),
		Name:            own.Name,
		PeerAddress:     own.PeerAddress,
		FeedAddress:     own.FeedAddress,
		OperatorAddress: own.OperatorAddress,
	})
	if err == nil && !slices.ContainsFunc(reply.Members, func(listed operatorapi.Member) bool { return listed.ID == own.ID }) {
		err = errNotListed
	}
	return reply, err
}

// changeMembersAt sends a membership change to one member, once.
func (m *member) changeMembersAt(ctx context.Context, asked contact, change operatorapi.MemberRequest) (operatorapi.MemberReply, error) {
	client, err := operator.New(operator.Config{
		Members:        []string{asked.address},
		AttemptTimeout: m.config.Durations.Proposal,
		MaxRounds:      1,
	})
	if err != nil {
		return operatorapi.MemberReply{}, err
	}
	return client.ChangeMembers(ctx, change)
}

// recognizesGroupAt reports whether the member at the address belongs to a group with a voter that the replicated
// state records, that of this identity or of an earlier one. A member of another group may use the address by now,
// and groups may share their ID.
func (m *member) recognizesGroupAt(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, m.config.Durations.Election)
	defer cancel()
	status, err := fetchMemberStatus(ctx, address)
	if err != nil {
		return false
	}
	recorded, _ := m.recordedMembers()
	return slices.ContainsFunc(recorded, func(known state.Member) bool {
		return slices.Contains(memberIDs(status.Voters), raft.MemberID(known.ID))
	})
}

// isMembershipRefusal reports whether the leader of the group refused a membership change, so that asking
// through another member gives the same result.
func isMembershipRefusal(err error) bool {
	var refused *operator.RefusedError
	if !errors.As(err, &refused) {
		return false
	}
	code := refused.Body.Code
	return code == operatorapi.ErrorRefused || code == operatorapi.ErrorRemoved || code == operatorapi.ErrorNeeded
}

// isRemovedError reports whether the group refused the request because the identity was removed.
func isRemovedError(err error) bool {
	var refused *operator.RefusedError
	return errors.As(err, &refused) && refused.Body.Code == operatorapi.ErrorRemoved
}

// isMember reports whether the member has received a committed configuration that contains it. An
// uncommitted one may be lost together with its leader.
func (m *member) isMember() bool {
	status := m.replica.Status()
	return !status.ConfigurationPending && slices.Contains(allMembers(status.Configuration), m.id)
}

// addAddresses records the addresses of the members. The leader may not be among the configured
// members, and a joining member must know its address to reply to it: the replicated state, which
// contains the address, arrives only after that reply.
func (m *member) addAddresses(members []operatorapi.Member) {
	for _, known := range members {
		if raft.MemberID(known.ID) == m.id || known.PeerAddress == "" {
			continue
		}
		m.addresses.add(state.Member{
			ID:              uint64(known.ID),
			Name:            known.Name,
			PeerAddress:     known.PeerAddress,
			FeedAddress:     known.FeedAddress,
			OperatorAddress: known.OperatorAddress,
		})
	}
}
