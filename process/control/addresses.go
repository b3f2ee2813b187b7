package control

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/landingtrail/landingtrail/connection/peer"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/version/state"
)

// addressBook holds the addresses of the members. They come from the replicated state and from
// probing the configured addresses, which is the only source before a member has received any
// state.
type addressBook struct {
	config    Config
	self      raft.MemberID
	transport *peer.Transport

	lock      sync.Mutex
	probed    map[raft.MemberID]state.Member // found by probing the configured addresses
	committed map[raft.MemberID]state.Member
}

func newAddressBook(config Config, self raft.MemberID, transport *peer.Transport) *addressBook {
	return &addressBook{
		config:    config,
		self:      self,
		transport: transport,
		probed:    map[raft.MemberID]state.Member{},
		committed: map[raft.MemberID]state.Member{},
	}
}

// setCommitted replaces the members known from the replicated state.
func (b *addressBook) setCommitted(members []state.Member) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.committed = map[raft.MemberID]state.Member{}
	for _, member := range members {
		b.committed[raft.MemberID(member.ID)] = member
	}
	b.updatePeers()
}

// add records a member that was found at a configured address or that asked to join.
func (b *addressBook) add(member state.Member) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.probed[raft.MemberID(member.ID)] = member
	b.updatePeers()
}

// updatePeers passes the addresses to the transport. The caller holds the lock.
func (b *addressBook) updatePeers() {
	peers := map[raft.MemberID]string{}
	for id, member := range b.known() {
		peers[id] = member.PeerAddress
	}
	b.transport.SetPeers(peers)
}

// known merges both sources; the replicated state takes precedence. The caller holds the lock.
func (b *addressBook) known() map[raft.MemberID]state.Member {
	known := maps.Clone(b.probed)
	maps.Copy(known, b.committed)
	return known
}

// find returns the record of a member, if there is one.
func (b *addressBook) find(id raft.MemberID) (state.Member, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	member, found := b.known()[id]
	return member, found
}

// membersWithUnknownID returns the other configured members whose member ID is not known yet: no
// known member has their peer address.
func (b *addressBook) membersWithUnknownID() []Member {
	b.lock.Lock()
	defer b.lock.Unlock()
	var unprobed []Member
	for _, configured := range b.config.contacts.configured() {
		if !b.knowsAddress(configured.PeerAddress) {
			unprobed = append(unprobed, configured)
		}
	}
	return unprobed
}

func (b *addressBook) knowsAddress(address string) bool {
	for _, member := range b.known() {
		if member.PeerAddress == address {
			return true
		}
	}
	return false
}

// probe asks for the identity of the member at the configured address and records it.
func (b *addressBook) probe(ctx context.Context, configured Member) (peer.Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, b.config.Durations.Election)
	defer cancel()
	identity, err := peer.Probe(ctx, configured.PeerAddress, b.config.GroupID)
	if err != nil {
		return identity, err
	}
	b.add(configured.toState(identity.Member))
	return identity, nil
}

// toState returns the replicated record of a configured member.
func (m Member) toState(id raft.MemberID) state.Member {
	return state.Member{
		ID:              uint64(id),
		Name:            m.Name,
		PeerAddress:     m.PeerAddress,
		FeedAddress:     m.FeedAddress,
		OperatorAddress: m.OperatorAddress,
	}
}

// selfMember returns the replicated record of this member. The record has no addresses if Members
// does not list this member.
func (c Config) selfMember(id raft.MemberID) state.Member {
	index := slices.IndexFunc(c.Members, func(member Member) bool { return member.Name == c.Name })
	if index < 0 {
		return state.Member{ID: uint64(id), Name: c.Name}
	}
	return c.Members[index].toState(id)
}
