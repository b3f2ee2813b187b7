package view

import (
	"testing"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// objectOfKind returns an object of the kind.
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

// Objects of a kind that views skip would be stored by the leader and reach no daemon.
func TestViewHoldsEveryKind(t *testing.T) {
	for _, kind := range api.Kinds {
		t.Run(string(kind), func(t *testing.T) {
			first, second := objectOfKind(t, kind, "b"), objectOfKind(t, kind, "a")
			filled, err := New().Apply(Delta{To: Version{Term: 1, Revision: 1}, Full: true, Objects: []api.Object{first, second}})
			must.NoError(t, err)
			must.Eq(t, []api.Object{second, first}, filled.List(kind))
			key, _ := first.Key()
			got, found := filled.Object(key)
			must.True(t, found)
			must.Eq(t, first, got)
			emptied, err := filled.Apply(Delta{From: filled.Version, To: Version{Term: 1, Revision: 2}, Removed: []api.Key{key}})
			must.NoError(t, err)
			must.Eq(t, []api.Object{second}, emptied.List(kind))
			must.Eq(t, []api.Object{second, first}, filled.List(kind), must.Sprint("the previous view is unchanged"))
		})
	}
	must.Nil(t, New().List("Other"))
	_, found := New().Object(api.Key{Kind: "Other", Name: "a"})
	must.False(t, found)
}
