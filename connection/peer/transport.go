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

// Default values of Config.
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
	DefaultPongTimeout      = 2 * time.Second
	DefaultMinBackoff       = 20 * time.Millisecond
	// DefaultMaxBackoff limits how long it takes to reconnect to a member that is back: a
	// quarter of the default election timeout.
	DefaultMaxBackoff = 250 * time.Millisecond
)

// EventKind is the type of a connection event.
type EventKind uint8

// Types of connection events.
const (
	EventConnected    EventKind = iota + 1 // an outgoing connection was established
	EventDisconnected                      // an outgoing connection ended or could not be established
	EventRefused                           // the remote end refused the handshake or violated the protocol
	EventRejected                          // an incoming connection was refused; Member may be None
)

// Event is a connection event, meant to be logged. Err is nil for EventConnected.
type Event struct {
	Kind    EventKind
	Member  raft.MemberID
	Address string
	Err     error
}

// Config configures a Transport. Zero limits and durations select the defaults.
type Config struct {
	Group    uint64
	ID       raft.MemberID
	Listener net.Listener // closed by Transport.Close

	QueueMessages    int    // maximum number of messages queued per connection
	QueueBytes       int    // maximum approximate size of the messages queued per connection
	MaxMessageBytes  uint32 // the receiver rejects larger messages
	MaxSnapshotBytes int    // the receiver rejects larger snapshots; the final chunk is not counted
	MaxConnections   int    // maximum number of concurrent incoming connections

	// ConnectTimeout limits one attempt to connect. It is short, because a machine without
	// power does not respond, and if it comes up during an attempt, whose first packet (SYN)
	// is lost, only the next attempt reaches it. It must be longer than a round trip.
	ConnectTimeout   time.Duration
	HandshakeTimeout time.Duration // limits reading each handshake frame
	WriteTimeout     time.Duration // limits each write to a connection
	PingInterval     time.Duration
	PongTimeout      time.Duration // a connection is closed after PingInterval + PongTimeout without a pong or ping
	MinBackoff       time.Duration // first step of the delay before a reconnection; it doubles
	MaxBackoff       time.Duration // largest step of that delay

	// Initialized tells probes whether this member has a group's log; nil means that
	// it has none.
	Initialized func() bool
	// OnEvent is called with connection events. It must not block and may be nil.
	OnEvent func(Event)
	// OnNotice is called with each notice from another member. It must not block and may
	// be nil.
	OnNotice func(from raft.MemberID, payload []byte)
	// Dial opens a connection. Nil selects a plain TCP dial.
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
	c.PongTimeout = cmp.Or(c.PongTimeout, DefaultPongTimeout)
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

// Stats counts messages and notices since New.
type Stats struct {
	Sent uint64 // written to a connection
	// Dropped counts what a full queue dropped, messages to an unknown receiver, and messages
	// left when a write failed. It does not count notices to an unknown receiver, notices
	// lost with a connection, or messages lost in a failed flush.
	Dropped  uint64
	Received uint64
}

type counters struct{ sent, dropped, received atomic.Uint64 }

// Transport sends messages to and receives messages from the peers of one member.
type Transport struct {
	config     Config
	receive    func(raft.Message)
	context    context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	count      counters

	linkMutex sync.RWMutex
	links     map[raft.MemberID]*link
	closed    bool

	inboundMutex sync.Mutex
	inbound      map[net.Conn]inbound
	accepted     uint64 // number of connections accepted so far
}

// New starts a Transport that accepts connections on the listener and passes each
// received message to receive, which is called concurrently and must not block.
func New(config Config, receive func(raft.Message)) (*Transport, error) {
	config.setDefaults()
	if config.ID == raft.None || config.Listener == nil {
		return nil, errors.New("peer: Config requires ID and Listener")
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
	t.goroutines.Go(t.accept)
	return t, nil
}

// Address returns the address that the Transport accepts connections on.
func (t *Transport) Address() net.Addr { return t.config.Listener.Addr() }

// Stats returns the current message counts.
func (t *Transport) Stats() Stats {
	return Stats{
		Sent:     t.count.sent.Load(),
		Dropped:  t.count.dropped.Load(),
		Received: t.count.received.Load(),
	}
}

// SetPeers replaces the addresses of the peers. Messages to other members are dropped. An
// entry for the member itself is ignored.
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

// Send queues the messages for their receivers without blocking. The entries and snapshots
// of the messages must not be modified afterwards.
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

// Notify queues a notice for each peer without blocking. The payload must not be modified
// afterwards.
func (t *Transport) Notify(payload []byte) {
	t.linkMutex.RLock()
	defer t.linkMutex.RUnlock()
	for _, current := range t.links {
		current.messages.putNotice(payload)
	}
}

// NotifyOne is like Notify for a single peer. A notice to an unknown member is dropped.
func (t *Transport) NotifyOne(payload []byte, member raft.MemberID) {
	t.linkMutex.RLock()
	defer t.linkMutex.RUnlock()
	if current := t.links[member]; current != nil {
		current.messages.putNotice(payload)
	}
}

// Close closes all connections and waits for the Transport's goroutines. The receive
// function is not called after Close has returned.
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
	t.goroutines.Wait()
	return errors.WithStack(err)
}
