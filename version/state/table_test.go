package state

import (
	"testing"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// objectOfKind returns an object of the kind with the name.
func ofKind(t *testing.T, kind api.Kind, name string) api.Object {
	t.Helper()
	named := api.Metadata{Name: name}
	objects := map[api.Kind]api.Object{
		api.KindIntent:  {Intent: &api.Intent{Metadata: named}},
		api.KindEngine:  {Engine: &api.Engine{Metadata: named}},
		api.KindService: {Service: &api.Service{Metadata: named}},
		api.KindClass:   {Class: &api.Class{Metadata: named}},
		api.KindTenant:  {Tenant: &api.Tenant{Metadata: named}},
		api.KindIngress: {Ingress: &api.Ingress{Metadata: named}},
		api.KindReplica: {Replica: &api.Replica{Metadata: named}},
		api.KindProxy:   {Proxy: &api.Proxy{Metadata: named}},
		api.KindMember:  {Member: &api.Member{Metadata: named}},

		api.KindQuarantine:  {Quarantine: &api.Quarantine{Metadata: named}},
		api.KindRouteTenant: {RouteTenant: &api.RouteTenant{Metadata: named}},
		api.KindCapacity:    {Capacity: &api.Capacity{Metadata: named}},
		api.KindSuspect:     {Suspect: &api.Suspect{Metadata: named}},
	}
	made, known := objects[kind]
	must.True(t, known, must.Sprint(kind))
	return made
}

// Object, View and DeltaSince must cover every kind. If one of them omits a kind, its
// objects are never removed or never reach a daemon.
func TestMachineShowsEveryKind(t *testing.T) {
	for _, kind := range api.Kinds {
		t.Run(string(kind), func(t *testing.T) {
			m := New()
			m.term, m.index = 1, 1
			object := ofKind(t, kind, "a")
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
