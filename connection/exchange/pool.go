// Package exchange sends HTTP/1.1 requests with exact control over the bytes: method,
// target and body reach the server exactly as given, each request is written at most
// once, a response counts as complete only if its framing says so, and a response is
// accepted only if it carries the ID of its request.
//
// It uses http.ReadResponse but not http.Transport, which retries requests by itself,
// adds header fields, and may take bytes that follow one response for the beginning
// of the next.
package exchange

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/process/clock"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Config configures a Pool. Zero values select the defaults.
type Config struct {
	// DialTimeout limits opening a connection.
	DialTimeout time.Duration
	// Dial opens a connection to an address, an IP and port, in place of the system's dialer;
	// DialTimeout and keep-alive probes are then up to it. nil selects the system's dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// UserTimeout is how long sent data may remain unacknowledged by the remote
	// host before the connection is closed (TCP_USER_TIMEOUT). It also decides, in place of
	// their count, when unanswered keep-alive probes close the connection. Probes are sent
	// each second, so a silence of two seconds costs no connection if this is above three.
	UserTimeout time.Duration
	// IdleTimeout limits how long an idle connection is kept. If the server announces
	// a keep-alive timeout, that timeout less IdleMargin is a limit as well; the smaller
	// one applies.
	IdleTimeout time.Duration
	// IdleMargin covers the time that a request takes to reach the server, so that it does
	// not arrive after the server has closed the idle connection.
	IdleMargin time.Duration
	// MaxIdle limits the number of idle connections per address.
	MaxIdle int
	// MaxHeaderBytes limits the header size of a response, including the informational
	// responses before it.
	MaxHeaderBytes int64
	// Clock is a monotonic clock that also advances while the machine is suspended.
	Clock func() time.Duration
}

// Default values of Config.
const (
	DefaultDialTimeout    = 500 * time.Millisecond
	DefaultUserTimeout    = 3200 * time.Millisecond
	DefaultIdleTimeout    = 10 * time.Second
	DefaultIdleMargin     = 700 * time.Millisecond
	DefaultMaxIdle        = 16
	DefaultMaxHeaderBytes = 64 << 10
)

func (c Config) withDefaults() Config {
	defaults := Config{
		DialTimeout:    DefaultDialTimeout,
		UserTimeout:    DefaultUserTimeout,
		IdleTimeout:    DefaultIdleTimeout,
		IdleMargin:     DefaultIdleMargin,
		MaxIdle:        DefaultMaxIdle,
		MaxHeaderBytes: DefaultMaxHeaderBytes,
		Clock:          clock.Now,
	}
	if c.DialTimeout > 0 {
		defaults.DialTimeout = c.DialTimeout
	}
	defaults.Dial = c.Dial
	if c.UserTimeout > 0 {
		defaults.UserTimeout = c.UserTimeout
	}
	if c.IdleTimeout > 0 {
		defaults.IdleTimeout = c.IdleTimeout
	}
	if c.IdleMargin > 0 {
		defaults.IdleMargin = c.IdleMargin
	}
	if c.MaxIdle > 0 {
		defaults.MaxIdle = c.MaxIdle
	}
	if c.MaxHeaderBytes > 0 {
		defaults.MaxHeaderBytes = c.MaxHeaderBytes
	}
	if c.Clock != nil {
		defaults.Clock = c.Clock
	}
	return defaults
}

// Pool keeps idle connections by address. Pools share no state.
type Pool struct {
	config Config
	dialer net.Dialer

	lock   sync.Mutex
	closed bool
	idle   map[string]*idleList // by address
}

// idleList holds the idle connections to one replica at an address. A connection in use
// returns to the list it was taken from, so that it is never used for a replica that runs
// at the same address later.
type idleList struct {
	conns   []*conn // most recently used last
	dropped bool
}

// NewPool returns an empty pool.
func NewPool(config Config) *Pool {
	config = config.withDefaults()
	return &Pool{
		config: config,
		idle:   map[string]*idleList{},
		dialer: net.Dialer{
			Timeout: config.DialTimeout,
			// A host that has lost power sends nothing; keep-alive probes detect
			// that after about 4 s while a response is pending.
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
			Control:         nil,
		},
	}
}

// Close closes the idle connections; connections in use are closed after their exchange.
func (p *Pool) Close() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.closed = true
	for address := range p.idle {
		p.dropLocked(address)
	}
}

// Drop closes the idle connections to an address whose replica is gone. Connections in use
// are closed after their exchange.
func (p *Pool) Drop(address string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.dropLocked(address)
}

func (p *Pool) dropLocked(address string) {
	list := p.idle[address]
	if list == nil {
		return
	}
	for _, idle := range list.conns {
		_ = idle.Conn.Close() // no request is in flight on it
	}
	list.conns, list.dropped = nil, true
	delete(p.idle, address)
}

// idleListFor returns the idle list of an address and creates it if necessary.
func (p *Pool) idleListFor(address string) *idleList {
	p.lock.Lock()
	defer p.lock.Unlock()
	list := p.idle[address]
	if list == nil {
		list = &idleList{}
		p.idle[address] = list
	}
	return list
}

// HasIdle reports whether an idle connection to the address is available.
func (p *Pool) HasIdle(address string) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	list := p.idle[address]
	return list != nil && len(list.conns) > 0 && p.config.Clock() < list.conns[len(list.conns)-1].usableUntil
}

// takeIdle removes and returns an idle connection that is still usable, or nil.
func (p *Pool) takeIdle(list *idleList) *conn {
	for {
		idle := p.popIdle(list)
		if idle == nil {
			return nil
		}
		if p.config.Clock() < idle.usableUntil && idle.isOpenAndQuiet() {
			return idle
		}
		_ = idle.Conn.Close() // expired, closed by the server, or holding unsolicited data
	}
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdle(list *idleList) *conn {
	p.lock.Lock()
	defer p.lock.Unlock()
	if len(list.conns) == 0 {
		return nil
	}
	last := list.conns[len(list.conns)-1]
	list.conns = list.conns[:len(list.conns)-1]
	return last
}

// release returns a connection whose last response was read completely to its idle list.
func (p *Pool) release(idle *conn) {
	p.lock.Lock()
	defer p.lock.Unlock()
	list := idle.list
	if p.closed || list.dropped || len(list.conns) >= p.config.MaxIdle {
		_ = idle.Conn.Close() // the pool is closed or full, or the replica at the address is gone
		return
	}
	idle.headerRead.Store(false)
	list.conns = append(list.conns, idle)
}

// acquire returns a connection on which the response can be matched to the request, and
// whether it was used before.
func (p *Pool) acquire(ctx context.Context, address string, request *Request) (*conn, bool, error) {
	list := p.idleListFor(address)
	if request.sharesConnections() && !request.Identity.Repeated {
		if cached := p.takeIdle(list); cached != nil {
			return cached, true, nil
		}
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, false, errors.WithStack(err)
	}
	opened := newConn(raw, list, p.config.MaxHeaderBytes)
	opened.clock = p.config.Clock
	opened.openedAt = p.config.Clock()
	opened.setUserTimeout(p.config.UserTimeout)
	return opened, false, nil
}

// dial opens a connection. The dialer gets ctx without its deadline, because it would set
// the deadline on the socket and could fail shortly before ctx itself ends. The caller
// would then count the timeout as a failure of the server.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	dialing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	if p.config.Dial != nil {
		return p.config.Dial(dialing, address)
	}
	return p.dialer.DialContext(dialing, "tcp", address)
}

// setUserTimeout makes the kernel close a connection on which written bytes stay
// unacknowledged for the given time.
func (c *conn) setUserTimeout(limit time.Duration) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		// Best effort: without the option a dead connection is only detected later.
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
}
