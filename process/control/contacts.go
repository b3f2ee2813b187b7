package control

import (
	"slices"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/version/state"
)

// contactSource says where the address of another member is known from.
type contactSource string

const (
	sourceSettings     contactSource = "settings"
	sourceState        contactSource = "state"
	sourceEarlierState contactSource = "earlier state"
)

// contact is another member that can be asked about the group.
type contact struct {
	name    string
	address string // of its operator API
	source  contactSource
}

// contactList knows which other members can be asked about the group while this member has no replicated
// state. It lives as long as the process: a member whose identity was removed starts anew without state, and
// by then the members that the settings listed at its start may all be gone.
type contactList struct {
	name    string // of this member, which is never listed
	initial []Member
	current func() []Member

	lock         sync.Mutex
	remembered   []state.Member
	rememberedAt time.Duration // monotonic
}

func newContactList(config Config) *contactList {
	return &contactList{name: config.Name, initial: config.Members, current: config.CurrentMembers}
}

// configured returns the other members that the settings list now.
func (l *contactList) configured() []Member {
	listed := l.initial
	if l.current != nil {
		listed = l.current()
	}
	return slices.DeleteFunc(slices.Clone(listed), func(member Member) bool { return member.Name == l.name })
}

// remember keeps the members that the replicated state recorded last, for use without any state.
func (l *contactList) remember(members []state.Member) {
	if len(members) == 0 {
		return // this identity never received any state
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	l.remembered, l.rememberedAt = members, monotonic()
}

// earlier returns the members that an earlier identity of this process knew, and how long ago.
func (l *contactList) earlier() (members []state.Member, age time.Duration) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.remembered, monotonic() - l.rememberedAt
}

// contacts returns the other members that can be asked, each address once. The settings come first: where
// they change while the process runs, they are the newest source.
func (m *member) contacts() []contact {
	var contacts []contact
	add := func(name, address string, source contactSource) {
		isListed := slices.ContainsFunc(contacts, func(other contact) bool { return other.address == address })
		if address != "" && name != m.config.Name && !isListed {
			contacts = append(contacts, contact{name: name, address: address, source: source})
		}
	}
	for _, configured := range m.config.contacts.configured() {
		add(configured.Name, configured.OperatorAddress, sourceSettings)
	}
	recorded, source := m.recordedMembers()
	for _, member := range recorded {
		add(member.Name, member.OperatorAddress, source)
	}
	return contacts
}

// recordedMembers returns the members that the replicated state records, or, without any state, those that it
// recorded for an earlier identity.
func (m *member) recordedMembers() ([]state.Member, contactSource) {
	if recorded := m.machine.members(); len(recorded) > 0 {
		return recorded, sourceState
	}
	earlier, _ := m.config.contacts.earlier()
	return earlier, sourceEarlierState
}
