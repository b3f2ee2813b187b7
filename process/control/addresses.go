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

// addressBook knows where the members are: from the replicated state, and from
// asking at the configured addresses, which is all that a member knows before
// it has heard of the state.
type addressBook struct {
	config    Config
	self      raft.MemberID
	transport *peer.Transport

	lock      sync.Mutex
	asked     map[raft.MemberID]state.Member // found at the configured addresses
	committed map[raft.MemberID]state.Member
}

func newAddressBook(config Config, self raft.MemberID, transport *peer.Transport) *addressBook {
	return &addressBook{
		config:    config,
		self:      self,
		transport: transport,
		asked:     map[raft.MemberID]state.Member{},
		committed: map[raft.MemberID]state.Member{},
	}
}

// setCommitted replaces what is known from the replicated state.
func (b *addressBook) setCommitted(members []state.Member) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.committed = map[raft.MemberID]state.Member{}
	for _, member := range members {
		b.committed[raft.MemberID(member.ID)] = member
	}
	b.updatePeers()
}

// add keeps a member that was found at a configured address, or that asked to join.
func (b *addressBook) add(member state.Member) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.asked[raft.MemberID(member.ID)] = member
	b.updatePeers()
}

// updatePeers hands the addresses to the transport; the lock is held.
func (b *addressBook) updatePeers() {
	peers := map[raft.MemberID]string{}
	for id, member := range b.known() {
		peers[id] = member.PeerAddress
	}
	b.transport.SetPeers(peers)
}

// known merges both sources, the state's word over the other; the lock is held.
func (b *addressBook) known() map[raft.MemberID]state.Member {
	known := maps.Clone(b.asked)
	maps.Copy(known, b.committed)
	return known
}

// find returns what is known of a member.
func (b *addressBook) find(id raft.MemberID) (state.Member, bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	member, found := b.known()[id]
	return member, found
}

// unprobedMembers returns the configured members at whose addresses no member is known.
func (b *addressBook) unprobedMembers() []Member {
	b.lock.Lock()
	defer b.lock.Unlock()
	var open []Member
	for _, configured := range b.config.Members {
		if configured.Name != b.config.Name && !b.knowsAddress(configured.PeerAddress) {
			open = append(open, configured)
		}
	}
	return open
}

func (b *addressBook) knowsAddress(address string) bool {
	for _, member := range b.known() {
		if member.PeerAddress == address {
			return true
		}
	}
	return false
}

// ask asks who is at the configured member's address and keeps the answer.
func (b *addressBook) ask(ctx context.Context, configured Member) (peer.Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, b.config.Durations.Election)
	defer cancel()
	identity, err := peer.Probe(ctx, configured.PeerAddress, b.config.GroupID)
	if err != nil {
		return identity, err
	}
	b.add(configured.member(identity.Member))
	return identity, nil
}

// member returns what the state keeps of a configured member.
func (m Member) member(id raft.MemberID) state.Member {
	return state.Member{
		ID:              uint64(id),
		Name:            m.Name,
		PeerAddress:     m.PeerAddress,
		FeedAddress:     m.FeedAddress,
		OperatorAddress: m.OperatorAddress,
	}
}

// own returns what the state keeps of this member.
func (c Config) own(id raft.MemberID) state.Member {
	index := slices.IndexFunc(c.Members, func(member Member) bool { return member.Name == c.Name })
	if index < 0 {
		return state.Member{ID: uint64(id), Name: c.Name}
	}
	return c.Members[index].member(id)
}
