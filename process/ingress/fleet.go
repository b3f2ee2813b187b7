package ingress

import (
	"cmp"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/landingtrail/landingtrail/connection/exchange"
	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/version/api"
)

const (
	// subsetSize bounds the replicas of a service among which a proxy chooses by itself. Each
	// proxy has other ones, so that all are chosen as often, and keeps connections to those.
	subsetSize = 128
	// subsetAge is how long a subset is used while the list changes; what leaves, leaves the
	// subset at once.
	subsetAge = time.Second
	// unusedFor is how long what is known of a replica is kept after its last request.
	unusedFor = 5 * time.Minute
)

// listing is what the view lists: the replicas of all services by name.
type listing map[string]*api.Replica

// isSame reports whether both are the same map: views share those that no change has touched.
func (l listing) isSame(other listing) bool {
	return reflect.ValueOf(l).Pointer() == reflect.ValueOf(other).Pointer()
}

// fleet is the replicas of one service as this proxy knows them. Of a listed replica nothing
// is kept before it is first used: what a proxy holds, and what a change of the list costs it,
// grows with what it uses and not with the service.
type fleet struct {
	service string
	proxy   string
	pool    *exchange.Pool
	asks    *holdoff.Table

	lock   sync.Mutex
	listed listing
	known  map[string]*replica // those in use
	// subset is what this proxy chooses from by itself, by name, of the listing at subsetOf.
	subset   []*replica
	subsetOf listing
	subsetAt time.Duration
}

func newFleet(service, proxy string, pool *exchange.Pool, asks *holdoff.Table) *fleet {
	return &fleet{service: service, proxy: proxy, pool: pool, asks: asks, known: map[string]*replica{}}
}

// follow takes in a newer listing; a replica whose entry has changed keeps what is known of it.
func (f *fleet) follow(listed listing, now time.Duration) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.listed = listed
	for name, known := range f.known {
		entry := listed[name]
		switch {
		case entry == nil || entry.Spec.Service != f.service:
			f.drop(known)
		case !isSameProcess(known.listed(), &entry.Spec):
			f.drop(known)
			f.use(entry, now)
		case known.isUnused(now) && !f.pool.Idle(entry.Spec.Address):
			delete(f.known, name)
		default:
			f.asks.Follow(name, processOf(entry), now)
			known.entry.Store(&entry.Spec)
		}
	}
	// Those who choose now hold the subset as it was.
	f.subset = slices.DeleteFunc(slices.Clone(f.subset), func(r *replica) bool { return f.known[r.name] != r })
}

// drop forgets a replica that is gone; the lock is held.
func (f *fleet) drop(gone *replica) {
	f.pool.Drop(gone.listed().Address)
	delete(f.known, gone.name)
}

// use begins to keep what is known of a listed replica; the lock is held.
func (f *fleet) use(entry *api.Replica, now time.Duration) *replica {
	if known := f.known[entry.Name]; known != nil {
		return known
	}
	made := newReplica(entry.Name, entry.Spec, f.asks.Follow(entry.Name, processOf(entry), now))
	made.usedAt = now
	f.known[entry.Name] = made
	return made
}

func processOf(entry *api.Replica) holdoff.Process {
	return holdoff.Process{Address: entry.Spec.Address, Born: entry.Spec.Born}
}

// isSameProcess reports whether what is known of a replica holds for its new entry: one that
// was born anew keeps nothing, and its connections have ended.
func isSameProcess(before, now *api.ReplicaSpec) bool {
	return before.Address == now.Address && !now.IsAnotherProcess(before)
}

// find returns the listed replica of the name, or nil.
func (f *fleet) find(name string, now time.Duration) *replica {
	if name == "" {
		return nil
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	entry := f.listed[name]
	if entry == nil || entry.Spec.Service != f.service {
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

// choices returns the replicas that this proxy chooses from by itself, by name: all of a
// small service, and of a large one a part that is drawn for it.
func (f *fleet) choices(now time.Duration) []*replica {
	f.lock.Lock()
	defer f.lock.Unlock()
	isOld := now-f.subsetAt >= subsetAge || len(f.subset) < subsetSize
	if f.subsetOf == nil || isOld && !f.subsetOf.isSame(f.listed) {
		f.subset, f.subsetOf, f.subsetAt = f.draw(now), f.listed, now
	}
	return f.subset
}

// draw returns those replicas of the service that rank highest for this proxy. The rank is a
// hash of both names, so that few change when replicas come and go, and each replica is in as
// many subsets as any other. The lock is held.
func (f *fleet) draw(now time.Duration) []*replica {
	type ranked struct {
		entry *api.Replica
		rank  uint64
	}
	var entries []ranked
	for _, entry := range f.listed {
		if entry.Spec.Service == f.service {
			entries = append(entries, ranked{entry, xxhash.Sum64String(f.proxy + "/" + entry.Name)})
		}
	}
	if len(entries) > subsetSize {
		slices.SortFunc(entries, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
		entries = entries[:subsetSize]
	}
	subset := make([]*replica, 0, len(entries))
	for _, drawn := range entries {
		subset = append(subset, f.use(drawn.entry, now))
	}
	slices.SortFunc(subset, func(a, b *replica) int { return cmp.Compare(a.name, b.name) })
	return subset
}
