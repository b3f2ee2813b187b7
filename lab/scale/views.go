package scale

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/version/view"
)

// keptSteps bounds the steps between views that are kept for sharing.
const keptSteps = 64

// step names how one version was reached: by a partial delta from another, or
// by a full one.
type step struct {
	from, to view.Version
}

// viewStore lets daemons of one process share the views that they hold in
// common: ten thousand engines in two thousand views would need more memory
// than the machine has. A step between two versions always leads to the same
// view, so the first daemon that takes it works it out for all.
type viewStore struct {
	lock  sync.Mutex
	known map[step]*view.View
	order []step
}

func newViewStore() *viewStore { return &viewStore{known: map[step]*view.View{}} }

// apply returns the view that the delta leads to from current.
func (s *viewStore) apply(current *view.View, delta view.Delta) (*view.View, error) {
	taken := step{from: current.Version, to: delta.To}
	if delta.Full {
		taken.from = view.Version{}
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if next := s.known[taken]; next != nil && next.Version.Compare(current.Version) > 0 && delta.To.Term >= current.Version.Term &&
		(delta.Full || delta.From == current.Version) {
		return next, nil
	}
	next, err := current.Apply(delta)
	if err != nil {
		return nil, err
	}
	s.keep(taken, next)
	return next, nil
}

func (s *viewStore) keep(taken step, reached *view.View) {
	if len(s.order) == keptSteps {
		delete(s.known, s.order[0])
		s.order = s.order[1:]
	}
	s.known[taken] = reached
	s.order = append(s.order, taken)
}

// moved says when a daemon had a revision.
type moved struct {
	revision uint64
	at       time.Time
}

// sharedHolder is a daemon's holder whose views come from the process's store.
// The lease is that of the product's Holder.
type sharedHolder struct {
	lease   *view.Holder
	store   *viewStore
	current atomic.Pointer[view.View]

	lock  sync.Mutex
	moves []moved
}

func newSharedHolder(store *viewStore) *sharedHolder {
	h := &sharedHolder{lease: view.NewHolder(), store: store}
	h.current.Store(view.New())
	return h
}

// Load returns the current view.
func (h *sharedHolder) Load() *view.View { return h.current.Load() }

// Apply replaces the view by the one that the delta leads to.
func (h *sharedHolder) Apply(delta view.Delta) error {
	h.lock.Lock()
	defer h.lock.Unlock()
	next, err := h.store.apply(h.current.Load(), delta)
	if err != nil {
		return err
	}
	h.current.Store(next)
	h.moves = append(h.moves, moved{revision: next.Version.Revision, at: time.Now()})
	return nil
}

// Confirm extends the lease.
func (h *sharedHolder) Confirm(sentAt, lease time.Duration, term uint64) bool {
	return h.lease.Confirm(sentAt, lease, term)
}

// takeMoves returns the moves since the last call.
func (h *sharedHolder) takeMoves() []moved {
	h.lock.Lock()
	defer h.lock.Unlock()
	taken := h.moves
	h.moves = nil
	return taken
}
