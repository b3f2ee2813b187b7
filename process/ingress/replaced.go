package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/landingtrail/landingtrail/connection/exchange"
	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/pkg/errors"
)

const (
	// maxStatusBytes limits the status of a replica that is read.
	maxStatusBytes = 1 << 20
	// statusTimeout is how long to wait for a replica's status. The caller waits for the end of its answer
	// meanwhile.
	statusTimeout = 50 * time.Millisecond
)

// errStatusTooLarge is returned for a status of more than maxStatusBytes.
var errStatusTooLarge = errors.New("ingress: status too large")

// isReplaced reports whether another process than the one that a run was sent to uses the replica's address now. It
// asks whether the process belongs to the replica and when it was started. The result is false if there is no answer
// in time, if the answer does not say so, or if the replica must be sent nothing now.
func (s *session) isReplaced(ctx context.Context, target *replica, sent *send) bool {
	if !s.mayAskStatus(target) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	reply, status, err := s.readStatus(ctx, target)
	if err != nil {
		return false
	}
	if reply.Misdirected {
		return true
	}
	// The list may lag behind: a process that it does not show yet, but which was started before the run was sent,
	// is the one that received it.
	born := s.ingress.config.Dialect.Birth(status)
	return born != sent.born && born > s.wallClockAt(sent.at).UnixMilli()
}

// mayAskStatus reports whether the replica may be asked for its status. One that rests, or that limits its requests,
// is not.
func (s *session) mayAskStatus(target *replica) bool {
	return target.holdoff.State(s.ingress.now()) != holdoff.Closed && !target.holdoff.IsLimited()
}

// openCompanion lets the answer show whether its process ended with it, where the process cannot be asked then or may
// not know when it was started.
func (s *session) openCompanion(target *replica, sent *send, answer *exchange.Response) {
	if sent.bodyEnd == bodyEndConnection && (sent.born == 0 || !s.mayAskStatus(target)) {
		answer.OpenCompanion(target.spec().Address)
	}
}

// wallClockAt returns the wall-clock time of a reading of the monotonic clock.
func (s *session) wallClockAt(at time.Duration) time.Time {
	return s.ingress.wallClock().Add(at - s.ingress.now())
}

// readStatus requests a replica's status. Its answer does not say which request it belongs to, so the pool sends
// the request on a new connection.
func (s *session) readStatus(ctx context.Context, target *replica) (reply Reply, status []byte, err error) {
	header, address := http.Header{}, target.spec().Address
	method, path := s.ingress.config.Dialect.StatusRequest(header, target.name)
	answer, err := s.upstream.pool.Do(ctx, address, &exchange.Request{
		Method: method, Target: path, Host: address, Header: header,
		BeforeSend: s.ingress.beforeSend(target.holdoff, noPermit),
	})
	if err != nil {
		return Reply{}, nil, err
	}
	defer answer.Close()
	reply = s.ingress.config.Dialect.Reply(answer.Status, answer.Header)
	s.applyHoldoff(stageStatus, target.holdoff, answer.Status, &reply)
	if reply.Misdirected || !isSuccess(answer.Status) {
		return reply, nil, nil
	}
	status, err = io.ReadAll(io.LimitReader(answer, maxStatusBytes+1))
	if err == nil && len(status) > maxStatusBytes {
		err = errStatusTooLarge
	}
	return reply, status, err
}
