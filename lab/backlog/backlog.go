// Package backlog makes addresses at which a connection hangs while it is opened, as at
// a machine that drops packets.
package backlog

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// fillTimeout is how long the filling connections are waited for: the one that finds no
// place is not answered.
const fillTimeout = 200 * time.Millisecond

// fillers is how many connections fill a listener whose backlog is 0: it holds one.
const fillers = 2

// Full is a listener whose backlog is full and stays so.
type Full struct {
	descriptor int
	address    string
	waiting    []net.Conn
}

// NewFull opens one on the loopback address. The caller closes it.
func NewFull() (*Full, error) {
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "backlog: socket")
	}
	f := &Full{descriptor: descriptor}
	if err := f.listen(); err != nil {
		f.Close()
		return nil, err
	}
	f.fill()
	return f, nil
}

func (f *Full) listen() error {
	loopback := &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}
	if err := unix.Bind(f.descriptor, loopback); err != nil {
		return errors.Wrap(err, "backlog: bind")
	}
	if err := unix.Listen(f.descriptor, 0); err != nil {
		return errors.Wrap(err, "backlog: listen")
	}
	bound, err := unix.Getsockname(f.descriptor)
	if err != nil {
		return errors.Wrap(err, "backlog: name")
	}
	port := bound.(*unix.SockaddrInet4).Port // of the family that was bound
	f.address = (&net.TCPAddr{IP: net.IP(loopback.Addr[:]), Port: port}).String()
	return nil
}

func (f *Full) fill() {
	for range fillers {
		conn, err := net.DialTimeout("tcp", f.address, fillTimeout)
		if err != nil {
			return // no place is left
		}
		f.waiting = append(f.waiting, conn)
	}
}

// Address is where a connection hangs.
func (f *Full) Address() string { return f.address }

// Close ends the listener and what waits there.
func (f *Full) Close() {
	for _, conn := range f.waiting {
		_ = conn.Close() // nothing was sent on it
	}
	_ = unix.Close(f.descriptor)
}
