package ingress

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/exchange"
	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/version/api"
)

// unusedFor is how long what is known of a replica is kept after its last request.
const unusedFor = 5 * time.Minute

// listing is what the view lists of all services, by name: all replicas of a small service,
// and this proxy's subset of a large one's.
type listing map[string]*api.Replica

// fleet is the replicas of one service as this proxy knows them. Of a listed replica nothing
// is kept before it is first used: what a proxy holds, and what a change of the list costs it,
// grows with what it uses and not with the service.
type fleet struct {
	service string
	pool    *exchange.Pool
	asks    *holdoff.Table
	// named returns replicas beyond those listed that answers have named.
	named func(name string) *api.Replica

	lock   sync.Mutex
	listed listing
	known  map[string]*replica // those in use
	// choosable are all that are listed of the service, by name; nil until they are asked for.
	choosable []*replica
}

func newFleet(service string, pool *exchange.Pool, asks *holdoff.Table, named func(name string) *api.Replica) *fleet {
	if named == nil {
		named = func(string) *api.Replica { return nil }
	}
	return &fleet{service: service, pool: pool, asks: asks, named: named, known: map[string]*replica{}}
}

// entry returns what is listed of a replica, or was named; nil where neither is. The lock is
// held.
func (f *fleet) entry(name string) *api.Replica {
	entry := f.listed[name]
	if entry == nil {
		entry = f.named(name)
	}
	if entry == nil || entry.Spec.Service != f.service {
		return nil
	}
	return entry
}

// follow takes in a newer listing; a replica whose entry has changed keeps what is known of it.
func (f *fleet) follow(listed listing, now time.Duration) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.listed, f.choosable = listed, nil
	for name, known := range f.known {
		entry := f.entry(name)
		switch {
		case entry == nil:
			f.drop(known)
		case known.isUnused(now) && !f.pool.Idle(entry.Spec.Address):
			delete(f.known, name)
		default:
			f.use(entry, now)
		}
	}
}

// drop forgets a replica that is gone; the lock is held.
func (f *fleet) drop(gone *replica) {
	f.pool.Drop(gone.listed().Address)
	delete(f.known, gone.name)
}

// use takes in the entry of a replica, and keeps what is known of it unless it is another
// process. The lock is held.
func (f *fleet) use(entry *api.Replica, now time.Duration) *replica {
	known := f.known[entry.Name]
	if known != nil && !isSameProcess(known.listed(), &entry.Spec) {
		f.drop(known)
		known = nil
	}
	asks := f.asks.Follow(entry.Name, processOf(entry), now)
	if known == nil {
		known = newReplica(entry.Name, entry.Spec, asks)
		known.usedAt = now
		f.known[entry.Name] = known
	}
	known.entry.Store(&entry.Spec)
	return known
}

func processOf(entry *api.Replica) holdoff.Process {
	return holdoff.Process{Address: entry.Spec.Address, Born: entry.Spec.Born}
}

// isSameProcess reports whether what is known of a replica holds for its new entry: one that
// was born anew keeps nothing, and its connections have ended.
func isSameProcess(before, now *api.ReplicaSpec) bool {
	return before.Address == now.Address && !now.IsAnotherProcess(before)
}

// find returns the replica of the name, if it is listed or was named, or nil.
func (f *fleet) find(name string, now time.Duration) *replica {
	if name == "" {
		return nil
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	entry := f.entry(name)
	if entry == nil {
		return nil
	}
	return f.use(entry, now)
}

// used returns the replicas of which anything is known, by name.
func (f *fleet) used() []*replica {
	f.lock.Lock()
	defer f.lock.Unlock()
	used := make([]*replica, 0, len(f.known))
	for _, known := range f.known {
		used = append(used, known)
	}
	slices.SortFunc(used, func(a, b *replica) int { return cmp.Compare(a.name, b.name) })
	return used
}

// all calls visit for the listed replicas in any order, with what is known of each or nil,
// until it returns false.
func (f *fleet) all(visit func(entry *api.Replica, known *replica) bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	for name, entry := range f.listed {
		if entry.Spec.Service == f.service && !visit(entry, f.known[name]) {
			return
		}
	}
}

// choices returns the replicas that this proxy chooses from by itself, by name.
func (f *fleet) choices(now time.Duration) []*replica {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.choosable != nil {
		return f.choosable
	}
	for _, entry := range f.listed {
		if entry.Spec.Service == f.service {
			f.choosable = append(f.choosable, f.use(entry, now))
		}
	}
	slices.SortFunc(f.choosable, func(a, b *replica) int { return cmp.Compare(a.name, b.name) })
	return f.choosable
}
