package ingress

import (
	"context"
	"math"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/process/clock"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// A caller may read its answer slowly or not at all. The proxy passes on what the caller takes and reads no
// more from the replica, which holds a slot for the request meanwhile. So a write to a caller that takes
// nothing for Timeouts.CallerStall fails: the connection is reset, which the caller sees as a broken answer,
// and the request at the replica is cancelled, without blame on the replica and without a retry.

const (
	// stallChecks is the number of checks for progress within Timeouts.CallerStall, so that an answer
	// is ended after up to 1.5 times that. The kernel reports a connection as writable only once a
	// good part of its buffer is free. So each check tries to write again, and looks at how much the
	// caller's side has acknowledged.
	stallChecks = 4
	// callerUnsentBytes limits the data in the kernel that was not sent to a caller because its
	// receive window is full. Without it the send buffer of each such connection grows up to the
	// system's limit, often 4 MB. It does not limit data on its way, and so not the speed.
	callerUnsentBytes = 128 << 10
	// minHeldUp is how long writes to a caller must have been blocked for a replica that ends an answer
	// to be assumed to have done so because nobody read it. Replicas do so after some seconds.
	minHeldUp = time.Second
	// heldUpMemory is how long after such a write the end of an answer is ascribed to it. By then
	// what the kernel held of the answer has been read.
	heldUpMemory = time.Second
	// noticeableBlock is the duration from which a write counts as blocked.
	noticeableBlock = 5 * time.Millisecond
)

// errCallerStalled is returned by a write to a caller that takes nothing.
var errCallerStalled = errors.New("ingress: caller takes nothing of its answer")

// callerListener accepts callers' connections.
type callerListener struct {
	net.Listener
	ingress *Ingress
}

// Accept returns the next connection as a *callerConn.
func (l callerListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &callerConn{Conn: raw, ingress: l.ingress}
	accepted.control(func(descriptor int) {
		_ = unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, callerUnsentBytes)
	})
	return accepted, nil
}

// callerConn is a caller's connection. Writes are not concurrent; the fields other than stalled belong to
// the goroutine that serves the connection.
type callerConn struct {
	net.Conn
	ingress *Ingress
	stalled atomic.Bool // a write failed because the caller took nothing
	// request and route name the last request on the connection; empty before the first.
	request, route string
	// blocked is the total time for which writes of the current request's answer were blocked,
	// blockedUntil the end of the last such write, zero if there was none.
	blocked      time.Duration
	blockedUntil time.Duration
}

// callerConnKey is the key of the *callerConn in a request's context.
type callerConnKey struct{}

// withCallerConn is an http.Server's ConnContext.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	if accepted, ok := conn.(*callerConn); ok {
		return context.WithValue(ctx, callerConnKey{}, accepted)
	}
	return ctx
}

// beginAnswer records that the connection is used for the answer to a request. It returns the connection
// of the request; nil if its server does not use a callerListener, as in some tests.
func beginAnswer(ctx context.Context, request, route string) *callerConn {
	conn, _ := ctx.Value(callerConnKey{}).(*callerConn)
	if conn != nil {
		conn.request, conn.route, conn.blocked, conn.blockedUntil = request, route, 0, 0
	}
	return conn
}

// Write writes all of the data. It fails with errCallerStalled, and resets the connection, if the caller
// takes nothing for Timeouts.CallerStall; a caller that takes something is waited for.
func (c *callerConn) Write(data []byte) (int, error) {
	limit := c.ingress.config.Timeouts.CallerStall
	began := clock.Now()
	progressAt, queued := began, math.MaxInt // unknown until the first check, which counts as progress
	written := 0
	for {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(limit / stallChecks)) // fails on a closed connection, and so does Write
		count, err := c.Conn.Write(data[written:])
		written += count
		now := clock.Now()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.noteWritten(now, now-began)
			return written, err
		}
		left := c.queuedBytes()
		if count > 0 || left < queued {
			progressAt = now
		}
		queued = left
		if now-progressAt >= limit {
			c.noteWritten(now, now-began)
			c.endStalled(now - progressAt)
			return written, errCallerStalled
		}
	}
}

func (c *callerConn) noteWritten(now, took time.Duration) {
	if took >= noticeableBlock {
		c.blocked, c.blockedUntil = c.blocked+took, now
	}
}

// endStalled marks the answer as ended and makes the connection's end a reset, which also frees what the
// kernel still holds for the caller.
func (c *callerConn) endStalled(after time.Duration) {
	c.stalled.Store(true)
	c.resetAtEnd()
	c.ingress.metrics.stalledAnswers.WithLabelValues(c.route).Inc()
	event.CallerStalled.Log(c.ingress.logger, "request", c.request, "route", c.route, "stalled_ms", after.Milliseconds(),
		"blocked_ms", c.blocked.Milliseconds(), "unsent", c.queuedBytes())
}

// resetAtEnd makes the connection's end a reset. Only a reset shows the end of an answer to HTTP/1.0, which
// the connection's end marks, to be a break.
func (c *callerConn) resetAtEnd() {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0) // fails on a connection that is closed already
	}
}

// queuedBytes returns the number of bytes in the kernel that the caller's side has not acknowledged; 0 if
// unknown.
func (c *callerConn) queuedBytes() int {
	queued := 0
	c.control(func(descriptor int) { queued, _ = unix.IoctlGetInt(descriptor, unix.TIOCOUTQ) })
	return queued
}

// control calls the function with the connection's descriptor, if it has one.
func (c *callerConn) control(use func(descriptor int)) {
	conn, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	if raw, err := conn.SyscallConn(); err == nil {
		_ = raw.Control(func(descriptor uintptr) { use(int(descriptor)) }) // fails on a closed connection
	}
}

// callerStalled reports whether the answer was ended because the caller takes nothing of it.
func (s *session) callerStalled() bool { return s.callerConn != nil && s.callerConn.stalled.Load() }

// callerHeldUp reports whether a replica that ends its answer now may do so because the caller held it up:
// a replica ends an answer that is left unread for some seconds.
func (s *session) callerHeldUp() bool {
	c := s.callerConn
	return c != nil && c.blocked >= minHeldUp && clock.Now()-c.blockedUntil <= heldUpMemory
}

// noteHeldUp returns the verdict on an answer that its replica ended while the caller held it up. Nobody
// but the caller is to blame: what it has of the answer is cut off, and nothing is sent again.
func (s *session) noteHeldUp(err error) verdict {
	s.heldUp = true
	s.callerConn.resetAtEnd()
	s.ingress.metrics.stalledAnswers.WithLabelValues(s.route.Name).Inc()
	event.CallerHeldUp.Log(s.ingress.logger, "request", s.call.ID, "route", s.route.Name,
		"blocked_ms", s.callerConn.blocked.Milliseconds(), "err", err)
	return verdictCallerEnd
}

// causeCallerStalled is written to the trace of a request whose caller did not read its answer.
const causeCallerStalled = "caller_stalled"
