package control

import (
	"slices"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

// placementBoards places the requests of model services. It has one board per service, the load
// model of the service's replicas with the requests of all proxies. Its state is in memory only: a
// new leader starts with empty boards and learns their contents within seconds.
type placementBoards struct {
	lock    sync.Mutex
	version view.Version
	boards  map[string]*placement.Board
}

func newPlacementBoards() *placementBoards {
	return &placementBoards{boards: map[string]*placement.Board{}}
}

// place answers a placement request according to the view, and returns false if the service has no
// board. alert is true while replicas of the service crash one after the other under some request.
func (d *placementBoards) place(current *view.History, daemon string, request feed.PlaceRequest, alert bool, now time.Duration) (placement.Answer, bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.update(current)
	board := d.boards[request.Service]
	if board == nil {
		return placement.Answer{}, false
	}
	if alert {
		board.RaiseAlert(now)
	}
	key := placement.Key{Daemon: daemon, Number: request.Number}
	return board.Place(now, key, request.Ask), true
}

// recordProgress records the progress of a placed request.
func (d *placementBoards) recordProgress(daemon string, progress feed.PlacementProgress, now time.Duration) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if board := d.boards[progress.Service]; board != nil {
		board.RecordProgress(now, placement.Key{Daemon: daemon, Number: progress.Number}, progress.Note)
	}
}

// addCachedParts records which prompt parts a replica has cached, according to a proxy.
func (d *placementBoards) addCachedParts(current *view.History, cached feed.CachedParts) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.update(current)
	if board := d.boards[cached.Service]; board != nil {
		board.AddCachedParts(cached.Replica, cached.Parts)
	}
}

// addInFlight adds the requests that a proxy already has in flight.
func (d *placementBoards) addInFlight(current *view.History, daemon string, inFlight feed.InFlight, now time.Duration) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.update(current)
	if board := d.boards[inFlight.Service]; board != nil {
		board.TakeOver(now, daemon, inFlight.Requests)
	}
}

// summaries returns the board summaries, by service, of the services that received placement
// requests since the previous call.
func (d *placementBoards) summaries(now time.Duration) map[string]placement.Summary {
	d.lock.Lock()
	defer d.lock.Unlock()
	summaries := map[string]placement.Summary{}
	for service, board := range d.boards {
		if summary := board.Summarize(now); summary.Answers != (placement.Answers{}) {
			summaries[service] = summary
		}
	}
	return summaries
}

// rampChanges returns the begins and ends of ramps since the previous call, by service, and the number of ramps in
// progress.
func (d *placementBoards) rampChanges(now time.Duration) (changes map[string]placement.RampChanges, ramping int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for service, board := range d.boards {
		latest, active := board.TakeRampChanges(now)
		ramping += active
		if len(latest.Changes) == 0 {
			continue
		}
		if changes == nil {
			changes = map[string]placement.RampChanges{}
		}
		changes[service] = latest
	}
	return changes, ramping
}

// update applies a view if it is newer than the last one applied; callers load their view before
// acquiring the lock, so views can arrive out of order. If the changes since the last view are
// known, only these are applied, so that the cost of a replica change does not depend on the
// number of replicas. The caller holds the lock.
func (d *placementBoards) update(current *view.History) {
	delta, newer := current.DeltaSince(d.version)
	if !newer {
		return
	}
	d.version = current.View.Version
	if delta.Full || touchesIngress(delta) {
		d.rebuild(current.View)
		return
	}
	for i := range delta.Objects {
		if replica := delta.Objects[i].Replica; replica != nil {
			d.putReplica(replica)
		}
	}
	for _, key := range delta.Removed {
		if key.Kind == api.KindReplica {
			d.removeReplica(key.Name)
		}
	}
}

// touchesIngress reports whether the services or their model parameters may have changed.
func touchesIngress(delta view.Delta) bool {
	return slices.ContainsFunc(delta.Objects, func(o api.Object) bool { return o.Ingress != nil })
}

// rebuild applies a complete view. Boards of services that no longer exist stay.
func (d *placementBoards) rebuild(current *view.View) {
	ingress := current.Ingresses[api.IngressName]
	if ingress == nil {
		return
	}
	listed := replicasByService(current)
	for i := range ingress.Spec.Services {
		service := &ingress.Spec.Services[i]
		if service.Model == nil {
			continue
		}
		board := d.boards[service.Name]
		if board == nil {
			board = placement.NewBoard()
			d.boards[service.Name] = board
		}
		board.SetReplicas(modelParameters(&ingress.Spec, service), listed[service.Name])
	}
}

// putReplica adds or updates a replica, whose service may have changed.
func (d *placementBoards) putReplica(entry *api.Replica) {
	for service, board := range d.boards {
		if service == entry.Spec.Service {
			board.Put(placementReplica(entry))
			continue
		}
		board.Remove(entry.Name)
	}
}

func (d *placementBoards) removeReplica(name string) {
	for _, board := range d.boards {
		board.Remove(name)
	}
}

func replicasByService(current *view.View) map[string][]placement.Replica {
	listed := map[string][]placement.Replica{}
	for _, entry := range current.Replicas {
		listed[entry.Spec.Service] = append(listed[entry.Spec.Service], placementReplica(entry))
	}
	return listed
}

// placementReplica converts a replica to the form that boards use.
func placementReplica(entry *api.Replica) placement.Replica {
	role := placement.RoleDecode
	if entry.Spec.Role == api.RolePrefill {
		role = placement.RolePrefill
	}
	return placement.Replica{
		Name: entry.Name, Zone: entry.Spec.Zone, Role: role, Slots: entry.Spec.Slots, Leaving: entry.Spec.Leaving,
		Born: entry.Spec.Born, SoftwareVersion: entry.Spec.SoftwareVersion,
	}
}

// modelParameters returns the configured model parameters of a service: the KV cache size in
// tokens, the bytes per token, the link speed in Mbit/s, and the shortest objective for the time
// between two output tokens among the routes that lead to the service.
func modelParameters(spec *api.IngressSpec, service *api.RouteService) placement.ServiceParameters {
	parameters := placement.ServiceParameters{
		KVTokens:      service.Model.KVTokens,
		BytesPerToken: service.Model.KVBytesPerTok,
		LinkMbps:      service.Model.LinkMbps,
	}
	for i := range spec.Routes {
		route := &spec.Routes[i]
		gap := time.Duration(route.GapMilliseconds) * time.Millisecond
		if gap > 0 && routesTo(route, service.Name) && (parameters.GapObjective == 0 || gap < parameters.GapObjective) {
			parameters.GapObjective = gap
		}
	}
	return parameters
}

func routesTo(route *api.Route, service string) bool {
	for _, backend := range route.Backends {
		if backend.Service == service {
			return true
		}
	}
	return false
}
