package control

import (
	"context"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// FleetSource is where the leader learns of the replicas of routed services.
type FleetSource interface {
	// Replicas returns all replicas that are listed now. The list may lag.
	Replicas(ctx context.Context) (FleetList, error)
}

// FleetList is a list of replicas as it was read.
type FleetList struct {
	Replicas []api.Replica
	// Foreign says of each entry that names no replica what is wrong with it. Others write
	// to the list as well, and their entries take nothing from the rest.
	Foreign []string
}

// missesToRemove is how many lists in a row must lack a replica before it is
// taken for gone: pages of one list are read at different moments, so a single
// list may lack a replica that only moved between pages.
const missesToRemove = 2

// fleetReader reads the list while this member leads.
type fleetReader struct {
	config Config
	logger log.Logger
	// foreignEntries is the metric of entries that name no replica.
	foreignEntries prometheus.Gauge

	lock sync.Mutex
	// listed holds the replicas of the last list and those that were missed
	// fewer times than missesToRemove; nil while no list was read.
	listed map[string]listedReplica
	reads  uint64 // lists that were read in this leadership
	failed bool
	// foreign counts the entries of the last list that name no replica, by what is wrong.
	foreign map[string]int

	cancel context.CancelFunc
	done   sync.WaitGroup
}

type listedReplica struct {
	replica api.Replica
	missed  int
}

func newFleetReader(config Config, foreignEntries prometheus.Gauge, logger log.Logger) *fleetReader {
	return &fleetReader{config: config, foreignEntries: foreignEntries, logger: logger}
}

// start begins to read the list; nothing is known from an earlier leadership.
// changed is called after each list that differs from the one before.
func (f *fleetReader) start(changed func()) {
	if f.config.Fleet == nil {
		return
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	f.listed, f.reads, f.failed, f.foreign = nil, 0, false, nil
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.done.Go(func() { f.run(ctx, changed) })
}

func (f *fleetReader) stop() {
	if f.config.Fleet == nil {
		return
	}
	f.cancel()
	f.done.Wait()
}

func (f *fleetReader) run(ctx context.Context, changed func()) {
	for {
		asking, cancel := context.WithTimeout(ctx, f.config.Durations.EngineTimeout)
		list, err := f.config.Fleet.Replicas(asking)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if f.keep(list, err) {
			changed()
		}
		if !pause.For(ctx, f.config.Durations.PlatformPoll) {
			return
		}
	}
}

// keep takes a list in and reports whether it brought news. An empty list after
// one with replicas is taken for a fault: to believe it would take the whole
// fleet away at once.
func (f *fleetReader) keep(list FleetList, err error) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	replicas := list.Replicas
	if err == nil && len(replicas) == 0 && len(f.listed) > 0 {
		err = errors.New("control: the list of replicas is empty")
	}
	if err != nil {
		if !f.failed {
			event.FleetUnusable.Log(f.logger, "err", err)
		}
		f.failed = true
		return false
	}
	if f.failed {
		event.FleetReadable.Log(f.logger, "replicas", len(replicas))
	}
	f.failed = false
	f.recordForeign(list.Foreign)
	f.listed = mergeList(f.listed, replicas)
	f.reads++
	return true
}

// recordForeign tells once of entries that name no replica: again only when there are others.
func (f *fleetReader) recordForeign(faults []string) {
	counts := map[string]int{}
	for _, fault := range faults {
		counts[fault]++
	}
	f.foreignEntries.Set(float64(len(faults)))
	if maps.Equal(counts, f.foreign) {
		return
	}
	f.foreign = counts
	event.FleetForeign.Log(f.logger, "entries", len(faults), "faults", fmt.Sprint(counts))
}

// mergeList returns what is listed after another list was read.
func mergeList(previous map[string]listedReplica, replicas []api.Replica) map[string]listedReplica {
	next := make(map[string]listedReplica, len(replicas))
	for _, replica := range replicas {
		next[replica.Name] = listedReplica{replica: replica}
	}
	for name, known := range previous {
		if _, found := next[name]; !found && known.missed+1 < missesToRemove {
			known.missed++
			next[name] = known
		}
	}
	return next
}

// replicas returns what is listed, and how many lists were read so far.
func (f *fleetReader) replicas() (listed map[string]listedReplica, reads uint64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.listed, f.reads
}

// proxyDiffInterval is the least time between two looks at which proxies there are. Proxies that come
// together are one change then: each of a thousand would else be told to all others.
const proxyDiffInterval = 100 * time.Millisecond

// tendFleet commits what differs between the fleet as it is seen and as it is
// recorded: the replicas on the list, and the proxies that take requests.
func (d *duties) tendFleet(ctx context.Context, term *termDuties) {
	if d.group.config.Fleet == nil {
		return // no services are routed
	}
	current := d.group.machine.view()
	var seen state.Observe
	listed, reads := d.fleet.replicas()
	compared := comparedListOf(reads, current)
	if reads > 0 && compared != term.comparedList {
		diffReplicas(&seen, current, listed)
		if len(seen.Put)+len(seen.Removed) == 0 {
			term.comparedList = compared
		}
	}
	if now := monotonic(); now >= term.nextProxies {
		term.nextProxies = now + proxyDiffInterval
		silence := d.group.config.Durations.ProxySilence
		heard := d.group.presence.heardSince(now - silence)
		// Proxies of an earlier leadership get time to find this member.
		diffProxies(&seen, current, heard, now-term.startedAt >= silence)
	}
	diffMembers(&seen, current, d.group.machine.members())
	if len(seen.Put) == 0 && len(seen.Removed) == 0 {
		return
	}
	_, err := d.group.propose(ctx, state.Command{Kind: state.CommandObserve, Observe: &seen})
	event.FleetChanged.Log(d.logger, "put", keysText(keysOf(seen.Put)), "removed", keysText(seen.Removed), "err", err)
}

// maxLoggedKeys bounds the objects that one log line names.
const maxLoggedKeys = 32

// keysText names the first of the keys, and how many more there are.
func keysText(keys []api.Key) string {
	if len(keys) <= maxLoggedKeys {
		return fmt.Sprint(keys)
	}
	return fmt.Sprintf("%v and %d more", keys[:maxLoggedKeys], len(keys)-maxLoggedKeys)
}

func keysOf(objects []api.Object) []api.Key {
	keys := make([]api.Key, 0, len(objects))
	for _, object := range objects {
		key, _ := object.Key()
		keys = append(keys, key)
	}
	return keys
}

// diffReplicas adds what differs between the list and the view, by name.
func diffReplicas(seen *state.Observe, current *view.View, listed map[string]listedReplica) {
	var put []api.Object
	for name, entry := range listed {
		replica := entry.replica
		if recorded := current.Replicas[name]; recorded != nil && equalReplica(&recorded.Spec, &replica.Spec) {
			continue
		}
		replica.Metadata = api.Metadata{Name: name}
		put = append(put, api.Object{Replica: &replica})
	}
	slices.SortFunc(put, func(a, b api.Object) int { return strings.Compare(a.Replica.Name, b.Replica.Name) })
	var removed []api.Key
	for name := range current.Replicas {
		if _, found := listed[name]; !found {
			removed = append(removed, api.Key{Kind: api.KindReplica, Name: name})
		}
	}
	slices.SortFunc(removed, func(a, b api.Key) int { return strings.Compare(a.Name, b.Name) })
	seen.Put = append(seen.Put, put...)
	seen.Removed = append(seen.Removed, removed...)
}

// comparedList remembers which list and which replicas of the view were found to be equal, so
// that rounds in which neither has changed cost nothing, however many replicas there are.
type comparedList struct {
	reads    uint64
	replicas uintptr
}

// comparedListOf names the list that was read so many times and the view's replicas. Views
// share the map of replicas until one changes.
func comparedListOf(reads uint64, current *view.View) comparedList {
	return comparedList{reads: reads, replicas: reflect.ValueOf(current.Replicas).Pointer()}
}

func equalReplica(a, b *api.ReplicaSpec) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots &&
		a.Leaving == b.Leaving && a.Role == b.Role && a.Born == b.Born && a.Withdrawable == b.Withdrawable && slices.Equal(a.Models, b.Models)
}

// diffMembers keeps the members that daemons may follow equal to those recorded.
func diffMembers(seen *state.Observe, current *view.View, members []state.Member) {
	recorded := map[string]bool{}
	for _, member := range members {
		name := strconv.FormatUint(member.ID, 16)
		recorded[name] = true
		wanted := api.MemberSpec{FeedAddress: member.FeedAddress, OperatorAddress: member.OperatorAddress}
		if known := current.Members[name]; known != nil && known.Spec == wanted {
			continue
		}
		seen.Put = append(seen.Put, api.Object{Member: &api.Member{Metadata: api.Metadata{Name: name}, Spec: wanted}})
	}
	for _, name := range slices.Sorted(maps.Keys(current.Members)) {
		if !recorded[name] {
			seen.Removed = append(seen.Removed, api.Key{Kind: api.KindMember, Name: name})
		}
	}
}

// diffProxies adds the proxies that are ready and removes those that say that they
// stop, and, when settled, those that say nothing. One that is recorded and only starts
// again is ready before callers would have found another one: to remove it would, after
// a stop of everything, leave callers with nobody to go to.
func diffProxies(seen *state.Observe, current *view.View, heard map[string]feed.Presence, settled bool) {
	for _, name := range slices.Sorted(maps.Keys(heard)) {
		presence := heard[name]
		wanted := api.ProxySpec{Address: presence.Address, Zone: presence.Zone}
		recorded := current.Proxies[name]
		if !presence.Ready || recorded != nil && recorded.Spec == wanted {
			continue
		}
		seen.Put = append(seen.Put, api.Object{Proxy: &api.Proxy{Metadata: api.Metadata{Name: name}, Spec: wanted}})
	}
	for _, name := range slices.Sorted(maps.Keys(current.Proxies)) {
		presence, spoke := heard[name]
		if spoke && presence.Stopping || !spoke && settled {
			seen.Removed = append(seen.Removed, api.Key{Kind: api.KindProxy, Name: name})
		}
	}
}
