// Package view distributes versions of the replicated state from the leader of the
// control group to daemons, which are the processes that act on the state, such as
// proxies. It provides an immutable View that is replaced as a whole, deltas that lead
// only to later versions, and a lease that bounds how long a daemon may use its view
// without an answer of the leader to a heartbeat.
//
// A version is in force once every daemon with a valid lease holds that version or a
// later one.
//
// Guarantees: the version that a Holder returns never goes back, and no change
// between two of its versions is missed. Once a Tracker reports a version as in
// force, no daemon uses an older one under a lease.
package view

import (
	"github.com/landingtrail/landingtrail/version/api"
)

// Version identifies a version of the view. A view with a higher revision replaces one
// with a lower revision. A later revision never has a lower term.
type Version struct {
	Term     uint64 // Raft term of the entry with the log index Revision
	Revision uint64 // log index of the last entry that changed an object
}

// View is one version of all objects. It is immutable once built: a Holder
// replaces the pointer, and readers keep the view they loaded.
type View struct {
	Version  Version
	Intents  map[string]*api.Intent
	Engines  map[string]*api.Engine
	Services map[string]*api.Service
	Classes  map[string]*api.Class
	Tenants  map[string]*api.Tenant
	// Ingresses holds at most one Ingress, the configuration of the HTTP routes.
	Ingresses map[string]*api.Ingress
	Replicas  map[string]*api.Replica
	Proxies   map[string]*api.Proxy
	Members   map[string]*api.Member
	// Quarantines holds the requests during which replicas terminated, by fingerprint.
	Quarantines map[string]*api.Quarantine
	// RouteTenants holds the tenants of the Ingress by name.
	RouteTenants map[string]*api.RouteTenant
	// Capacities holds the wanted numbers of replicas, one object per service and zone.
	Capacities map[string]*api.Capacity
	// Suspects holds the requests during which one replica terminated recently, by
	// fingerprint. A suspect may become a Quarantine of the same name.
	Suspects map[string]*api.Suspect
}

// Delta holds the changes from one version to a later one. With Full set it holds the
// whole view, and From is zero.
type Delta struct {
	From    Version
	To      Version
	Full    bool
	Objects []api.Object
	Removed []api.Key
}
