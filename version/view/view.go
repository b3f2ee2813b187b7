package view

import (
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/version/api"
)

// Errors of Apply. In each case the view is unchanged.
var (
	// ErrGap is returned when the delta starts from a version other than the view's,
	// so that changes between the two could be missed.
	ErrGap = errors.New("view: delta starts from another version")
	// ErrStale is returned when the delta does not lead to a later version, or leads to
	// one of a lower term.
	ErrStale = errors.New("view: delta does not lead forward")
)

// Compare returns a negative number, zero or a positive number as v is older
// than, equal to or newer than w. Only the revision is compared, since no committed
// log index is assigned twice.
func (v Version) Compare(w Version) int {
	switch {
	case v.Revision < w.Revision:
		return -1
	case v.Revision > w.Revision:
		return 1
	}
	return 0
}

// IsZero reports whether v is the version of an empty view.
func (v Version) IsZero() bool { return v == Version{} }

// New returns an empty view of version zero.
func New() *View {
	return &View{
		Intents:   map[string]*api.Intent{},
		Engines:   map[string]*api.Engine{},
		Services:  map[string]*api.Service{},
		Classes:   map[string]*api.Class{},
		Tenants:   map[string]*api.Tenant{},
		Ingresses: map[string]*api.Ingress{},
		Replicas:  map[string]*api.Replica{},
		Proxies:   map[string]*api.Proxy{},
		Members:   map[string]*api.Member{},

		Quarantines:  map[string]*api.Quarantine{},
		RouteTenants: map[string]*api.RouteTenant{},
		Capacities:   map[string]*api.Capacity{},
		Suspects:     map[string]*api.Suspect{},
	}
}

// Apply returns the view with the delta applied and leaves v unchanged. The result
// shares with v the objects and the maps that the delta does not change, which is
// safe because neither is written to again.
//
// Invariant: the result's version is later than v's, and its objects are those of
// that version. A partial delta must start exactly from v's version, and a full one
// replaces everything, so no change can be missed. Both must lead to a later version,
// so late or repeated deltas change nothing. Objects and keys of unknown kinds are
// ignored.
func (v *View) Apply(d Delta) (*View, error) {
	if d.To.Compare(v.Version) <= 0 || d.To.Term < v.Version.Term {
		return nil, ErrStale
	}
	if !d.Full && d.From != v.Version {
		return nil, ErrGap
	}
	next := *v
	if d.Full {
		next = *New()
	}
	next.Version = d.To
	next.copyChangedMaps(d)
	for _, o := range d.Objects {
		next.putObject(o)
	}
	for _, key := range d.Removed {
		next.removeObject(key)
	}
	return &next, nil
}

// Object returns the object with the key.
func (v *View) Object(key api.Key) (api.Object, bool) {
	objects := v.table(key.Kind)
	if objects == nil {
		return api.Object{}, false
	}
	return objects.get(key.Name)
}

// Full returns the full delta of v, with the objects in the order of their kinds and
// names.
func (v *View) Full() Delta {
	d := Delta{To: v.Version, Full: true}
	for _, kind := range api.Kinds {
		d.Objects = append(d.Objects, v.List(kind)...)
	}
	return d
}

// copyChangedMaps replaces the maps that the delta writes to by copies.
func (v *View) copyChangedMaps(d Delta) {
	changed := map[api.Kind]bool{}
	for _, o := range d.Objects {
		if key, ok := o.Key(); ok {
			changed[key.Kind] = true
		}
	}
	for _, key := range d.Removed {
		changed[key.Kind] = true
	}
	for kind := range changed {
		if objects := v.table(kind); objects != nil {
			objects.cloneMap()
		}
	}
}

func (v *View) putObject(o api.Object) {
	key, _ := o.Key()
	if objects := v.table(key.Kind); objects != nil {
		objects.put(key.Name, o)
	}
}

func (v *View) removeObject(key api.Key) {
	if objects := v.table(key.Kind); objects != nil {
		objects.remove(key.Name)
	}
}
