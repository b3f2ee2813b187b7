package ingress

import (
	"testing"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// overtakenViews calls overtake once, after a view was loaded and before the caller continues
// with it.
type overtakenViews struct {
	*viewHolder
	overtake func()
}

func (v *overtakenViews) Load() *view.View {
	loaded := v.viewHolder.Load()
	if overtake := v.overtake; overtake != nil {
		v.overtake = nil
		overtake()
	}
	return loaded
}

// A request that has loaded a view may be overtaken by another one that applies a newer view. The
// older view must not replace the newer one: neither the list of replicas, nor the state of
// replicas that it lacks, nor the routes.
func TestOlderViewDoesNotReplaceANewerOne(t *testing.T) {
	leaving, added := newFakeReplica(t, "r-1", answerOK), newFakeReplica(t, "r-2", answerOK)
	env := newTestEnv(t, leaving)
	views := &overtakenViews{viewHolder: env.views}
	env.ingress.views = views
	env.ingress.routes()
	env.views.set(func(*view.View) {}) // gives the next request a view to apply

	var state *replica
	views.overtake = func() {
		env.views.set(func(v *view.View) {
			first := replicaObject(leaving, "plain", api.RoleNone)
			first.Spec.Leaving = true
			v.Replicas = map[string]*api.Replica{leaving.name: first, added.name: replicaObject(added, "plain", api.RoleNone)}
			next := testIngress()
			next.Spec.Generation++
			next.Spec.Routes = next.Spec.Routes[1:]
			v.Ingresses = map[string]*api.Ingress{api.IngressName: next}
		})
		env.ingress.routes()
		state = env.ingress.upstreams.get("plain").find(added.name)
		must.NotNil(t, state)
	}
	env.ingress.routes()

	upstream := env.ingress.upstreams.get("plain")
	must.True(t, upstream.find(leaving.name).spec().Leaving)
	must.True(t, upstream.find(added.name) == state)
	must.Eq(t, testIngress().Spec.Generation+1, env.ingress.table.Load().routes.generation)
}
