package ingress

import (
	"net/http"
	"time"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

// Confirmer tells how long ago a leader last confirmed the view; *view.Holder is one.
type Confirmer interface {
	// SinceConfirmed is the time since a heartbeat was sent that a leader has answered.
	SinceConfirmed(now time.Duration) time.Duration
}

var _ Confirmer = (*view.Holder)(nil)

// confirmedShare is the part of the time for which keys that are taken away may still be
// used, after which a proxy that fails closed stops taking keys by an unconfirmed view:
// the rest is for clocks that differ and timers that are late.
const confirmedShare = 0.8

// authenticate finds the tenant of a call, before anything is kept or done for it. The
// tenant is nil where none is needed. What it decides holds for the request to its end:
// one whose key is taken away meanwhile is seen through, and the next one on the same
// connection, or that takes up the same stream, is refused.
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
	// A key that is unknown runs nothing, on no route: who sends one believes to be
	// somebody, and is told so.
	if call.Credential.Key == "" {
		return nil, errUnknownKey
	}
	tenant := routes.keys.Find(call.Credential.Key)
	if tenant == nil {
		return nil, errUnknownKey
	}
	return tenant, nil
}

// errUnknownKey refuses a call whose key nobody has.
var errUnknownKey = &localRefusal{status: http.StatusUnauthorized, cause: "unknown_key"}

// isUnconfirmed reports whether this proxy takes no keys for the time being, since one may
// have been taken away that it knows nothing of.
func (i *Ingress) isUnconfirmed() bool {
	if !i.config.Keys.FailClosed || i.confirmer == nil {
		return false
	}
	return i.confirmer.SinceConfirmed(i.now()) > time.Duration(confirmedShare*float64(i.config.Keys.RevokeWithin))
}

// identify has the call speak for its tenant on every way that it takes from here on. The
// tenant's rank stands in for that of the route.
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
