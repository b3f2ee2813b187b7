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

// FleetSource reads the platform's list of the replicas of routed services for the leader. The list
// is separate from the machine list, which covers engines and backends.
type FleetSource interface {
	// Replicas returns all replicas in the list. The list may lag behind the actual replicas.
	Replicas(ctx context.Context) (FleetList, error)
}

// FleetList is one read of the list of replicas.
type FleetList struct {
	Replicas []api.Replica
	// Invalid describes the fault of each entry that is not a replica. Other users of the platform
	// also write to the list, and their entries must not affect the valid ones.
	Invalid []string
}

// missesToRemove is the number of consecutive lists that must lack a replica before it counts as
// gone. The pages of a list are read at different moments, so a single list may lack a replica that
// only moved between pages.
const missesToRemove = 2

// fleetReader reads the list periodically while this member leads.
type fleetReader struct {
	config Config
	logger log.Logger
	// foreignEntries is the gauge of list entries that are not replicas.
	foreignEntries prometheus.Gauge

	lock sync.Mutex
	// listed holds the replicas of the last list, and those that were missing from fewer than
	// missesToRemove lists; nil until a list was read.
	listed map[string]listedReplica
	reads  uint64 // lists read in this term of leadership
	failed bool
	// foreign counts the entries of the last list that are not replicas, by fault.
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

// start begins to read the list, without any state from an earlier term of leadership. It calls
// changed after each successful read.
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
		requestCtx, cancel := context.WithTimeout(ctx, f.config.Durations.EngineTimeout)
		list, err := f.config.Fleet.Replicas(requestCtx)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if f.applyList(list, err) {
			changed()
		}
		if !pause.Sleep(ctx, f.config.Durations.PlatformPoll) {
			return
		}
	}
}

// applyList applies a list that was read, and reports whether it was usable. An empty list after
// one with replicas is treated as a fault: accepting it would remove all replicas at once.
func (f *fleetReader) applyList(list FleetList, err error) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	replicas := list.Replicas
	if err == nil && len(replicas) == 0 && len(f.listed) > 0 {
		err = errors.New("control: the replica list is empty")
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
	f.recordForeign(list.Invalid)
	f.listed = mergeList(f.listed, replicas)
	f.reads++
	return true
}

// recordForeign counts the entries that are not replicas, and logs them only when they have
// changed.
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

// mergeList returns the listed replicas after another list was read.
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

// replicas returns the listed replicas and the number of lists read so far.
func (f *fleetReader) replicas() (listed map[string]listedReplica, reads uint64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.listed, f.reads
}

// proxyDiffInterval is the minimum time between two comparisons of the proxies. It batches proxies
// that start together: each change is sent to every proxy, of which there may be a thousand.
const proxyDiffInterval = 100 * time.Millisecond

// manageFleet commits the differences between the observed and the recorded fleet: the listed
// replicas, the proxies that accept requests, and the members.
func (d *leaderTasks) manageFleet(ctx context.Context, term *termState) {
	if d.group.config.Fleet == nil {
		return // there are no routed services
	}
	current := d.group.machine.view()
	var changes state.Observe
	listed, reads := d.fleet.replicas()
	compared := comparedListOf(reads, current)
	if reads > 0 && compared != term.comparedList {
		diffReplicas(&changes, current, listed)
		if len(changes.Put)+len(changes.Removed) == 0 {
			term.comparedList = compared
		}
	}
	if now := monotonic(); now >= term.nextProxies {
		term.nextProxies = now + proxyDiffInterval
		silence := d.group.config.Durations.ProxySilence
		heard := d.group.presence.heardSince(now - silence)
		// Proxies that reported to the previous leader need time to find this member.
		diffProxies(&changes, current, heard, now-term.startedAt >= silence)
	}
	diffMembers(&changes, current, d.group.machine.members())
	if len(changes.Put) == 0 && len(changes.Removed) == 0 {
		return
	}
	_, err := d.group.propose(ctx, state.Command{Kind: state.CommandObserve, Observe: &changes})
	event.FleetChanged.Log(d.logger, "put", keysText(keysOf(changes.Put)), "removed", keysText(changes.Removed), "err", err)
}

// maxLoggedKeys bounds the number of objects named in one log line.
const maxLoggedKeys = 32

// keysText formats the first maxLoggedKeys keys and the number of the others.
func keysText(keys []api.Key) string {
	if len(keys) <= maxLoggedKeys {
		return fmt.Sprint(keys)
	}
	return fmt.Sprintf("%v and %d others", keys[:maxLoggedKeys], len(keys)-maxLoggedKeys)
}

func keysOf(objects []api.Object) []api.Key {
	keys := make([]api.Key, 0, len(objects))
	for _, object := range objects {
		key, _ := object.Key()
		keys = append(keys, key)
	}
	return keys
}

// diffReplicas adds the differences between the list and the view, sorted by name, to changes.
func diffReplicas(changes *state.Observe, current *view.View, listed map[string]listedReplica) {
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
	changes.Put = append(changes.Put, put...)
	changes.Removed = append(changes.Removed, removed...)
}

// comparedList identifies a list and a set of replicas that were found equal, so that rounds in
// which neither has changed need no comparison, however many replicas there are.
type comparedList struct {
	reads    uint64
	replicas uintptr
}

// comparedListOf identifies the list by the number of reads and the view's replicas by the address
// of their map, which views share until a replica changes.
func comparedListOf(reads uint64, current *view.View) comparedList {
	return comparedList{reads: reads, replicas: reflect.ValueOf(current.Replicas).Pointer()}
}

func equalReplica(a, b *api.ReplicaSpec) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots &&
		a.Leaving == b.Leaving && a.Role == b.Role && a.Born == b.Born && a.Withdrawable == b.Withdrawable &&
		a.SoftwareVersion == b.SoftwareVersion && slices.Equal(a.Models, b.Models)
}

// diffMembers adds the differences between the recorded members and those in the view, which
// daemons may subscribe to, to changes.
func diffMembers(changes *state.Observe, current *view.View, members []state.Member) {
	recorded := map[string]bool{}
	for _, member := range members {
		name := strconv.FormatUint(member.ID, 16)
		recorded[name] = true
		wanted := api.MemberSpec{FeedAddress: member.FeedAddress, OperatorAddress: member.OperatorAddress}
		if known := current.Members[name]; known != nil && known.Spec == wanted {
			continue
		}
		changes.Put = append(changes.Put, api.Object{Member: &api.Member{Metadata: api.Metadata{Name: name}, Spec: wanted}})
	}
	for _, name := range slices.Sorted(maps.Keys(current.Members)) {
		if !recorded[name] {
			changes.Removed = append(changes.Removed, api.Key{Kind: api.KindMember, Name: name})
		}
	}
}

// diffProxies adds what is to be recorded of the proxies to changes. Ready proxies are added.
// Removed are those that report that they are stopping and, if settled is true because proxies have
// had time to report to this leader, those that report nothing. A recorded proxy that is only
// restarting stays: it is ready again before its callers have found another one, and removing it
// after a restart of the whole system would leave callers without any proxy. One that reaches no
// replica is removed as long as others are ready. If none is, the replicas have failed rather than the
// links of all proxies, and no proxy is removed for it.
func diffProxies(changes *state.Observe, current *view.View, heard map[string]feed.Presence, settled bool) {
	for _, name := range slices.Sorted(maps.Keys(heard)) {
		presence := heard[name]
		wanted := api.ProxySpec{Address: presence.Address, Zone: presence.Zone}
		recorded := current.Proxies[name]
		if !presence.Ready || recorded != nil && recorded.Spec == wanted {
			continue
		}
		changes.Put = append(changes.Put, api.Object{Proxy: &api.Proxy{Metadata: api.Metadata{Name: name}, Spec: wanted}})
	}
	othersReady := false
	for _, presence := range heard {
		othersReady = othersReady || presence.Ready
	}
	for _, name := range slices.Sorted(maps.Keys(current.Proxies)) {
		presence, reported := heard[name]
		if reported && (presence.Stopping || presence.IsPartitioned() && othersReady) || !reported && settled {
			changes.Removed = append(changes.Removed, api.Key{Kind: api.KindProxy, Name: name})
		}
	}
}
