package ingress

import (
	"fmt"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/exchange"
	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// listingOf returns a list with the given number of replicas of each of two services.
func listingOf(size int) listing {
	listed := listing{}
	for i := range size {
		for _, service := range []string{"model", "plain"} {
			name := fmt.Sprintf("%s-%05d", service, i)
			spec := api.ReplicaSpec{Service: service, Address: name + ":1", Slots: 4}
			listed[name] = &api.Replica{Metadata: api.Metadata{Name: name}, Spec: spec}
		}
	}
	return listed
}

func newTestFleet(named func(string) *api.Replica) *fleet {
	return newFleet("model", exchange.NewPool(exchange.Config{}), holdoff.NewTable(holdoff.Config{}), named)
}

// A proxy keeps state only for replicas that it uses. Guards against memory use that grows with
// the number of listed replicas, and with it the work for each request and each change of the
// list.
func TestFleetKeepsStateOfUsedReplicasOnly(t *testing.T) {
	for _, size := range []int{100, 10_000} {
		f := newTestFleet(nil)
		f.update(listingOf(size), 0)
		for i := range 5 {
			must.NotNil(t, f.find(fmt.Sprintf("model-%05d", i), 0))
		}
		must.Nil(t, f.find("plain-00001", 0), must.Sprint("of another service"))
		must.Nil(t, f.find("gone", 0))
		must.SliceLen(t, 5, f.inUse())
		f.update(listingOf(size), idleRetention+1)
		must.MapEmpty(t, f.tracked, must.Sprint("the state of an idle replica is dropped"))
	}
}

func TestFleetFollowsTheList(t *testing.T) {
	f := newTestFleet(nil)
	listed := listingOf(3)
	f.update(listed, 0)
	kept, moved := f.find("model-00000", 0), f.find("model-00001", 0)
	gone := f.find("model-00002", 0)
	must.SliceLen(t, 3, f.choices(0))
	next := listingOf(2)
	next["model-00000"].Spec.Leaving = true
	next["model-00001"].Spec.Address = "elsewhere:1"
	f.update(next, 0)
	must.True(t, f.find("model-00000", 0) == kept && kept.spec().Leaving)
	must.False(t, f.find("model-00001", 0) == moved)
	must.Nil(t, f.find(gone.name, 0))
	must.SliceLen(t, 2, f.choices(0))
}

// The state of a replica is kept while a pause or departure that it announced is in effect.
func TestPausedOrLeavingReplicaIsKept(t *testing.T) {
	f := newTestFleet(nil)
	f.update(listingOf(2), 0)
	f.find("model-00000", 0).holdoff.Apply(0, time.Now(), holdoff.Restrictions{Leaving: true})
	f.update(listingOf(2), idleRetention+1)
	must.SliceLen(t, 1, f.inUse())
	must.True(t, f.inUse()[0].holdoff.IsLeaving())
}

// A replica that is not listed but was named by an answer of the control group is used like a
// listed one, with its entry from the last answer, but is no candidate for this proxy's own
// choices.
func TestNamedReplicasAreUsed(t *testing.T) {
	others := listingOf(2)
	f := newTestFleet(func(name string) *api.Replica { return others[name] })
	f.update(listing{}, 0)
	named := f.find("model-00001", 0)
	must.NotNil(t, named)
	must.Nil(t, f.find("plain-00001", 0))
	f.update(listing{}, 0)
	must.True(t, f.find("model-00001", 0) == named)
	must.SliceEmpty(t, f.choices(0))
	others = listingOf(2)
	others["model-00001"].Spec.Born = 7
	others["model-00001"].Spec.Address = "elsewhere:1"
	must.False(t, f.find("model-00001", 0) == named)
}
