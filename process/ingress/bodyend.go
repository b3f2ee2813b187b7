package ingress

import (
	"context"
	"time"

	"github.com/landingtrail/landingtrail/connection/exchange"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/pkg/errors"
)

// bodyEnd is what marks the end of an answer's body.
type bodyEnd uint8

const (
	bodyEndNone       bodyEnd = iota // there is no answer
	bodyEndLength                    // its length
	bodyEndChunked                   // its last chunk
	bodyEndConnection                // the end of its connection, which also comes with that of the process
)

func (e bodyEnd) String() string {
	return [...]string{"", "known", "chunked", "close"}[e]
}

// bodyEndOf returns what marks the end of the answer's body.
func bodyEndOf(answer *exchange.Response) bodyEnd {
	switch {
	case answer.Length >= 0:
		return bodyEndLength
	case answer.EndsWithConnection:
		return bodyEndConnection
	}
	return bodyEndChunked
}

// errEndedWithReplica is returned when an answer whose end only its connection marks has ended, and its
// replica does not seem to run any more. Such an answer may be incomplete.
var errEndedWithReplica = errors.New("ingress: answer ended with its replica")

// exitTime is how long a process that ends may go on listening after its other connections are closed.
const exitTime = 10 * time.Millisecond

// verifyEnd returns errEndedWithReplica if the end of an answer that has been read does not show that the
// answer is complete: nothing but the connection's end marks it, and the replica cannot be reached
// afterwards, has crashed during the run as far as this proxy knows, or is another process by now. The caller of
// this proxy would otherwise take what it was sent for the whole answer, since the proxy marks its end.
func (s *session) verifyEnd(ctx context.Context, target *replica, sent *send, answer *exchange.Response) error {
	if sent.bodyEnd != bodyEndConnection {
		return nil
	}
	pause.Sleep(ctx, exitTime)
	if target.crashedSince(sent.at) || !s.replicaListens(ctx, target) || answer.ServerEnded() || s.isReplaced(ctx, target, sent) {
		return errEndedWithReplica
	}
	return nil
}

// endProbes limits the probes of a replica's address at the end of an answer. A machine under load may
// miss one.
const endProbes = 4

// replicaListens reports whether the replica's address accepts connections.
func (s *session) replicaListens(ctx context.Context, target *replica) bool {
	for range endProbes {
		switch s.ingress.probeAddress(ctx, target) {
		case addressListens:
			return true
		case addressRefuses:
			return false
		}
	}
	return false
}

// crashedSince reports whether a run broke at the replica at that time or later and nothing listened at
// its address afterwards.
func (r *replica) crashedSince(then time.Duration) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.refusedAt > 0 && r.refusedAt >= then
}

// noteRefused records that a run broke at the replica and nothing listens at its address any more.
func (r *replica) noteRefused(brokenAt time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.refusedAt = max(brokenAt, 1) // 0 stands for never
}
