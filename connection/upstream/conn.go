package upstream

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

// errClosedForWrites is returned by writes after closeAndReportWritten or closeUnlessReused.
var errClosedForWrites = errors.New("upstream: connection closed for writes")

// trackedConn records whether any byte was passed to the operating system since the start
// of the current exchange. httptrace cannot tell this exactly: the transport buffers
// headers, so WroteHeaders may be called before or after the first byte is written.
type trackedConn struct {
	net.Conn
	lock            sync.Mutex
	exchanges       int // number of exchanges that used the connection
	wrote           bool
	closedForWrites bool
}

// Write records the write before it happens, so that a write that races with
// closeAndReportWritten is either reported by it or never happens.
func (c *trackedConn) Write(data []byte) (int, error) {
	c.lock.Lock()
	if c.closedForWrites {
		c.lock.Unlock()
		return 0, errClosedForWrites
	}
	c.wrote = true
	c.lock.Unlock()
	return c.Conn.Write(data)
}

// beginExchange starts a new exchange on the connection and returns its number.
func (c *trackedConn) beginExchange() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.wrote = false
	c.exchanges++
	return c.exchanges
}

// closeUnlessReused closes the connection, unless a later exchange than the given one
// already uses it: Transport makes it available to others before the caller sees the end
// of the body. The response to the later exchange then decides whether it stays open.
func (c *trackedConn) closeUnlessReused(number int) {
	c.lock.Lock()
	current := c.exchanges == number
	if current {
		c.closedForWrites = true
	}
	c.lock.Unlock()
	if current {
		_ = c.Conn.Close() // the connection is not used any more
	}
}

// closeAndReportWritten prevents further writes, closes the connection and reports whether a byte was written
// during the current exchange.
func (c *trackedConn) closeAndReportWritten() bool {
	c.lock.Lock()
	c.closedForWrites = true
	wrote := c.wrote
	c.lock.Unlock()
	_ = c.Conn.Close() // the connection is not used any more
	return wrote
}
