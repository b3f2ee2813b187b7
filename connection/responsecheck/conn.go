package responsecheck

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrUnconfirmedEnd means that a connection has ended and that data may be missing before its end. The
// system reports the error of a connection that was reset once, to whichever of reading and writing comes
// first, and the other one then sees an ordinary end.
var ErrUnconfirmedEnd = errors.WithMessage(io.ErrUnexpectedEOF, "responsecheck: connection ended while it was written to")

// writeEndTime is how long a write that has taken all data may need to return, in a process that is short of
// CPU time.
const writeEndTime = 100 * time.Millisecond

// Conn is a connection that is read and written concurrently. It returns io.EOF only where that means that
// the other side has sent everything. This matters for a body whose end only that of its connection marks.
type Conn struct {
	net.Conn
	writer chan struct{} // holds a value during a write
	failed bool          // a write has failed; guarded by writer
}

// NewConn returns a Conn that takes over the connection.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn, writer: make(chan struct{}, 1)} }

// Write writes to the connection.
func (c *Conn) Write(data []byte) (int, error) {
	c.writer <- struct{}{}
	defer func() { <-c.writer }()
	count, err := c.Conn.Write(data)
	c.failed = c.failed || err != nil
	return count, err
}

// Read reads from the connection. It returns an error that wraps ErrUnconfirmedEnd in place of io.EOF if a
// write has failed or does not end.
func (c *Conn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if err == io.EOF && !c.hasWritten() {
		err = errors.WithStack(ErrUnconfirmedEnd)
	}
	return count, err
}

// hasWritten reports whether all writes have succeeded. It waits for one that is under way.
func (c *Conn) hasWritten() bool {
	timeout := time.NewTimer(writeEndTime)
	defer timeout.Stop()
	select {
	case c.writer <- struct{}{}:
		defer func() { <-c.writer }()
		return !c.failed
	case <-timeout.C:
		return false
	}
}

// errNoFileDescriptor reports a connection that has no file descriptor.
var errNoFileDescriptor = errors.New("responsecheck: connection has no file descriptor")

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	system, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoFileDescriptor
	}
	return system.SyscallConn()
}
