package control

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/peer"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// listeners holds the listening sockets. They are opened first, so that a port in use ends the
// process before it has touched its data.
type listeners struct{ peer, feed, operator net.Listener }

func listen(config Config) (listeners, error) {
	var opened listeners
	targets := []struct {
		listener *net.Listener
		address  string
	}{
		{&opened.peer, config.PeerAddress},
		{&opened.feed, config.FeedAddress},
		{&opened.operator, config.OperatorAddress},
	}
	for _, target := range targets {
		listener, err := net.Listen("tcp", target.address)
		if err != nil {
			opened.close()
			return listeners{}, errors.Wrap(err, "control: listen")
		}
		*target.listener = listener
	}
	return opened, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.peer, l.feed, l.operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// open opens the listening sockets, the data directory and the peer transport.
func open(ctx context.Context, config Config, logger log.Logger) (*member, error) {
	if config.contacts == nil {
		config.contacts = newContactList(config)
	}
	opened, err := listen(config)
	if err != nil {
		return nil, err
	}
	disk, err := openDisk(ctx, config, logger)
	if err != nil {
		opened.close()
		return nil, err
	}
	m := &member{
		removed:   make(chan struct{}, 1),
		config:    config,
		logger:    logger,
		id:        disk.Identity().Member,
		disk:      disk,
		machine:   newMachine(),
		metrics:   newMetrics(),
		listeners: opened,
	}
	m.initialized.Store(!disk.Empty())
	return m, m.openTransport()
}

// openTransport loads the crash evidence and the streams stored on disk, opens the peer transport and
// creates the address book. If it fails, it closes the listeners and the disk.
func (m *member) openTransport() error {
	now, wall := monotonic(), time.Now()
	m.evidence = newEvidence(m.config, m.logger)
	m.evidence.load(now, wall)
	m.streams = newStreamArchive(m.config, m.logger)
	m.streams.load(now, wall)
	transport, err := peer.New(peer.Config{
		Group:       m.config.GroupID,
		ID:          m.id,
		Listener:    m.listeners.peer,
		Initialized: m.initialized.Load,
		OnEvent:     m.handlePeerEvent,
		OnNotice:    m.receiveNotice,
	}, m.receive)
	if err != nil {
		m.listeners.close()
		_ = m.disk.Close()
		return errors.Wrap(err, "control: create peer transport")
	}
	m.transport = transport
	m.evidence.setSender(transport)
	m.streams.setSender(transport)
	m.addresses = newAddressBook(m.config, m.id, transport)
	return nil
}

// receiveNotice passes on a notice of another member.
func (m *member) receiveNotice(from raft.MemberID, payload []byte) {
	if !m.streams.receive(from, payload) {
		m.evidence.receive(from, payload)
	}
}

// handlePeerEvent handles a connection to another member that was established, closed or refused.
func (m *member) handlePeerEvent(peerEvent peer.Event) {
	m.logPeerEvent(peerEvent)
	if peerEvent.Kind == peer.EventConnected {
		m.evidence.sendNotable(peerEvent.Member)
	}
}

// logPeerEvent logs that a connection to another member was established, closed or refused.
func (m *member) logPeerEvent(peerEvent peer.Event) {
	if !m.peers.changed(peerEvent) {
		return
	}
	fields := []any{"id", uint64(peerEvent.Member), "address", peerEvent.Address}
	switch peerEvent.Kind {
	case peer.EventConnected:
		event.PeerConnected.Log(m.logger, fields...)
	case peer.EventDisconnected:
		event.PeerDisconnected.Log(m.logger, append(fields, "err", peerEvent.Err)...)
	default:
		event.PeerRefused.Log(m.logger, append(fields, "err", peerEvent.Err)...)
	}
}

// receive passes a message to the replica. Messages that arrive before the replica has started are
// dropped, which the consensus protocol tolerates.
func (m *member) receive(message raft.Message) {
	if current := m.group.Load(); current != nil {
		current.replica.Receive(message)
	}
}

// peerStates holds the last event of the connections to each member, so that a connection that
// keeps failing is logged only once.
type peerStates struct {
	lock sync.Mutex
	last map[raft.MemberID]peer.EventKind
}

// changed records the event and reports whether it differs from the previous one of the same
// member.
func (s *peerStates) changed(peerEvent peer.Event) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.last == nil {
		s.last = map[raft.MemberID]peer.EventKind{}
	}
	if s.last[peerEvent.Member] == peerEvent.Kind {
		return false
	}
	s.last[peerEvent.Member] = peerEvent.Kind
	return true
}
