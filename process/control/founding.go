package control

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/operator"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/connection/peer"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/pkg/errors"
)

// entry decides how a member with an empty data folder comes into the group.
//
// A group is founded only when every configured member answers and none holds a
// group's log, so that a member which lost its disk cannot found a second group
// beside the one that it belonged to. As long as another member holds a log,
// this one takes part under the identity drawn for its new folder: as a founding
// voter if the others count it as one, and otherwise as a learner. Its old
// identity is never used again, so it cannot vote twice in a term.
type entry struct {
	config    Config
	self      raft.MemberID
	addresses *addressBook
	logger    log.Logger
}

// bootstrapRetryInterval is the wait between two rounds of questions.
const bootstrapRetryInterval = 100 * time.Millisecond

// configuration returns the configuration to start with; it is empty for a
// member that has to join. The error is that of ctx.
func (e *entry) configuration(ctx context.Context) (raft.Configuration, error) {
	if e.config.Found && !e.groupExists(ctx) {
		return raft.Configuration{Voters: []raft.MemberID{e.self}}, nil
	}
	if e.config.Join {
		return raft.Configuration{}, nil
	}
	for {
		configuration, decided := e.round(ctx)
		if decided {
			return configuration, nil
		}
		if !pause.For(ctx, bootstrapRetryInterval) {
			return raft.Configuration{}, ctx.Err()
		}
	}
}

// groupExists reports whether another configured member belongs to a group: then
// this one has founded it before, and was emptied since. One that waits to be
// taken in knows no voters.
func (e *entry) groupExists(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, e.config.Durations.Election)
	defer cancel()
	return slices.ContainsFunc(e.config.Members, func(configured Member) bool {
		if configured.Name == e.config.Name {
			return false
		}
		self, err := fetchMemberStatus(ctx, configured.OperatorAddress)
		return err == nil && len(self.Voters) > 0
	})
}

// round asks every other configured member once.
func (e *entry) round(ctx context.Context) (raft.Configuration, bool) {
	voters := []raft.MemberID{e.self}
	for _, configured := range e.config.Members {
		if configured.Name == e.config.Name {
			continue
		}
		identity, err := e.addresses.ask(ctx, configured)
		if err != nil {
			e.complain(configured, err)
			continue
		}
		if identity.Initialized {
			return e.follow(ctx, configured)
		}
		voters = append(voters, identity.Member)
	}
	if len(voters) < len(e.config.Members) {
		return raft.Configuration{}, false
	}
	slices.Sort(voters)
	return raft.Configuration{Voters: voters}, true
}

func (e *entry) complain(configured Member, err error) {
	if errors.Is(err, peer.ErrWrongGroup) {
		event.ControlOtherGroup.Log(e.logger, "member", configured.Name, "address", configured.PeerAddress)
	}
}

// follow asks a member that holds a log for its configuration. If this member
// is a voter of it, the others founded the group with it a moment ago.
func (e *entry) follow(ctx context.Context, configured Member) (raft.Configuration, bool) {
	ctx, cancel := context.WithTimeout(ctx, e.config.Durations.Election)
	defer cancel()
	self, err := fetchMemberStatus(ctx, configured.OperatorAddress)
	if err != nil {
		return raft.Configuration{}, false
	}
	configuration := raft.Configuration{Voters: memberIDs(self.Voters), Learners: memberIDs(self.Learners)}
	if slices.Contains(configuration.Voters, e.self) {
		return configuration, true
	}
	event.ControlJoins.Log(e.logger, "id", uint64(e.self), "known_by", configured.Name)
	return raft.Configuration{}, true
}

func memberIDs(given []operatorapi.MemberID) []raft.MemberID {
	ids := make([]raft.MemberID, len(given))
	for i := range given {
		ids[i] = raft.MemberID(given[i])
	}
	return ids
}

// joinRetryInterval is the wait between two requests to be taken in.
const joinRetryInterval = 250 * time.Millisecond

// join asks the group to take this member in, until it is a member.
func (m *member) join(ctx context.Context) {
	client, err := m.joinClient()
	if err != nil {
		return // there is no other member to ask
	}
	for !m.isMember() {
		err := m.requestJoin(ctx, client)
		if err != nil && ctx.Err() == nil {
			event.ControlJoinDelayed.Log(m.logger, "err", err)
		}
		if isRemovedError(err) && len(m.replica.Status().Configuration.Voters) == 0 {
			m.signalRemoved() // it never joined: its folder holds nothing but the identity
			return
		}
		if !pause.For(ctx, joinRetryInterval) {
			return
		}
	}
}

// isRemovedError reports whether the group has refused an identity that it removed.
func isRemovedError(err error) bool {
	var refused *operator.RefusedError
	return errors.As(err, &refused) && refused.Body.Code == operatorapi.ErrorRemoved
}

// isMember reports whether the member has received a committed configuration
// with itself in it. One that is not committed may be lost with its leader.
func (m *member) isMember() bool {
	status := m.replica.Status()
	return !status.ConfigurationPending && slices.Contains(allMembers(status.Configuration), m.id)
}

// joinClient asks the other members that are known by now.
func (m *member) joinClient() (*operator.Client, error) {
	return operator.New(operator.Config{Members: m.otherOperatorAddresses(), AttemptTimeout: m.config.Durations.Proposal})
}

func (m *member) requestJoin(ctx context.Context, client *operator.Client) error {
	own := m.config.own(m.id)
	reply, err := client.ChangeMembers(ctx, operatorapi.MemberRequest{
		Action:          operatorapi.MemberAdd,
		ID:              operatorapi.MemberID(own.ID),
		Name:            own.Name,
		PeerAddress:     own.PeerAddress,
		FeedAddress:     own.FeedAddress,
		OperatorAddress: own.OperatorAddress,
	})
	if err != nil {
		return err
	}
	m.addAddresses(reply.Members)
	return nil
}

// addAddresses keeps where the members are. A member that joins has no state to
// tell it, and the leader, to whom it must answer before it gets any, need not be
// one of those that its settings name.
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

// otherOperatorAddresses returns where the other members take requests, as far as the
// settings or the group's state tell.
func (m *member) otherOperatorAddresses() []string {
	var addresses []string
	add := func(address string) {
		if address != "" && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	for _, configured := range m.config.Members {
		if configured.Name != m.config.Name {
			add(configured.OperatorAddress)
		}
	}
	for _, recorded := range m.machine.members() {
		if recorded.Name != m.config.Name {
			add(recorded.OperatorAddress)
		}
	}
	return addresses
}
