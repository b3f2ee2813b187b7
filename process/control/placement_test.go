package control

import (
	"maps"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
)

// modelView returns a view with one model service and, unless its name is empty, one replica.
func modelView(revision uint64, replica string) *view.History {
	shown := view.New()
	shown.Version.Revision = revision
	shown.Ingresses = map[string]*api.Ingress{api.IngressName: {Spec: api.IngressSpec{
		Services: []api.RouteService{{Name: "chat", Model: &api.ModelSheet{}}, {Name: "plain"}},
	}}}
	shown.Replicas = map[string]*api.Replica{}
	if replica != "" {
		shown.Replicas[replica] = &api.Replica{Metadata: api.Metadata{Name: replica}, Spec: api.ReplicaSpec{Service: "chat", Slots: 4, Role: api.RoleDecode}}
	}
	return &view.History{View: shown, Floor: revision}
}

func TestOnlyModelServicesArePlaced(t *testing.T) {
	request := placement.Request{PromptTokens: 100, MaxOutputTokens: 10, Deadline: time.Second}
	cases := []struct {
		name, service, replica, generator string
		known                             bool
	}{
		{"model service", "chat", "r-1", "r-1", true},
		{"model service without replicas", "chat", "", "", true},
		{"plain service", "plain", "r-1", "", false},
		{"unknown service", "other", "r-1", "", false},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			boards := newPlacementBoards()
			answer, known := boards.place(modelView(1, each.replica), "proxy-1", feed.PlaceRequest{Service: each.service, Number: 1, Ask: request}, false, 0)
			must.Eq(t, each.known, known)
			must.Eq(t, each.generator, answer.Generator)
		})
	}
}

func TestPlacementFollowsView(t *testing.T) {
	boards := newPlacementBoards()
	request := feed.PlaceRequest{Service: "chat", Number: 1, Ask: placement.Request{PromptTokens: 100, MaxOutputTokens: 10, Deadline: time.Second}}
	for i, replica := range []string{"r-1", "r-2", "r-3"} {
		answer, _ := boards.place(modelView(uint64(i)+1, replica), "proxy-1", request, false, 0)
		must.Eq(t, replica, answer.Generator)
	}
}

func TestPlacementsAreCounted(t *testing.T) {
	m := newMetrics()
	m.observePlacement("chat", placement.Answer{Generator: "r-1", Estimate: time.Second}, true, time.Microsecond)
	m.observePlacement("chat", placement.Answer{}, true, time.Microsecond)
	m.observePlacement("other", placement.Answer{}, false, time.Microsecond)
	families, err := m.registry.Gather()
	must.NoError(t, err)
	counted := map[string]uint64{}
	for _, family := range families {
		for _, series := range family.GetMetric() {
			key := family.GetName()
			for _, label := range series.GetLabel() {
				key += " " + label.GetValue()
			}
			counted[key] = uint64(series.GetCounter().GetValue()) + series.GetHistogram().GetSampleCount()
		}
	}
	must.Eq(t, 1, counted["landingtrail_control_placements_total placed"])
	must.Eq(t, 1, counted["landingtrail_control_placements_total no_replica"])
	must.Eq(t, 1, counted["landingtrail_control_placements_total unknown_service"])
	must.Eq(t, 1, counted["landingtrail_control_placed_first_token_seconds chat"])
	must.Eq(t, 2, counted["landingtrail_control_placing_seconds chat"])
}

// The leader's tasks pass the view loaded at the start of their round, and proxies' requests the
// current one. If an older view replaced a newer one, the board would lose the requests placed on
// replicas that are missing from the older view or have another role in it.
func TestOlderViewIsIgnored(t *testing.T) {
	boards := newPlacementBoards()
	older, newer := modelView(1, "r-1"), modelView(2, "r-2")
	request := feed.PlaceRequest{Service: "chat", Number: 1, Ask: placement.Request{PromptTokens: 100, MaxOutputTokens: 10, Deadline: time.Second}}
	answer, _ := boards.place(newer, "proxy-1", request, false, 0)
	must.Eq(t, "r-2", answer.Generator)
	load := boards.serviceLoad(older, "chat", 0)
	must.Len(t, 1, load.Replicas)
	must.Eq(t, "r-2", load.Replicas[0].Name)
	boards.serviceLoad(newer, "chat", 0)
	must.False(t, boards.isIdle("chat", "r-2"))
}

// Applying only the changes must give the same state as applying each view as a whole.
func TestIncrementalUpdateMatchesRebuild(t *testing.T) {
	first := modelView(1, "r-1")
	changed := func(revision uint64, change func(v *view.View), keys ...api.Key) *view.History {
		next := *first.View
		next.Version.Revision = revision
		next.Replicas = maps.Clone(first.View.Replicas)
		change(&next)
		history := &view.History{View: &next, Changes: first.Changes}
		for _, key := range keys {
			history.Changes = append(history.Changes, view.Change{Revision: revision, Key: key})
		}
		first = history
		return history
	}
	replica := func(name, service string, leaving bool) *api.Replica {
		return &api.Replica{Metadata: api.Metadata{Name: name}, Spec: api.ReplicaSpec{Service: service, Slots: 4, Role: api.RoleDecode, Leaving: leaving}}
	}
	key := func(name string) api.Key { return api.Key{Kind: api.KindReplica, Name: name} }
	boards := newPlacementBoards()
	boards.update(first)
	steps := []*view.History{
		changed(2, func(v *view.View) { v.Replicas["r-2"] = replica("r-2", "chat", false) }, key("r-2")),
		changed(3, func(v *view.View) { v.Replicas["r-1"] = replica("r-1", "chat", true) }, key("r-1")),
		changed(4, func(v *view.View) { v.Replicas["r-2"] = replica("r-2", "plain", false) }, key("r-2")),
		changed(5, func(v *view.View) { delete(v.Replicas, "r-1"); v.Replicas["r-3"] = replica("r-3", "chat", false) }, key("r-1"), key("r-3")),
	}
	for _, step := range steps {
		boards.update(step)
		whole := newPlacementBoards()
		whole.update(&view.History{View: step.View, Floor: step.View.Version.Revision})
		must.Eq(t, whole.serviceLoad(step, "chat", 0).Replicas, boards.serviceLoad(step, "chat", 0).Replicas, must.Sprint(step.View.Version))
	}
}
