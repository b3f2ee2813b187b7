package peer

import (
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/pkg/errors"
)

// Defaults of Config.
const (
	DefaultQueueMessages    = 1024
	DefaultQueueBytes       = 16 << 20
	DefaultMaxMessageBytes  = 16 << 20
	DefaultMaxSnapshotBytes = 256 << 20
	DefaultMaxConnections   = 64
	DefaultConnectTimeout   = 250 * time.Millisecond
	DefaultHandshakeTimeout = time.Second
	DefaultWriteTimeout     = 2 * time.Second
	DefaultPingInterval     = 500 * time.Millisecond
	DefaultAnswerTimeout    = 2 * time.Second
	DefaultMinBackoff       = 20 * time.Millisecond
	// DefaultMaxBackoff is how late a member may notice another one that is back: a quarter
	// of the default election timeout.
	DefaultMaxBackoff = 250 * time.Millisecond
)

// EventKind tells what happened to a connection.
type EventKind uint8

// Kinds of events.
const (
	EventConnected    EventKind = iota + 1 // an outgoing connection is up
	EventDisconnected                      // an outgoing connection ended
	EventRefused                           // the other side refused the handshake
	EventRejected                          // an incoming connection was refused; Member may be None
)

// Event tells of a change that an operator may want to see in the log.
type Event struct {
	Kind    EventKind
	Member  raft.MemberID
	Address string
	Err     error
}

// Config holds what a Transport is created with. Zero limits and durations stand
// for the defaults.
type Config struct {
	Group    uint64
	ID       raft.MemberID
	Listener net.Listener // owned by the Transport from New on

	QueueMessages    int    // messages waiting for one peer
	QueueBytes       int    // encoded bytes waiting for one peer
	MaxMessageBytes  uint32 // larger messages are refused by the receiver
	MaxSnapshotBytes int    // larger snapshots are refused by the receiver
	MaxConnections   int    // incoming connections at a time

	// ConnectTimeout bounds one try to connect. A machine without power says nothing, and
	// the first packet to one that comes up meanwhile is lost: what a member is to answer
	// to it waits until the next try. It must be longer than a round trip.
	ConnectTimeout   time.Duration
	HandshakeTimeout time.Duration
	WriteTimeout     time.Duration
	PingInterval     time.Duration
	AnswerTimeout    time.Duration // without an answer for so long the connection is closed
	MinBackoff       time.Duration
	MaxBackoff       time.Duration

	// Initialized tells probes whether this member holds a group's log; nil
	// stands for no.
	Initialized func() bool
	// OnEvent is called with connection events; it must not block. May be nil.
	OnEvent func(Event)
	// OnNotice is called with each notice of another member; it must not block. May be nil.
	OnNotice func(from raft.MemberID, payload []byte)
	// Dial opens a connection; a plain TCP dial when nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

func (c *Config) setDefaults() {
	c.QueueMessages = cmp.Or(c.QueueMessages, DefaultQueueMessages)
	c.QueueBytes = cmp.Or(c.QueueBytes, DefaultQueueBytes)
	c.MaxMessageBytes = cmp.Or(c.MaxMessageBytes, DefaultMaxMessageBytes)
	c.MaxSnapshotBytes = cmp.Or(c.MaxSnapshotBytes, DefaultMaxSnapshotBytes)
	c.MaxConnections = cmp.Or(c.MaxConnections, DefaultMaxConnections)
	c.ConnectTimeout = cmp.Or(c.ConnectTimeout, DefaultConnectTimeout)
	c.HandshakeTimeout = cmp.Or(c.HandshakeTimeout, DefaultHandshakeTimeout)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, DefaultWriteTimeout)
	c.PingInterval = cmp.Or(c.PingInterval, DefaultPingInterval)
	c.AnswerTimeout = cmp.Or(c.AnswerTimeout, DefaultAnswerTimeout)
	c.MinBackoff = cmp.Or(c.MinBackoff, DefaultMinBackoff)
	c.MaxBackoff = cmp.Or(c.MaxBackoff, DefaultMaxBackoff)
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.OnEvent == nil {
		c.OnEvent = func(Event) {}
	}
	if c.OnNotice == nil {
		c.OnNotice = func(raft.MemberID, []byte) {}
	}
	if c.Initialized == nil {
		c.Initialized = func() bool { return false }
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{}
	return dialer.DialContext(ctx, "tcp", address)
}

// Stats counts messages since New.
type Stats struct {
	Sent     uint64 // written to a connection
	Dropped  uint64 // lost by a full queue, a broken connection or an unknown receiver
	Received uint64
}

type counters struct{ sent, dropped, received atomic.Uint64 }

// Transport sends to and receives from the peers of one member.
type Transport struct {
	config  Config
	receive func(raft.Message)
	context context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	count   counters

	linkMutex sync.RWMutex
	links     map[raft.MemberID]*link
	closed    bool

	inboundMutex sync.Mutex
	inbound      map[net.Conn]inbound
	accepted     uint64 // connections so far
}

// New starts a Transport that accepts connections on the listener and hands each
// received message to receive, which is called by several goroutines and must
// not block.
func New(config Config, receive func(raft.Message)) (*Transport, error) {
	config.setDefaults()
	if config.ID == raft.None || config.Listener == nil {
		return nil, errors.New("peer: config needs an ID and a listener")
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		config:  config,
		receive: receive,
		context: ctx,
		cancel:  cancel,
		links:   make(map[raft.MemberID]*link),
		inbound: make(map[net.Conn]inbound),
	}
	t.group.Go(t.accept)
	return t, nil
}

// Address returns the address that the Transport accepts connections on.
func (t *Transport) Address() net.Addr { return t.config.Listener.Addr() }

// Stats returns the counts so far.
func (t *Transport) Stats() Stats {
	return Stats{
		Sent:     t.count.sent.Load(),
		Dropped:  t.count.dropped.Load(),
		Received: t.count.received.Load(),
	}
}

// SetPeers replaces the addresses of the peers. Messages to others are dropped.
// An entry for the member itself is ignored.
func (t *Transport) SetPeers(peers map[raft.MemberID]string) {
	t.linkMutex.Lock()
	defer t.linkMutex.Unlock()
	if t.closed {
		return
	}
	for member, current := range t.links {
		if peers[member] != current.address {
			current.stop()
			delete(t.links, member)
		}
	}
	for member, address := range peers {
		if member == t.config.ID || address == "" || t.links[member] != nil {
			continue
		}
		t.links[member] = newLink(t, member, address)
	}
}

// Send queues the messages for their receivers and returns at once. Entries and
// snapshots of the messages must not be written to afterwards.
func (t *Transport) Send(messages []raft.Message) {
	t.linkMutex.RLock()
	defer t.linkMutex.RUnlock()
	for _, message := range messages {
		current := t.links[message.To]
		if current == nil {
			t.count.dropped.Add(1)
			continue
		}
		current.send(message)
	}
}

// Notify queues a notice for each peer and returns at once. The payload must not be written to
// afterwards.
func (t *Transport) Notify(payload []byte) {
	t.linkMutex.RLock()
	defer t.linkMutex.RUnlock()
	for _, current := range t.links {
		current.messages.notify(payload)
	}
}

// NotifyOne is Notify for one peer alone.
func (t *Transport) NotifyOne(payload []byte, member raft.MemberID) {
	t.linkMutex.RLock()
	defer t.linkMutex.RUnlock()
	if current := t.links[member]; current != nil {
		current.messages.notify(payload)
	}
}

// Close ends all connections and waits for the Transport's goroutines. Receive is
// not called after Close has returned.
func (t *Transport) Close() error {
	t.cancel()
	t.linkMutex.Lock()
	t.closed = true
	for member, current := range t.links {
		current.stop()
		delete(t.links, member)
	}
	t.linkMutex.Unlock()
	err := t.config.Listener.Close()
	t.closeInbound()
	t.group.Wait()
	return errors.WithStack(err)
}
