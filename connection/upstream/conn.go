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
	lock   sync.Mutex
	wrote  bool
	sealed bool
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

// mark starts a new request on the connection.
func (c *trackedConn) mark() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.wrote = false
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
