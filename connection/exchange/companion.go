package exchange

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// companionProbation is how long a new companion must stay open to count. A server closes connections beyond
	// its limit at once.
	companionProbation = 50 * time.Millisecond
	// companionAge is when a companion is replaced by a new one. Servers close connections that carry nothing for
	// a second or longer.
	companionAge = 800 * time.Millisecond
)

// companion is an idle connection to the server of a response that is being read. A process that ends closes all its
// connections, so a companion that is closed when the response ends shows that the server's process ended, even if
// another process listens at the address by then.
type companion struct {
	response *conn
	dial     func(ctx context.Context) (net.Conn, error)
	stop     context.CancelFunc

	lock    sync.Mutex
	current net.Conn // nil while there is no evidence
	closed  bool
}

// OpenCompanion opens a connection to the server that stays idle until Close, and renews it. See ServerEnded.
func (a *Response) OpenCompanion(address string) {
	ctx, stop := context.WithCancel(context.Background())
	a.companion = &companion{
		response: a.conn,
		dial:     func(ctx context.Context) (net.Conn, error) { return a.pool.dial(ctx, address) },
		stop:     stop,
	}
	go a.companion.run(ctx)
}

// ServerEnded reports whether the server's process is known to have ended no later than the response, whose body has
// been read completely. It is false without OpenCompanion, for a response of less than companionProbation, and for a
// server that closes idle connections sooner than companionAge.
func (a *Response) ServerEnded() bool { return a.companion != nil && a.companion.isClosedByPeer() }

// run keeps a companion until ctx or the response ends.
func (c *companion) run(ctx context.Context) {
	for c.renew(ctx) && pause.Sleep(ctx, companionAge) && c.isCurrentOpen() {
	}
}

// renew replaces the current companion by a new one while the response goes on. If no new one can be had, there is
// no evidence any more. It reports whether there is a new one.
func (c *companion) renew(ctx context.Context) bool {
	next := c.open(ctx)
	if isClosedByPeer(c.response) {
		closeConn(next) // it may lead to the server's next process
		return false
	}
	c.replace(next)
	return next != nil
}

// open returns a new connection that has stayed open for companionProbation, or nil.
func (c *companion) open(ctx context.Context) net.Conn {
	if isClosedByPeer(c.response) {
		return nil
	}
	opened, err := c.dial(ctx)
	if err != nil {
		return nil
	}
	_ = opened.SetReadDeadline(time.Now().Add(companionProbation))
	if _, err := opened.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		_ = opened.Close() // closed by the server, or holding data that belongs to no request
		return nil
	}
	return opened
}

// isCurrentOpen reports whether the current companion is open. One that the server has closed during the response is
// dropped, since the server closes idle connections early.
func (c *companion) isCurrentOpen() bool {
	if !c.isClosedByPeer() {
		return true
	}
	if !isClosedByPeer(c.response) {
		c.replace(nil)
	}
	return false
}

// replace closes the current companion and sets the next one, which is nil if there is none.
func (c *companion) replace(next net.Conn) {
	c.lock.Lock()
	defer c.lock.Unlock()
	closeConn(c.current)
	c.current = next
	if c.closed {
		closeConn(next)
	}
}

// isClosedByPeer reports whether there is a companion and the server has closed it.
func (c *companion) isClosedByPeer() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.current != nil && isClosedByPeer(c.current)
}

// close closes the companion.
func (c *companion) close() {
	c.stop()
	c.lock.Lock()
	defer c.lock.Unlock()
	c.closed = true
	closeConn(c.current)
}

// closeConn closes a connection on which nothing is in flight; nil is allowed.
func closeConn(idle net.Conn) {
	if idle != nil {
		_ = idle.Close()
	}
}

// isClosedByPeer reports whether the other side has closed or reset the connection, or this side has closed it. Data
// may be left to read.
func isClosedByPeer(inspected net.Conn) bool {
	system, ok := inspected.(syscall.Conn)
	if !ok {
		return false // the socket cannot be inspected
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(descriptor uintptr) {
		polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		count, err := unix.Poll(polled, 0)
		closed = err == nil && count > 0
	})
	return closed || err != nil
}
