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

// bootstrapper decides how a member with an empty data directory takes part in the group.
//
// A group is bootstrapped only when every configured member replies and none holds a group's log,
// so that a member that lost its disk cannot bootstrap a second group beside the one it belonged
// to. While any other member holds a log, this one takes part under the identity generated for its
// new data directory: as an initial voter if the others count it as one, and otherwise as a
// learner. Its old identity is never used again, so it cannot vote twice in a term.
type bootstrapper struct {
	config    Config
	self      raft.MemberID
	addresses *addressBook
	logger    log.Logger
}

// bootstrapRetryInterval is the pause between two rounds of probes.
const bootstrapRetryInterval = 100 * time.Millisecond

// configuration returns the initial configuration, which is empty for a member that has to join.
// Its only error is that of ctx.
func (b *bootstrapper) configuration(ctx context.Context) (raft.Configuration, error) {
	if b.config.Bootstrap && !b.groupExists(ctx) {
		return raft.Configuration{Voters: []raft.MemberID{b.self}}, nil
	}
	if b.config.Join {
		return raft.Configuration{}, nil
	}
	for {
		configuration, decided := b.probeMembers(ctx)
		if decided {
			return configuration, nil
		}
		if !pause.Sleep(ctx, bootstrapRetryInterval) {
			return raft.Configuration{}, ctx.Err()
		}
	}
}

// groupExists reports whether another configured member belongs to a group, that is, knows voters:
// a member that still waits to be added knows none. Since Bootstrap is set on one member only, that
// member bootstrapped the group before and has lost its disk since.
func (b *bootstrapper) groupExists(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, b.config.Durations.Election)
	defer cancel()
	return slices.ContainsFunc(b.config.Members, func(configured Member) bool {
		if configured.Name == b.config.Name {
			return false
		}
		self, err := fetchMemberStatus(ctx, configured.OperatorAddress)
		return err == nil && len(self.Voters) > 0
	})
}

// probeMembers probes every other configured member once. It returns false if the configuration
// cannot be decided yet, because a member did not reply.
func (b *bootstrapper) probeMembers(ctx context.Context) (raft.Configuration, bool) {
	voters := []raft.MemberID{b.self}
	for _, configured := range b.config.Members {
		if configured.Name == b.config.Name {
			continue
		}
		identity, err := b.addresses.probe(ctx, configured)
		if err != nil {
			b.logIfWrongGroup(configured, err)
			continue
		}
		if identity.Initialized {
			return b.adoptConfiguration(ctx, configured)
		}
		voters = append(voters, identity.Member)
	}
	if len(voters) < len(b.config.Members) {
		return raft.Configuration{}, false
	}
	slices.Sort(voters)
	return raft.Configuration{Voters: voters}, true
}

// logIfWrongGroup logs a failed probe if the member at the address belongs to another group.
func (b *bootstrapper) logIfWrongGroup(configured Member, err error) {
	if errors.Is(err, peer.ErrWrongGroup) {
		event.ControlOtherGroup.Log(b.logger, "member", configured.Name, "address", configured.PeerAddress)
	}
}

// adoptConfiguration asks a member that holds a log for its configuration, and returns false if it
// got none. If this member is one of the voters, the others have just bootstrapped the group with
// it. Otherwise the configuration is empty and this member has to join.
func (b *bootstrapper) adoptConfiguration(ctx context.Context, configured Member) (raft.Configuration, bool) {
	ctx, cancel := context.WithTimeout(ctx, b.config.Durations.Election)
	defer cancel()
	self, err := fetchMemberStatus(ctx, configured.OperatorAddress)
	if err != nil {
		return raft.Configuration{}, false
	}
	configuration := raft.Configuration{Voters: memberIDs(self.Voters), Learners: memberIDs(self.Learners)}
	if slices.Contains(configuration.Voters, b.self) {
		return configuration, true
	}
	event.ControlJoins.Log(b.logger, "id", uint64(b.self), "known_by", configured.Name)
	return raft.Configuration{}, true
}

func memberIDs(members []operatorapi.MemberID) []raft.MemberID {
	ids := make([]raft.MemberID, len(members))
	for i := range members {
		ids[i] = raft.MemberID(members[i])
	}
	return ids
}

// joinRetryInterval is the pause between two requests to join.
const joinRetryInterval = 250 * time.Millisecond

// join asks the group to add this member until it is a member. It returns at once if no other
// members are known.
func (m *member) join(ctx context.Context) {
	client, err := m.joinClient()
	if err != nil {
		return // there are no other members
	}
	for !m.isMember() {
		err := m.requestJoin(ctx, client)
		if err != nil && ctx.Err() == nil {
			event.ControlJoinDelayed.Log(m.logger, "err", err)
		}
		if isRemovedError(err) && len(m.replica.Status().Configuration.Voters) == 0 {
			m.signalRemoved() // it never joined: its data directory holds only the identity
			return
		}
		if !pause.Sleep(ctx, joinRetryInterval) {
			return
		}
	}
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

// joinClient returns a client for the other members that are known so far.
func (m *member) joinClient() (*operator.Client, error) {
	return operator.New(operator.Config{Members: m.otherOperatorAddresses(), AttemptTimeout: m.config.Durations.Proposal})
}

func (m *member) requestJoin(ctx context.Context, client *operator.Client) error {
	own := m.config.selfMember(m.id)
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

// otherOperatorAddresses returns the operator addresses of the other members, as far as they are
// known from the configuration or the replicated state.
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
