package exchange

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/connection/responsecheck"
	"github.com/landingtrail/landingtrail/process/clock"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// readBufferBytes fits a response header and most complete short responses.
const readBufferBytes = 4 << 10

// conn is one connection to a server. It carries one request at a time.
type conn struct {
	*responsecheck.Conn
	list        *idleList // holds the connection while it is idle
	reader      *bufio.Reader
	openedAt    time.Duration // by the pool's clock
	usableUntil time.Duration // by the pool's clock; set when the connection becomes idle
	// maxHeaderBytes limits the total size of the headers of one response, informational
	// responses included; headerBytesLeft is the remainder of it while readingHeader.
	maxHeaderBytes  int64
	headerBytesLeft int64
	readingHeader   bool
	headerRead      atomic.Bool // the header of the current response was read
	// clock is monotonic; arrival measures the part of a response that is being read: a header, or what
	// arrives of the body's framing until the next bytes of the body.
	clock   func() time.Duration
	arrival ArrivalRate
	// failed is the error of a part that was too slow. It is returned by all further reads, since the
	// readers of net/textproto ignore an error while they look for a continued line.
	failed error
}

func newConn(raw net.Conn, list *idleList, maxHeaderBytes int64) *conn {
	created := &conn{Conn: responsecheck.NewConn(raw), list: list, maxHeaderBytes: maxHeaderBytes, clock: clock.Now}
	created.reader = bufio.NewReaderSize(created, readBufferBytes)
	return created
}

// Read reads from the connection. It enforces the arrival rate of the current part, and the size limit while a
// header is read.
func (c *conn) Read(buffer []byte) (int, error) {
	if c.failed != nil {
		return 0, c.failed
	}
	if c.readingHeader {
		if c.headerBytesLeft <= 0 {
			return 0, errHeaderTooLarge
		}
		buffer = buffer[:min(int64(len(buffer)), c.headerBytesLeft)]
	}
	count, err := c.Conn.Read(buffer)
	if c.readingHeader {
		c.headerBytesLeft -= int64(count)
	}
	if err == nil {
		c.failed = c.arrival.Note(c.clock(), count)
		err = c.failed
	}
	return count, err
}

// beginPart begins a part of a response whose arrival rate is measured.
func (c *conn) beginPart() { c.arrival = ArrivalRate{} }

func (c *conn) beginHeader() { c.readingHeader, c.headerBytesLeft = true, c.maxHeaderBytes }

func (c *conn) endHeader() { c.readingHeader = false }

// isOpenAndQuiet reports whether the idle connection is still open and no data has arrived
// on it. Unsolicited bytes belong to no request, so a connection that has them
// must not be reused. It peeks at the socket without blocking.
func (c *conn) isOpenAndQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true // the socket cannot be inspected
	}
	empty := false
	err = raw.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}
