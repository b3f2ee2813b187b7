package exchange

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// readBufferBytes holds a head and most answers of plain services.
const readBufferBytes = 4 << 10

// conn is one connection to a replica. One request at a time uses it.
type conn struct {
	net.Conn
	address     string
	reader      *bufio.Reader
	usableUntil time.Time
	carried     carried
}

func newConn(raw net.Conn, address string) *conn {
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBufferBytes)}
}

// errNoDescriptor says that a connection has no descriptor of the system's.
var errNoDescriptor = errors.New("exchange: connection without a descriptor")

func (c *conn) raw() (syscall.RawConn, error) {
	system, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return system.SyscallConn()
}

// quiet reports whether the idle connection is open and nothing has come on it:
// bytes that nobody asked for belong to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.raw()
	if err != nil {
		return true // nothing can be looked at
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
