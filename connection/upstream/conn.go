package upstream

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

// ErrSealed is returned by writes to a sealed connection.
var ErrSealed = errors.New("connection sealed")

// trackedConn knows whether any byte was handed to the operating system since
// the last mark. It is exact where httptrace is not: the transport buffers
// headers, so WroteHeaders can come before or after the first byte.
type trackedConn struct {
	net.Conn
	lock      sync.Mutex
	exchanges int // that were given the connection
	wrote     bool
	sealed    bool
}

// Write marks the connection as written before it writes, so that a write that
// races with seal is either seen or never happens.
func (c *trackedConn) Write(data []byte) (int, error) {
	c.lock.Lock()
	if c.sealed {
		c.lock.Unlock()
		return 0, ErrSealed
	}
	c.wrote = true
	c.lock.Unlock()
	return c.Conn.Write(data)
}

// mark starts a new request on the connection and returns its number.
func (c *trackedConn) mark() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.wrote = false
	c.exchanges++
	return c.exchanges
}

// retire seals the connection unless it was given to a later request than the
// number-th: Transport offers it to others before the caller sees the end of
// the body, and that request's own answer decides what the connection is worth.
func (c *trackedConn) retire(number int) {
	c.lock.Lock()
	current := c.exchanges == number
	if current {
		c.sealed = true
	}
	c.lock.Unlock()
	if current {
		_ = c.Conn.Close() // the connection is of no use any more
	}
}

// seal forbids any further write, closes the connection and reports whether a
// byte was written since the mark.
func (c *trackedConn) seal() bool {
	c.lock.Lock()
	c.sealed = true
	wrote := c.wrote
	c.lock.Unlock()
	_ = c.Conn.Close() // the connection is of no use any more
	return wrote
}
