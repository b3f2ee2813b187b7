package proxy

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

// sortClasses sorts by priority, lowest first, and name.
func sortClasses(classes []*api.Class) {
	slices.SortFunc(classes, func(a, b *api.Class) int {
		switch {
		case lowerPriority(a, b):
			return -1
		case lowerPriority(b, a):
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
	created := &lanes{}
	created.current.Store(&map[string]*lane{})
	created.catalog.Store(newCatalog(view.New()))
	return created
}

func (l *lanes) find(service string) *lane { return (*l.current.Load())[service] }

// update applies the view unless it is the last applied one or older, and returns the catalog of the
// applied view.
func (l *lanes) update(p *Proxy, latest *view.View) *catalog {
	applied := l.catalog.Load()
	if applied.view == latest {
		return applied
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	applied = l.catalog.Load()
	if applied.view == latest || latest.Version.Compare(applied.view.Version) < 0 {
		return applied
	}
	p.guard.Follow(latest, p.clock()) // learns which requests are quarantined
	updated := newCatalog(latest)
	l.rebuild(p, updated)
	l.catalog.Store(updated)
	return updated
}

// rebuild keeps the lanes of the services that remain, adds those of new services and closes the
// others.
func (l *lanes) rebuild(p *Proxy, updated *catalog) {
	old := *l.current.Load()
	next := make(map[string]*lane, len(updated.view.Services))
	for name, service := range updated.view.Services {
		serviceLane := old[name]
		if serviceLane == nil || serviceLane.kind != service.Spec.Type {
			serviceLane = newLane(&p.config, service, p.countUnmatched)
		}
		serviceLane.queue.Resize(maxInFlight(&p.config, service))
		next[name] = serviceLane
	}
	p.sharePollBudget(next)
	for name, service := range updated.view.Services {
		next[name].updateEndpoints(p, updated.endpointSpecs(service))
	}
	l.current.Store(&next)
	for name, removed := range old {
		if next[name] != removed {
			removed.close()
		}
	}
}

func (l *lanes) close() {
	l.lock.Lock()
	defer l.lock.Unlock()
	for _, active := range *l.current.Load() {
		active.close()
	}
}
