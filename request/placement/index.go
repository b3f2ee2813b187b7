package placement

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// A request is not compared on every replica, since its cost depends on few of them. A replica
// that has parts of its prompt cached, or that its daemon is connected to, may be better than
// others; among the rest, an idle one costs least in its zone. So the index orders the replicas
// of each zone and role by their work, and maps each part to the replicas that have it. It is
// updated with each event of a request, and the number of replicas that a choice examines
// does not grow with the service.
//
// Invariant: if no zone has more than maxPerGroup replicas of a role, the choice equals the
// choice among all replicas.

// Limits on the replicas that one choice examines.
const (
	// maxPerGroup is the number of replicas of a zone and role compared if none is idle.
	maxPerGroup = 16
	// Up to maxAllHolders replicas of a zone that have a part are all examined. If there are
	// more, the first maxIdleHolders idle ones among the first maxHoldersSearched are.
	maxAllHolders      = 16
	maxHoldersSearched = 48
	maxIdleHolders     = 4
)

// workLevels is the number of distinct work levels; the last one includes all above it.
const workLevels = 64

// index holds the replicas of a board in the orders that a choice needs.
type index struct {
	groups map[groupKey]*group
	// groupsByZone holds the groups of each role by zone.
	groupsByZone [2][]*group
	// holders maps a part to the replicas that have it cached, by zone and name.
	holders map[string][]*replica
	// pending maps a part to the replicas with a queued request that will cache it, by name.
	pending map[string][]*replica
	// visit is the number of the current choice; replicas that it examined carry it.
	visit uint64
}

type groupKey struct {
	zone string
	role Role
}

// group holds the replicas of one zone and role.
type group struct {
	zone string
	// Both rankings are by work and then by name. Impaired replicas have recently failed a
	// request, or announced that they leave.
	healthy, impaired ranking
}

// ranking holds replicas by their amount of work, and each level by name.
type ranking [workLevels][]*replica

// position is the place of a replica in the index.
type position struct {
	group   *group
	ranking *ranking
	level   int
}

func newIndex() *index {
	return &index{groups: map[groupKey]*group{}, holders: map[string][]*replica{}, pending: map[string][]*replica{}}
}

func byName(a, b *replica) int { return strings.Compare(a.Name, b.Name) }

func byZoneAndName(a, b *replica) int {
	if order := strings.Compare(a.Zone, b.Zone); order != 0 {
		return order
	}
	return byName(a, b)
}

// insertSorted adds the replica to the sorted list; removeSorted removes it.
func insertSorted(list []*replica, r *replica, compare func(a, b *replica) int) []*replica {
	pos, found := slices.BinarySearchFunc(list, r, compare)
	if found {
		return list
	}
	return slices.Insert(list, pos, r)
}

func removeSorted(list []*replica, r *replica, compare func(a, b *replica) int) []*replica {
	pos, found := slices.BinarySearchFunc(list, r, compare)
	if !found || list[pos] != r {
		return list
	}
	return slices.Delete(list, pos, pos+1)
}

// group returns the group of the zone and role, and creates it if needed.
func (x *index) group(key groupKey) *group {
	known := x.groups[key]
	if known == nil {
		known = &group{zone: key.zone}
		x.groups[key] = known
		x.groupsByZone[key.role] = append(x.groupsByZone[key.role], known)
		slices.SortFunc(x.groupsByZone[key.role], func(a, b *group) int { return strings.Compare(a.zone, b.zone) })
	}
	return known
}

// work returns the number of requests queued on a reader, or in flight on a generator.
func (r *replica) work() int {
	if r.Role == RolePrefill {
		return len(r.queue)
	}
	return len(r.running)
}

// isImpaired reports whether the replica has recently failed or announced that it leaves.
func (r *replica) isImpaired() bool {
	return r.announcedLeaving || r.failureRate >= impairedRate
}

// impairedRate is the failure rate from which a replica is ranked after all that do not fail.
const impairedRate = 0.01

// move updates the position of the replica after a change of its work or state.
func (x *index) move(r *replica) {
	if r == nil || r.isRemoved {
		return
	}
	level := min(r.work(), workLevels-1)
	target := x.group(groupKey{r.Zone, r.Role})
	order := &target.healthy
	if r.isImpaired() {
		order = &target.impaired
	}
	if r.position == (position{target, order, level}) {
		return
	}
	x.unrank(r)
	order[level] = insertSorted(order[level], r, byName)
	r.position = position{target, order, level}
}

// unrank removes the replica from its group.
func (x *index) unrank(r *replica) {
	if from := r.position.ranking; from != nil {
		from[r.position.level] = removeSorted(from[r.position.level], r, byName)
	}
	r.position = position{}
}

// forget removes a replica that is no longer listed.
func (x *index) forget(r *replica) {
	x.unrank(r)
	r.isRemoved = true
	for id := range r.cache.parts {
		x.removeHolder(r, id)
	}
	for id := range r.cache.pending {
		x.removePending(r, id)
	}
}

// addHolder records that the replica has a part cached, removeHolder that it has not.
func (x *index) addHolder(r *replica, id string) {
	if !r.isRemoved {
		x.holders[id] = insertSorted(x.holders[id], r, byZoneAndName)
	}
}

func (x *index) removeHolder(r *replica, id string) {
	left := removeSorted(x.holders[id], r, byZoneAndName)
	if len(left) == 0 {
		delete(x.holders, id)
		return
	}
	x.holders[id] = left
}

// addPending records that a queued request will cache a part on the replica, removePending
// that none will.
func (x *index) addPending(r *replica, id string) {
	if !r.isRemoved {
		x.pending[id] = insertSorted(x.pending[id], r, byName)
	}
}

func (x *index) removePending(r *replica, id string) {
	left := removeSorted(x.pending[id], r, byName)
	if len(left) == 0 {
		delete(x.pending, id)
		return
	}
	x.pending[id] = left
}

// holdersByZone returns the holders of a part, grouped by zone.
func (x *index) holdersByZone(id string) [][]*replica {
	var zones [][]*replica
	rest := x.holders[id]
	for len(rest) > 0 {
		zone := rest[0].Zone
		end := sort.Search(len(rest), func(i int) bool { return rest[i].Zone > zone })
		zones = append(zones, rest[:end])
		rest = rest[end:]
	}
	return zones
}

// each calls visit for the replicas of a ranking, least work first, until it returns false.
func (o *ranking) each(visit func(level int, r *replica) bool) {
	for level := range o {
		for _, r := range o[level] {
			if !visit(level, r) {
				return
			}
		}
	}
}

// shortlist collects the replicas of one role that are compared for one request.
type shortlist struct {
	board   *Board
	now     time.Duration
	role    Role
	request *Ask
	found   []*replica
}

// shortlist returns the replicas of the role that are compared for the request, by name.
func (b *Board) shortlist(now time.Duration, role Role, request *Ask, prefixHolders map[string]prefixHolder) []*replica {
	list := &shortlist{board: b, now: now, role: role, request: request}
	b.index.visit++
	if request.Suspect && role == RoleDecode {
		for name := range b.isolation.isolated {
			list.add(b.replicas[name])
		}
		slices.SortFunc(list.found, byName)
		return list.found
	}
	for _, name := range request.Connected {
		list.add(b.replicas[name])
	}
	for _, known := range prefixHolders {
		list.add(known.replica)
	}
	for _, part := range request.Parts {
		for _, holders := range b.index.holdersByZone(part.ID) {
			list.addHolders(holders)
		}
	}
	for _, zoneGroup := range b.index.groupsByZone[role] {
		list.addGroup(zoneGroup)
	}
	slices.SortFunc(list.found, byName)
	return list.found
}

// add adds the replica if the request may go there. It reports whether the replica is on the
// list.
func (l *shortlist) add(r *replica) bool {
	if r == nil || r.Role != l.role || r.visited == l.board.index.visit {
		return r != nil && r.isListed == l.board.index.visit
	}
	r.visited = l.board.index.visit
	if !l.board.isUsable(l.now, r, l.request) {
		return false
	}
	r.isListed = r.visited
	l.found = append(l.found, r)
	return true
}

// addHolders adds replicas of one zone that have a part of the prompt cached.
func (l *shortlist) addHolders(holders []*replica) {
	if len(holders) <= maxAllHolders {
		for _, r := range holders {
			l.add(r)
		}
		return
	}
	added := 0
	for _, r := range holders[:min(len(holders), maxHoldersSearched)] {
		if added == maxIdleHolders {
			return
		}
		if r.Role == l.role && r.work() == 0 && l.add(r) {
			added++
		}
	}
}

// addGroup adds the replicas of one zone with the least work. An idle one costs no more than
// any other that is neither connected nor has a part cached, so it ends the search.
func (l *shortlist) addGroup(zoneGroup *group) {
	considered := 0
	isIdle := false
	zoneGroup.healthy.each(func(level int, r *replica) bool {
		if l.add(r) {
			considered++
			isIdle = level == 0 && r.untrackedCount(l.now) == 0 && !r.isSuspected(l.now)
		}
		return !isIdle && considered < maxPerGroup
	})
	if isIdle {
		return
	}
	considered = 0
	zoneGroup.impaired.each(func(_ int, r *replica) bool {
		if l.add(r) {
			considered++
		}
		return considered < maxPerGroup
	})
}

// isUsable reports whether the request may go to the replica.
func (b *Board) isUsable(now time.Duration, r *replica, request *Ask) bool {
	return r.acceptsRequests(now) && !slices.Contains(request.Excluded, r.Name) && !b.isChanging(now, r) && b.isolation.allows(now, r, request)
}
