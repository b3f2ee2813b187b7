package control

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/connection/peer"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/process/raft"
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
	return slices.ContainsFunc(b.config.contacts.configured(), func(configured Member) bool {
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
