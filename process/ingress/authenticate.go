package ingress

import (
	"net/http"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

// Confirmer tells how long ago a leader last confirmed the view; implemented by *view.Holder.
type Confirmer interface {
	// SinceConfirmed returns the time since the last heartbeat that was answered by a leader was
	// sent; before the first one, the time since the clock's zero.
	SinceConfirmed(now time.Duration) time.Duration
}

var _ Confirmer = (*view.Holder)(nil)

// confirmedShare is the share of Keys.RevokeWithin after which a proxy that fails closed stops
// accepting keys with an unconfirmed view. The rest allows for clocks that run at different speeds
// and for late timers.
const confirmedShare = 0.8

// authenticate determines the tenant of a call, before any state is created for the call; nil if
// none is needed. The decision holds until the request ends: a request whose key is revoked in the
// meantime is completed, and the next one, on the same connection or resuming the same stream, is
// refused.
func (i *Ingress) authenticate(routes *routeTable, route *api.Route, call *Call) (*api.RouteTenant, *localRefusal) {
	if !routes.keysRequired {
		return nil, nil
	}
	if !call.Credential.Present && route.Public {
		return nil, nil
	}
	if i.refusesKeys() {
		return nil, &localRefusal{status: http.StatusServiceUnavailable, cause: "keys_unconfirmed", retryAfter: minStartRetryAfter}
	}
	// A call with an unknown key is refused on every route, even a public one: its sender would
	// wrongly think that it was authenticated.
	if call.Credential.Key == "" {
		return nil, refusalUnknownKey
	}
	tenant := routes.keys.Find(call.Credential.Key)
	if tenant == nil {
		return nil, refusalUnknownKey
	}
	return tenant, nil
}

// refusalUnknownKey refuses a call whose key belongs to no tenant, or whose credential contains no
// valid key.
var refusalUnknownKey = &localRefusal{status: http.StatusUnauthorized, cause: "unknown_key"}

// refusesKeys reports whether this proxy accepts no keys for the time being, because the view is
// unconfirmed and a key may have been revoked.
func (i *Ingress) refusesKeys() bool {
	if !i.config.Keys.FailClosed || i.confirmer == nil {
		return false
	}
	return i.confirmer.SinceConfirmed(i.now()) > time.Duration(confirmedShare*float64(i.config.Keys.RevokeWithin))
}

// identify sets the fields that identify the call's tenant to replicas, erases its credential, and
// returns its priority: the tenant's if set, otherwise the route's. It changes nothing if keys are
// not required.
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
