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

// listeners are opened before anything else, so that a port in use ends the
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

// open takes the data folder and the ports.
func open(ctx context.Context, config Config, logger log.Logger) (*member, error) {
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

func (m *member) openTransport() error {
	m.evidence = newEvidence(m.config, m.logger)
	m.evidence.load(monotonic(), time.Now())
	transport, err := peer.New(peer.Config{
		Group:       m.config.GroupID,
		ID:          m.id,
		Listener:    m.listeners.peer,
		Initialized: m.initialized.Load,
		OnEvent:     m.handlePeerEvent,
		OnNotice:    m.evidence.receive,
	}, m.receive)
	if err != nil {
		m.listeners.close()
		_ = m.disk.Close()
		return errors.Wrap(err, "control: transport")
	}
	m.transport = transport
	m.evidence.tellOthers(transport)
	m.addresses = newAddressBook(m.config, m.id, transport)
	return nil
}

// handlePeerEvent takes in that a connection to another member came up, ended or was refused.
func (m *member) handlePeerEvent(happened peer.Event) {
	m.logPeerEvent(happened)
	if happened.Kind == peer.EventConnected {
		m.evidence.greet(happened.Member)
	}
}

// logPeerEvent logs that a connection to another member came up, ended or was refused.
func (m *member) logPeerEvent(happened peer.Event) {
	if !m.peers.changed(happened) {
		return
	}
	known := []any{"id", uint64(happened.Member), "address", happened.Address}
	switch happened.Kind {
	case peer.EventConnected:
		event.PeerConnected.Log(m.logger, known...)
	case peer.EventDisconnected:
		event.PeerDisconnected.Log(m.logger, append(known, "err", happened.Err)...)
	default:
		event.PeerRefused.Log(m.logger, append(known, "err", happened.Err)...)
	}
}

// receive hands a message to the replica; before that has started, messages are
// lost, which the agreement protocol bears.
func (m *member) receive(message raft.Message) {
	if current := m.group.Load(); current != nil {
		current.replica.Receive(message)
	}
}

// peerStates keeps what last happened to the connections to each member, so that
// a connection that goes on failing is logged once.
type peerStates struct {
	lock sync.Mutex
	last map[raft.MemberID]peer.EventKind
}

// changed reports whether something else than last time has happened.
func (s *peerStates) changed(happened peer.Event) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.last == nil {
		s.last = map[raft.MemberID]peer.EventKind{}
	}
	if s.last[happened.Member] == happened.Kind {
		return false
	}
	s.last[happened.Member] = happened.Kind
	return true
}
