package ingress

import (
	"context"
	"sync"
)

// sessionTable holds the requests in progress. Timers enforce their deadlines, but a suspension of
// the machine delays them; after one, requests past their deadline are cancelled from here. One
// lock suffices: it is held briefly, twice for each request.
type sessionTable struct {
	lock    sync.Mutex
	cancels map[*session]context.CancelCauseFunc
}

func (t *sessionTable) add(s *session, cancel context.CancelCauseFunc) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.cancels == nil {
		t.cancels = map[*session]context.CancelCauseFunc{}
	}
	t.cancels[s] = cancel
}

func (t *sessionTable) remove(s *session) {
	t.lock.Lock()
	defer t.lock.Unlock()
	delete(t.cancels, s)
}

// cancelOverdue cancels the requests whose deadline has passed.
func (t *sessionTable) cancelOverdue() {
	t.lock.Lock()
	defer t.lock.Unlock()
	for s, cancel := range t.cancels {
		if s.remaining() <= 0 {
			cancel(errTimeout)
		}
	}
}
