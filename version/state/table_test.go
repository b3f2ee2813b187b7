package state

import (
	"testing"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// objectOfKind returns an object of the kind with the name.
func objectOfKind(t *testing.T, kind api.Kind, name string) api.Object {
	t.Helper()
	metadata := api.Metadata{Name: name}
	objects := map[api.Kind]api.Object{
		api.KindIntent:  {Intent: &api.Intent{Metadata: metadata}},
		api.KindEngine:  {Engine: &api.Engine{Metadata: metadata}},
		api.KindService: {Service: &api.Service{Metadata: metadata}},
		api.KindClass:   {Class: &api.Class{Metadata: metadata}},
		api.KindTenant:  {Tenant: &api.Tenant{Metadata: metadata}},
		api.KindIngress: {Ingress: &api.Ingress{Metadata: metadata}},
		api.KindReplica: {Replica: &api.Replica{Metadata: metadata}},
		api.KindProxy:   {Proxy: &api.Proxy{Metadata: metadata}},
		api.KindMember:  {Member: &api.Member{Metadata: metadata}},

		api.KindQuarantine:  {Quarantine: &api.Quarantine{Metadata: metadata}},
		api.KindRouteTenant: {RouteTenant: &api.RouteTenant{Metadata: metadata}},
		api.KindCapacity:    {Capacity: &api.Capacity{Metadata: metadata}},
		api.KindSuspect:     {Suspect: &api.Suspect{Metadata: metadata}},
	}
	object, known := objects[kind]
	must.True(t, known, must.Sprint(kind))
	return object
}

// Object, View and DeltaSince must cover every kind. If one of them omits a kind, its
// objects are never removed or never reach a daemon.
func TestMachineCoversEveryKind(t *testing.T) {
	for _, kind := range api.Kinds {
		t.Run(string(kind), func(t *testing.T) {
			m := New()
			m.term, m.index = 1, 1
			object := objectOfKind(t, kind, "a")
			key, _ := object.Key()
			m.put(object)
			got, found := m.Object(key)
			must.True(t, found)
			must.Eq(t, object, got)
			must.Eq(t, []api.Object{object}, m.View().List(kind))
			delta, newer := m.DeltaSince(view.Version{})
			must.True(t, newer)
			must.Eq(t, []api.Object{object}, delta.Objects)
			m.index = 2
			before := m.View()
			m.remove(key)
			must.Eq(t, []api.Object{}, m.View().List(kind))
			must.Eq(t, []api.Object{object}, before.List(kind), must.Sprint("an earlier view must not change"))
		})
	}
}
