package placement

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// A choice does not compare all replicas, since few of them can be the best one for a request. A
// replica that has parts of the prompt cached, or to which the daemon is connected, may cost less
// than others; among the rest of a zone, an idle one costs least. So the index orders the replicas
// of each zone and role by their work (see replica.work), and maps each part to the replicas that
// have it cached. It is updated with each event of a request, and the number of replicas that a
// choice examines does not grow with the service.
//
// Invariant: if no zone has more than maxPerGroup replicas of a role, nor more than maxAllHolders
// replicas that have a part cached, the choice equals the choice among all replicas.

// Limits on the replicas that one choice examines.
const (
	// maxPerGroup is the number of replicas of a zone and role compared if none is idle.
	maxPerGroup = 16
	// If at most maxAllHolders replicas of a zone have a part cached, all of them are examined.
	// If there are more, the first maxHoldersSearched of them are searched for up to
	// maxIdleHolders idle ones.
	maxAllHolders      = 16
	maxHoldersSearched = 48
	maxIdleHolders     = 4
	// maxIdleBySpeed is the number of idle replicas of a large group compared in a service that reports slowness.
	maxIdleBySpeed = 4
)

// workLevels is the number of distinct work levels; the last one includes all above it.
const workLevels = 64

// index holds the replicas of a board in the orders that a choice needs.
type index struct {
	groups map[groupKey]*group
	// groupsByZone holds the groups of each role by zone.
	groupsByZone [2][]*group
	// holders maps a part to the replicas that have it cached, sorted by zone and name.
	holders map[string][]*replica
	// pending maps a part to the replicas with a queued request that will cache it, sorted by
	// name.
	pending map[string][]*replica
	// choiceNumber is the number of the current choice of a shortlist. The choice records it in
	// the replicas that it examines.
	choiceNumber uint64
	// levelOf returns the work level of a replica.
	levelOf func(r *replica) int
}

type groupKey struct {
	zone string
	role Role
}

// group holds the replicas of one zone and role.
type group struct {
	zone string
	size int // number of replicas
	// Impaired replicas have recently failed a request, or announced that they will shut down;
	// see isImpaired.
	healthy, impaired ranking
}

// ranking holds replicas by level of work; the replicas of a level are sorted by name.
type ranking [workLevels][]*replica

// position is the place of a replica in the index; it is zero for a replica without one.
type position struct {
	group   *group
	ranking *ranking
	level   int
}

// newIndex returns an index without replicas.
func newIndex() *index {
	return &index{groups: map[groupKey]*group{}, holders: map[string][]*replica{}, pending: map[string][]*replica{}, levelOf: countLevel}
}

// byName compares replicas by name.
func byName(a, b *replica) int { return strings.Compare(a.Name, b.Name) }

// byZoneAndName compares replicas by zone and then by name.
func byZoneAndName(a, b *replica) int {
	if order := strings.Compare(a.Zone, b.Zone); order != 0 {
		return order
	}
	return byName(a, b)
}

// insertSorted adds the replica to the sorted list, unless one that compares equal is there.
func insertSorted(list []*replica, r *replica, compare func(a, b *replica) int) []*replica {
	pos, found := slices.BinarySearchFunc(list, r, compare)
	if found {
		return list
	}
	return slices.Insert(list, pos, r)
}

// removeSorted removes the replica from the sorted list if it is there.
func removeSorted(list []*replica, r *replica, compare func(a, b *replica) int) []*replica {
	pos, found := slices.BinarySearchFunc(list, r, compare)
	if !found || list[pos] != r {
		return list
	}
	return slices.Delete(list, pos, pos+1)
}

// ensureGroup returns the group of the zone and role, and creates it if needed.
func (x *index) ensureGroup(key groupKey) *group {
	known := x.groups[key]
	if known == nil {
		known = &group{zone: key.zone}
		x.groups[key] = known
		x.groupsByZone[key.role] = append(x.groupsByZone[key.role], known)
		slices.SortFunc(x.groupsByZone[key.role], func(a, b *group) int { return strings.Compare(a.zone, b.zone) })
	}
	return known
}

// work returns the number of requests queued on a prefill replica, or in flight on a decode replica.
func (r *replica) work() int {
	if r.Role == RolePrefill {
		return len(r.queue)
	}
	return len(r.running)
}

// countLevel returns the work level of a replica of a service whose replicas do not report their slowness.
func countLevel(r *replica) int { return min(r.work(), workLevels-1) }

// isImpaired reports whether the replica has failed and not succeeded often enough since, has
// announced that it will shut down, or has reached the limit of its ramp.
func (r *replica) isImpaired() bool {
	return r.announcedLeaving || r.failureRate >= impairedRate || r.isAtRampLimit(0)
}

// impairedRate is the failure rate from which a replica is impaired: it is then considered for a
// shortlist only after the healthy replicas of its group.
const impairedRate = 0.01

// move updates the position of the replica after a change of its work or state.
func (x *index) move(r *replica) {
	if r == nil || r.isRemoved {
		return
	}
	level := x.levelOf(r)
	target := x.ensureGroup(groupKey{r.Zone, r.Role})
	order := &target.healthy
	if r.isImpaired() {
		order = &target.impaired
	}
	if r.position == (position{target, order, level}) {
		return
	}
	x.unrank(r)
	order[level] = insertSorted(order[level], r, byName)
	target.size++
	r.position = position{target, order, level}
}

// unrank removes the replica from its group.
func (x *index) unrank(r *replica) {
	if from := r.position.ranking; from != nil {
		from[r.position.level] = removeSorted(from[r.position.level], r, byName)
		r.position.group.size--
	}
	r.position = position{}
}

// forget removes a replica that is no longer listed, with its cached and pending parts, for good.
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

// addHolder records that the replica has a part cached.
func (x *index) addHolder(r *replica, id string) {
	if !r.isRemoved {
		x.holders[id] = insertSorted(x.holders[id], r, byZoneAndName)
	}
}

// removeHolder records that the replica no longer has a part cached.
func (x *index) removeHolder(r *replica, id string) {
	left := removeSorted(x.holders[id], r, byZoneAndName)
	if len(left) == 0 {
		delete(x.holders, id)
		return
	}
	x.holders[id] = left
}

// addPending records that a queued request will cache a part on the replica.
func (x *index) addPending(r *replica, id string) {
	if !r.isRemoved {
		x.pending[id] = insertSorted(x.pending[id], r, byName)
	}
}

// removePending records that no queued request will cache a part on the replica.
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

// each calls visit for the replicas of a ranking, least work first, until visit returns false.
func (o *ranking) each(visit func(level int, r *replica) bool) {
	for level := range o {
		for _, r := range o[level] {
			if !visit(level, r) {
				return
			}
		}
	}
}

// shortlistBuilder collects the replicas of one role that are compared for one request.
type shortlistBuilder struct {
	board   *Board
	now     time.Duration
	role    Role
	request *Request
	found   []*replica
}

// shortlist returns the replicas of the role that are compared for the request, sorted by name. It
// starts a new choice in the index.
func (b *Board) shortlist(now time.Duration, role Role, request *Request, prefixHolders map[string]prefixHolder) []*replica {
	list := &shortlistBuilder{board: b, now: now, role: role, request: request}
	b.index.choiceNumber++
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
	list.addTrials()
	for _, zoneGroup := range b.index.groupsByZone[role] {
		list.addGroup(zoneGroup)
	}
	slices.SortFunc(list.found, byName)
	return list.found
}

// add adds the replica if it has the role and the request may go there. It reports whether the
// replica is on the shortlist, now or from an earlier call.
func (l *shortlistBuilder) add(r *replica) bool {
	if r == nil || r.Role != l.role || r.examinedInChoice == l.board.index.choiceNumber {
		return r != nil && r.shortlistedInChoice == l.board.index.choiceNumber
	}
	r.examinedInChoice = l.board.index.choiceNumber
	if !l.board.isUsable(l.now, r, l.request) {
		return false
	}
	r.shortlistedInChoice = r.examinedInChoice
	l.found = append(l.found, r)
	return true
}

// addHolders adds replicas of one zone that have a part of the prompt cached, as limited by
// maxAllHolders.
func (l *shortlistBuilder) addHolders(holders []*replica) {
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

// addGroup adds the replicas with the least work of one zone and role, healthy ones first. An
// idle healthy replica costs no more than any other of the zone that is neither connected to the
// daemon nor has a part of the prompt cached, so the search ends with it. In a service that reports slowness, a faster
// replica may cost less than an idle one, so that the search of a group of more than maxPerGroup ends with
// maxIdleBySpeed idle ones, and that of a smaller group includes all.
func (l *shortlistBuilder) addGroup(zoneGroup *group) {
	if l.board.ReportsSlowness() {
		l.addGroupBySpeed(zoneGroup)
		return
	}
	considered := 0
	isIdle := false // whether the last replica added is idle
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

// addGroupBySpeed implements addGroup for a service that reports slowness.
func (l *shortlistBuilder) addGroupBySpeed(zoneGroup *group) {
	considered, idle := 0, 0
	visit := func(_ int, r *replica) bool {
		if l.add(r) {
			considered++
			idle += boolToInt(r.work() == 0 && r.untrackedCount(l.now) == 0 && !r.isSuspected(l.now))
		}
		return zoneGroup.size <= maxPerGroup || idle < maxIdleBySpeed && considered < maxPerGroup
	}
	zoneGroup.healthy.each(visit)
	if zoneGroup.size <= maxPerGroup || idle == 0 {
		considered = 0
		zoneGroup.impaired.each(visit)
	}
}

// acceptsVersion reports whether the request may run at a software version.
func (a *Request) acceptsVersion(version string) bool {
	return a.SoftwareVersion == "" || a.SoftwareVersion == version
}

// isUsable reports whether the request may go to the replica.
func (b *Board) isUsable(now time.Duration, r *replica, request *Request) bool {
	return b.isUsableWithMemory(now, r, request) && b.hasMemoryFor(r, request)
}

// isUsableWithMemory reports whether the request may go to the replica if it has memory for it.
func (b *Board) isUsableWithMemory(now time.Duration, r *replica, request *Request) bool {
	return r.acceptsRequests(now) && !slices.Contains(request.Excluded, r.Name) && request.acceptsVersion(r.SoftwareVersion) && !b.isChanging(now, r) && b.isolation.allows(now, r, request)
}
