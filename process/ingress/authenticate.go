package ingress

import (
	"net/http"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

// Confirmer returns how long ago a leader last confirmed the view; implemented by *view.Holder.
type Confirmer interface {
	// SinceConfirmed returns the time since the sending of the last heartbeat that a leader has
	// answered.
	SinceConfirmed(now time.Duration) time.Duration
}

var _ Confirmer = (*view.Holder)(nil)

// confirmedShare is the share of Keys.RevokeWithin after which a proxy that fails closed stops
// accepting keys with an unconfirmed view. The rest allows for clock differences and late timers.
const confirmedShare = 0.8

// authenticate determines the tenant of a call before anything is stored or done for it; nil if
// none is needed. The decision holds until the request ends: a request whose key is revoked in
// the meantime is completed, and the next one, on the same connection or resuming the same
// stream, is refused.
func (i *Ingress) authenticate(routes *routeTable, route *api.Route, call *Call) (*api.RouteTenant, *localRefusal) {
	if !routes.keysRequired {
		return nil, nil
	}
	if !call.Credential.Given && route.Public {
		return nil, nil
	}
	if i.isUnconfirmed() {
		return nil, &localRefusal{status: http.StatusServiceUnavailable, cause: "keys_unconfirmed", retryAfter: minStartRetryAfter}
	}
	// A call with an unknown key is refused on every route, even a public one: its sender
	// believes to be authenticated and must learn otherwise.
	if call.Credential.Key == "" {
		return nil, errUnknownKey
	}
	tenant := routes.keys.Find(call.Credential.Key)
	if tenant == nil {
		return nil, errUnknownKey
	}
	return tenant, nil
}

// errUnknownKey refuses a call whose key belongs to no tenant.
var errUnknownKey = &localRefusal{status: http.StatusUnauthorized, cause: "unknown_key"}

// isUnconfirmed reports whether this proxy accepts no keys for the time being, because one may
// have been revoked without its knowledge.
func (i *Ingress) isUnconfirmed() bool {
	if !i.config.Keys.FailClosed || i.confirmer == nil {
		return false
	}
	return i.confirmer.SinceConfirmed(i.now()) > time.Duration(confirmedShare*float64(i.config.Keys.RevokeWithin))
}

// identify makes the call carry its tenant's identity on all further hops. The tenant's priority,
// if set, replaces the route's.
func (i *Ingress) identify(routes *routeTable, route *api.Route, call *Call, tenant *api.RouteTenant) (priority int) {
	if !routes.keysRequired {
		return route.Priority
	}
	name := ""
	priority = route.Priority
	if tenant != nil {
		name = tenant.Name
		if tenant.Spec.Priority != nil {
			priority = *tenant.Spec.Priority
		}
	}
	i.config.Dialect.Identify(call.Header, name)
	call.Caller, call.Tenant = name, name
	call.Credential = Credential{}
	return priority
}
