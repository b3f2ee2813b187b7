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

// idleRetention is how long the state of a replica is kept after its last request.
const idleRetention = 5 * time.Minute

// listing is the list of replicas of all services in the view, by name: all replicas of a small
// service, and this proxy's subset of a large one.
type listing map[string]*api.Replica

// fleet holds the replicas of one service. It keeps no state for a listed replica before its first
// use, so that memory, and the cost of a change of the list, grow with the replicas in use and not
// with the size of the service. If this proxy chooses replicas by itself, all listed ones are in
// use.
type fleet struct {
	service  string
	pool     *exchange.Pool
	holdoffs *holdoff.Table
	// lookupUnlisted returns the entry of a replica that is not listed but that an answer of the
	// control group has named as the place for a request, or nil.
	lookupUnlisted func(name string) *api.Replica

	lock    sync.Mutex
	listed  listing
	tracked map[string]*replica // replicas in use
	// listedReplicas holds all listed replicas of the service, sorted by name; nil until choices
	// is called.
	listedReplicas []*replica
	// softwareVersions holds the versions of the listed replicas, by their hashes.
	softwareVersions map[uint64]string
	// listsReplicas is true if any replica of the service is listed.
	listsReplicas bool
	ramps         *rampContext // nil for no ramps
	// newlyListed holds the replicas that were listed lately, until they are used.
	newlyListed map[string]newListing
}

func newFleet(service string, pool *exchange.Pool, holdoffs *holdoff.Table, lookupUnlisted func(name string) *api.Replica) *fleet {
	if lookupUnlisted == nil {
		lookupUnlisted = func(string) *api.Replica { return nil }
	}
	return &fleet{service: service, pool: pool, holdoffs: holdoffs, lookupUnlisted: lookupUnlisted, tracked: map[string]*replica{}}
}

// entry returns the replica's entry in the list or from an answer of the control group, nil if
// there is none. The caller must hold the lock.
func (f *fleet) entry(name string) *api.Replica {
	entry := f.listed[name]
	if entry == nil {
		entry = f.lookupUnlisted(name)
	}
	if entry == nil || entry.Spec.Service != f.service {
		return nil
	}
	return entry
}

// update applies a newer listing. The state of a replica that is gone is dropped and its idle
// connections are closed; so is the state of one that is idle. A replica whose entry has changed
// keeps its state.
func (f *fleet) update(listed listing, now time.Duration) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.recordNewListings(listed, now)
	f.listed, f.listedReplicas = listed, nil
	f.softwareVersions = softwareVersionsOf(f.service, listed)
	f.listsReplicas = listsReplicas(f.service, listed)
	for name, current := range f.tracked {
		entry := f.entry(name)
		switch {
		case entry == nil:
			f.drop(current, now)
		case current.isIdle(now) && !f.pool.HasIdle(entry.Spec.Address):
			current.dropRamp(now)
			delete(f.tracked, name)
		default:
			f.track(entry, now)
		}
	}
}

// drop removes a replica that is gone. The caller must hold the lock.
func (f *fleet) drop(gone *replica, now time.Duration) {
	gone.dropRamp(now)
	f.pool.Drop(gone.spec().Address)
	delete(f.tracked, gone.name)
}

// track applies the entry of a replica and returns the replica's state. The state is new on first
// use, or if the entry belongs to another process than before. The caller must hold the lock.
func (f *fleet) track(entry *api.Replica, now time.Duration) *replica {
	current := f.tracked[entry.Name]
	if current != nil && !isSameProcess(current.spec(), &entry.Spec) {
		f.drop(current, now)
		current = nil
	}
	pauseState := f.holdoffs.ObserveListed(entry.Name, processOf(entry), now)
	if current == nil {
		current = newReplica(entry.Name, entry.Spec, pauseState)
		current.usedAt, current.ramps = now, f.ramps
		f.tracked[entry.Name] = current
		f.beginRampOf(current, now)
	}
	current.currentSpec.Store(&entry.Spec)
	return current
}

func processOf(entry *api.Replica) holdoff.Process {
	return holdoff.Process{Address: entry.Spec.Address, Born: entry.Spec.Born}
}

// isSameProcess reports whether the state of a replica remains valid for its new entry. The state
// of a restarted replica is dropped, and its connections are closed.
func isSameProcess(before, now *api.ReplicaSpec) bool {
	return before.Address == now.Address && !now.IsAnotherProcess(before)
}

// find returns the replica with that name if it is listed or was named, or nil.
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
	return f.track(entry, now)
}

// noteEndless records that a replica, if it still has state, sends without end.
func (f *fleet) noteEndless(name string, now time.Duration) {
	f.lock.Lock()
	current := f.tracked[name]
	f.lock.Unlock()
	if current != nil {
		current.noteEndless(now)
	}
}

// inUse returns the replicas with state, sorted by name.
func (f *fleet) inUse() []*replica {
	f.lock.Lock()
	defer f.lock.Unlock()
	used := make([]*replica, 0, len(f.tracked))
	for _, current := range f.tracked {
		used = append(used, current)
	}
	slices.SortFunc(used, func(a, b *replica) int { return cmp.Compare(a.name, b.name) })
	return used
}

// forEach calls visit for the listed replicas in any order, each with its state or nil, until
// visit returns false.
func (f *fleet) forEach(visit func(entry *api.Replica, current *replica) bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	for name, entry := range f.listed {
		if entry.Spec.Service == f.service && !visit(entry, f.tracked[name]) {
			return
		}
	}
}

// choices returns the replicas among which this proxy chooses by itself, that is, all listed ones,
// sorted by name. It creates the state of each.
func (f *fleet) choices(now time.Duration) []*replica {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.listedReplicas != nil {
		return f.listedReplicas
	}
	for _, entry := range f.listed {
		if entry.Spec.Service == f.service {
			f.listedReplicas = append(f.listedReplicas, f.track(entry, now))
		}
	}
	slices.SortFunc(f.listedReplicas, func(a, b *replica) int { return cmp.Compare(a.name, b.name) })
	return f.listedReplicas
}

// contact is how a replica was last reached. The zero value is that of one that was not used.
type contact struct {
	suspect bool          // it gave no response lately
	heardAt time.Duration // when anything was last received from it; 0 for never
}

// compare orders replicas by how likely they can be reached, the most likely first.
func (c contact) compare(other contact) int {
	if c.suspect != other.suspect {
		if c.suspect {
			return 1
		}
		return -1
	}
	return cmp.Compare(other.heardAt, c.heardAt)
}

// contact returns how a replica was last reached.
func (f *fleet) contact(name string, now time.Duration) contact {
	f.lock.Lock()
	current := f.tracked[name]
	f.lock.Unlock()
	if current == nil {
		return contact{}
	}
	return current.contact(now)
}
