package feed

import (
	"context"
	"sync"
	"time"
)

// refusedWaitDivisor divides HandoverWait. The result is how long a refused request waits for its
// leader to announce that it stepped down. A leader refuses commands from the start of a handover,
// shortly before it redirects its subscribers, so a small part of HandoverWait suffices.
const refusedWaitDivisor = 5

// handover tracks an announced change of leader, so that callers can wait for the next one.
type handover struct {
	lock           sync.Mutex
	wait           time.Duration
	deadline       time.Time     // callers wait for the next leader until then
	sessionStarted chan struct{} // closed and replaced when a leader starts to serve the client
}

func newHandover(wait time.Duration) *handover {
	return &handover{wait: wait, sessionStarted: make(chan struct{})}
}

// expectLeader lets callers wait for the next leader's session from now on.
func (h *handover) expectLeader() {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.deadline = time.Now().Add(h.wait)
}

// leaderReady wakes the callers that wait for a leader's session.
func (h *handover) leaderReady() {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.deadline = time.Time{}
	close(h.sessionStarted)
	h.sessionStarted = make(chan struct{})
}

// status returns the channel that is closed when a leader starts to serve the client, and the time
// until which callers may wait for that, zero if no handover was announced.
func (h *handover) status() (sessionStarted <-chan struct{}, deadline time.Time) {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.sessionStarted, h.deadline
}

// awaitSession returns the session that serves the client. During an announced handover it waits
// for the next session; otherwise it returns nil immediately if there is none.
func (c *Client) awaitSession(ctx context.Context) *session {
	for {
		sessionStarted, deadline := c.handover.status()
		if current := c.session.Load(); current != nil {
			return current
		}
		remaining := time.Until(deadline)
		if remaining <= 0 || !waitClosed(ctx, sessionStarted, remaining) {
			return nil
		}
	}
}

// awaitStepDown waits up to a fraction of HandoverWait (refusedWaitDivisor) for the session to end
// and reports whether its leader announced that it stepped down.
func (s *session) awaitStepDown(ctx context.Context) bool {
	return waitClosed(ctx, s.ended, s.client.config.HandoverWait/refusedWaitDivisor) && s.steppedDown
}

// waitClosed reports whether the channel was closed within the limit.
func waitClosed(ctx context.Context, closed <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-closed:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}
