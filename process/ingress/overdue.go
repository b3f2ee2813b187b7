package ingress

import (
	"context"
	"sync"
)

// sessionTable holds the requests under way. Their time is watched by timers, which a
// suspension of the machine holds up: after one, those whose time is over are ended. One
// lock is enough, as for the requests in flight.
type sessionTable struct {
	lock sync.Mutex
	ends map[*session]context.CancelCauseFunc
}

func (t *sessionTable) add(s *session, end context.CancelCauseFunc) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.ends == nil {
		t.ends = map[*session]context.CancelCauseFunc{}
	}
	t.ends[s] = end
}

func (t *sessionTable) remove(s *session) {
	t.lock.Lock()
	defer t.lock.Unlock()
	delete(t.ends, s)
}

// endOverdue ends the requests whose time is over.
func (t *sessionTable) endOverdue() {
	t.lock.Lock()
	defer t.lock.Unlock()
	for s, end := range t.ends {
		if s.remaining() <= 0 {
			end(errTimeout)
		}
	}
}
