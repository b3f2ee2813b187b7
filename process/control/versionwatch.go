package control

import (
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/request/resume"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

// versionWatch knows of each service whether replicas of a single software version alone have been listed for as
// long as callers take streams up, so that a stream of which nothing is recorded can only have begun at that one. A
// process that has just started goes on from what an earlier one stored (versionrecord.go), or by the list that it
// recovered. It is safe for concurrent use.
type versionWatch struct {
	lock     sync.Mutex
	version  view.Version // of the view that was observed last
	replicas map[string]watchedReplica
	services map[string]*watchedVersions
	// pastUnknown is true if nothing is known of the time before knownSince.
	pastUnknown bool
	knownSince  time.Duration
}

// watchedReplica is what the watch keeps of a replica.
type watchedReplica struct{ service, version string }

// watchedVersions counts the listed replicas of a service by version. One without a version counts as another.
type watchedVersions struct {
	counts map[string]int
	// single is the version that was listed alone last.
	single string
	// mixed is true while replicas of several versions are listed.
	mixed bool
	// changed is true once another version than the listed ones has been listed; changedAt is when that ended.
	changed   bool
	changedAt time.Duration
}

func newVersionWatch() *versionWatch {
	return &versionWatch{replicas: map[string]watchedReplica{}, services: map[string]*watchedVersions{}}
}

// observe applies a view, and reports whether what is to be stored has changed.
func (w *versionWatch) observe(now time.Duration, current *view.History) (updated bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	delta, newer := current.DeltaSince(w.version)
	if !newer {
		return false
	}
	w.version = current.View.Version
	if delta.Full {
		w.replace(current.View.Replicas)
	} else {
		w.apply(delta)
	}
	for _, versions := range w.services {
		if versions.note(now) {
			updated = true
		}
	}
	return updated
}

// replace applies a complete list.
func (w *versionWatch) replace(listed map[string]*api.Replica) {
	for name := range w.replicas {
		if listed[name] == nil {
			w.remove(name)
		}
	}
	for _, replica := range listed {
		w.put(replica)
	}
}

func (w *versionWatch) apply(delta view.Delta) {
	for i := range delta.Objects {
		if replica := delta.Objects[i].Replica; replica != nil {
			w.put(replica)
		}
	}
	for _, key := range delta.Removed {
		if key.Kind == api.KindReplica {
			w.remove(key.Name)
		}
	}
}

func (w *versionWatch) put(replica *api.Replica) {
	w.remove(replica.Name)
	service := replica.Spec.Service
	if w.services[service] == nil {
		w.services[service] = &watchedVersions{counts: map[string]int{}}
	}
	w.replicas[replica.Name] = watchedReplica{service: service, version: replica.Spec.SoftwareVersion}
	w.services[service].counts[replica.Spec.SoftwareVersion]++
}

func (w *versionWatch) remove(name string) {
	known, found := w.replicas[name]
	if !found {
		return
	}
	delete(w.replicas, name)
	counts := w.services[known.service].counts
	counts[known.version]--
	if counts[known.version] == 0 {
		delete(counts, known.version)
	}
}

// note records when several versions, or another single one, were listed last. It reports whether what is to be stored
// has changed.
func (v *watchedVersions) note(now time.Duration) (updated bool) {
	single, wasSingle, wasMixed := v.singleVersion(), v.single, v.mixed
	v.mixed = len(v.counts) > 1
	if single != "" {
		v.single = single
	}
	replaced := single != "" && wasSingle != "" && single != wasSingle
	if replaced || wasMixed && !v.mixed {
		v.changed, v.changedAt = true, now
	}
	return v.mixed != wasMixed || v.single != wasSingle
}

// singleVersion returns the version that all listed replicas have; empty if there is none.
func (v *watchedVersions) singleVersion() string {
	if len(v.counts) != 1 {
		return ""
	}
	for version := range v.counts {
		return version
	}
	return ""
}

// only returns the version that was the only one of the service for a stream's lifetime; empty if there is none.
func (w *versionWatch) only(now time.Duration, service string) string {
	w.lock.Lock()
	defer w.lock.Unlock()
	versions := w.services[service]
	if versions == nil || versions.hasSeveral(now) || w.pastUnknown && now-w.knownSince < resume.Lifetime {
		return ""
	}
	return versions.singleVersion()
}

// anyHasSeveral reports whether callers may take up streams of several versions of any service.
func (w *versionWatch) anyHasSeveral(now time.Duration) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, versions := range w.services {
		if versions.hasSeveral(now) {
			return true
		}
	}
	return false
}

// hasSeveral reports whether callers may take up streams of several versions of the service.
func (v *watchedVersions) hasSeveral(now time.Duration) bool {
	return v.mixed || v.changed && now-v.changedAt < resume.Lifetime
}
