package proxy

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

func sortClasses(classes []*api.Class) {
	slices.SortFunc(classes, func(a, b *api.Class) int {
		switch {
		case classBefore(a, b):
			return -1
		case classBefore(b, a):
			return 1
		}
		return 0
	})
}

// lanes maps service names to lanes. Readers load the immutable map atomically; the lock is held
// only while a new view is applied.
type lanes struct {
	current atomic.Pointer[map[string]*lane]
	catalog atomic.Pointer[catalog]
	lock    sync.Mutex
}

func newLanes() *lanes {
	made := &lanes{}
	made.current.Store(&map[string]*lane{})
	made.catalog.Store(newCatalog(view.New()))
	return made
}

func (l *lanes) find(service string) *lane { return (*l.current.Load())[service] }

// update applies the view unless it is the last applied one or older, and returns the catalog in
// force.
func (l *lanes) update(p *Proxy, current *view.View) *catalog {
	known := l.catalog.Load()
	if known.view == current {
		return known
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	known = l.catalog.Load()
	if known.view == current || current.Version.Compare(known.view.Version) < 0 {
		return known
	}
	p.guard.Follow(current, p.clock())
	made := newCatalog(current)
	l.rebuild(p, made)
	l.catalog.Store(made)
	return made
}

func (l *lanes) rebuild(p *Proxy, made *catalog) {
	old := *l.current.Load()
	next := make(map[string]*lane, len(made.view.Services))
	for name, service := range made.view.Services {
		kept := old[name]
		if kept == nil || kept.kind != service.Spec.Type {
			kept = newLane(&p.config, service, p.noteForeign)
		}
		kept.queue.Resize(laneWidth(&p.config, service))
		next[name] = kept
	}
	p.sharePolls(next)
	for name, service := range made.view.Services {
		next[name].follow(p, made.members(service))
	}
	l.current.Store(&next)
	for name, dropped := range old {
		if next[name] != dropped {
			dropped.close()
		}
	}
}

func (l *lanes) close() {
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, open := range *l.current.Load() {
		open.close()
	}
}
