package ingress

import (
	"testing"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// overtakenViews is a holder whose next load is overtaken: what overtake does happens after
// the view was loaded and before the loader goes on.
type overtakenViews struct {
	*holder
	overtake func()
}

func (v *overtakenViews) Load() *view.View {
	loaded := v.holder.Load()
	if overtake := v.overtake; overtake != nil {
		v.overtake = nil
		overtake()
	}
	return loaded
}

// A request that has loaded a view is overtaken by another one, which takes a newer view in.
// The older view must not replace the newer one: neither what the list says of replicas, nor
// what was learnt of those that it lacks, nor the routes in force.
func TestOlderViewReplacesNoNewerOne(t *testing.T) {
	leaving, added := newFakeReplica(t, "r-1", answerOK), newFakeReplica(t, "r-2", answerOK)
	w := newWorld(t, leaving)
	views := &overtakenViews{holder: w.views}
	w.ingress.views = views
	w.ingress.routes()
	w.views.set(func(*view.View) {}) // so that the next request has a view to take in

	var learnt *replica
	views.overtake = func() {
		w.views.set(func(v *view.View) {
			first := listed(leaving, "plain", api.RoleNone)
			first.Spec.Leaving = true
			v.Replicas = map[string]*api.Replica{leaving.name: first, added.name: listed(added, "plain", api.RoleNone)}
			next := testIngress()
			next.Spec.Generation++
			next.Spec.Routes = next.Spec.Routes[1:]
			v.Ingresses = map[string]*api.Ingress{api.IngressName: next}
		})
		w.ingress.routes()
		learnt = w.ingress.upstreams.get("plain").find(added.name)
		must.NotNil(t, learnt)
	}
	w.ingress.routes()

	lane := w.ingress.upstreams.get("plain")
	must.True(t, lane.find(leaving.name).listed().Leaving)
	must.True(t, lane.find(added.name) == learnt)
	must.Eq(t, testIngress().Spec.Generation+1, w.ingress.table.Load().routes.generation)
}
