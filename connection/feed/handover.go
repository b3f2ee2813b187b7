package feed

import (
	"context"
	"sync"
	"time"
)

// refusedShare is the part of HandoverWait that a refused request waits for its
// leader to say that it leads no more. A leader refuses commands from the start of
// a handover on, shortly before it sends its subscribers on.
const refusedWaitDivisor = 5

// handover tells the client's callers about the change from one leader to the
// next that a member announced.
type handover struct {
	lock    sync.Mutex
	wait    time.Duration
	until   time.Time     // callers may wait for a leader until then
	changed chan struct{} // closed when a session begins
}

func newHandover(wait time.Duration) *handover {
	return &handover{wait: wait, changed: make(chan struct{})}
}

// announce lets callers wait for the next session from now on.
func (h *handover) begin() {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.until = time.Now().Add(h.wait)
}

// end wakes the callers that wait for a session.
func (h *handover) end() {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.until = time.Time{}
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *handover) status() (changed <-chan struct{}, until time.Time) {
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.changed, h.until
}

// awaitSession returns the session that serves the client. While leadership
// moves as announced it waits for the next one; otherwise it returns nil at once
// when there is none.
func (c *Client) awaitSession(ctx context.Context) *session {
	for {
		changed, until := c.handover.status()
		if current := c.session.Load(); current != nil {
			return current
		}
		left := time.Until(until)
		if left <= 0 || !waitClosed(ctx, changed, left) {
			return nil
		}
	}
}

// movedOn reports whether the session ends shortly because its member leads no more.
func (s *session) leaderSteppedDown(ctx context.Context) bool {
	return waitClosed(ctx, s.ended, s.client.config.HandoverWait/refusedWaitDivisor) && s.steppedDown
}

// waitFor reports whether the channel was closed in time.
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
