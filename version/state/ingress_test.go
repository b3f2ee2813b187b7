package state

import (
	"testing"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func replaceCommand(generation uint64, source string) Command {
	return Command{Kind: CommandReplaceIngress, ReplaceIngress: &ReplaceIngress{
		Spec: api.IngressSpec{Generation: generation, Source: []byte(source)},
	}}
}

func TestHighestGenerationWins(t *testing.T) {
	m := New()
	steps := []struct {
		generation uint64
		source     string
		want       api.ReplaceResult
		wantSource string
	}{
		{5, "five", api.ReplaceResult{Code: api.ReplaceApplied, Generation: 5}, "five"},
		{5, "other", api.ReplaceResult{Code: api.ReplaceSuperseded, Generation: 5}, "five"},
		{3, "three", api.ReplaceResult{Code: api.ReplaceSuperseded, Generation: 5}, "five"},
		{9, "nine", api.ReplaceResult{Code: api.ReplaceApplied, Generation: 9}, "nine"},
		{5, "five", api.ReplaceResult{Code: api.ReplaceSuperseded, Generation: 9}, "nine"},
	}
	for i, step := range steps {
		result := m.Apply(1, uint64(i+1), replaceCommand(step.generation, step.source))
		must.Eq(t, step.want, result.(api.ReplaceResult))
		must.Eq(t, step.wantSource, string(m.IngressSource()))
	}
}

// The generation in force never decreases, and the content of a generation never
// changes, also across snapshots.
func TestGenerationNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		highest := uint64(0)
		content := map[uint64]string{}
		for index := uint64(1); index <= 30; index++ {
			generation := rapid.Uint64Range(1, 12).Draw(t, "generation")
			source := rapid.StringMatching("[a-z]{3}").Draw(t, "source")
			m.Apply(1, index, replaceCommand(generation, source))
			if rapid.Bool().Draw(t, "snapshot") {
				data, err := m.Snapshot()
				must.NoError(t, err)
				next := New()
				must.NoError(t, next.Restore(data))
				m = next
			}
			spec := m.View().Ingresses[api.IngressName].Spec
			must.GreaterEq(t, highest, spec.Generation)
			highest = spec.Generation
			if previous, found := content[highest]; found {
				must.Eq(t, previous, string(m.IngressSource()))
			}
			content[highest] = string(m.IngressSource())
		}
	})
}

func observeCommand(put []api.Object, removed ...api.Key) Command {
	return Command{Kind: CommandObserve, Observe: &Observe{Put: put, Removed: removed}}
}

func proxyObject(name, address string) api.Object {
	return api.Object{Proxy: &api.Proxy{Metadata: api.Metadata{Name: name}, Spec: api.ProxySpec{Address: address}}}
}

// A removal must find objects of every observed kind. Otherwise proxies that were shut
// down long ago remain listed.
func TestObserveStoresAndRemovesObjects(t *testing.T) {
	m := New()
	objects := []api.Object{
		proxyObject("p", "10.0.0.1:80"),
		{Replica: &api.Replica{Metadata: api.Metadata{Name: "r"}, Spec: api.ReplicaSpec{Service: "s"}}},
		{Member: &api.Member{Metadata: api.Metadata{Name: "m"}, Spec: api.MemberSpec{FeedAddress: "10.0.0.2:81"}}},
	}
	m.Apply(1, 1, observeCommand(objects))
	before := m.Version()
	var keys []api.Key
	for _, object := range objects {
		key, _ := object.Key()
		stored, found := m.Object(key)
		must.True(t, found, must.Sprint(key))
		must.Eq(t, 1, stored.Metadata().Revision)
		keys = append(keys, key)
	}
	m.Apply(1, 2, observeCommand(nil, keys...))
	for _, key := range keys {
		_, found := m.Object(key)
		must.False(t, found, must.Sprint(key))
	}
	delta, found := m.DeltaSince(before)
	must.True(t, found)
	must.SliceLen(t, len(keys), delta.Removed)
}

func TestObserveIgnoresOtherKinds(t *testing.T) {
	m := New()
	tenant := api.Object{Tenant: &api.Tenant{Metadata: api.Metadata{Name: "t"}}}
	m.Apply(1, 1, observeCommand([]api.Object{tenant, {}}))
	must.Eq(t, view.Version{}, m.Version())
	m.Apply(1, 2, replaceCommand(4, ""))
	m.Apply(1, 3, observeCommand(nil, api.Key{Kind: api.KindIngress, Name: api.IngressName}))
	must.MapLen(t, 1, m.View().Ingresses)
}

func TestTransactionsRejectUnwritableKinds(t *testing.T) {
	objects := []api.Object{
		{Ingress: &api.Ingress{Metadata: api.Metadata{Name: "ingress"}}},
		{Replica: &api.Replica{Metadata: api.Metadata{Name: "r"}}},
		proxyObject("p", ""),
		{Member: &api.Member{Metadata: api.Metadata{Name: "m"}}},
	}
	for _, object := range objects {
		for _, remove := range []bool{false, true} {
			m := New()
			transaction := &api.Transaction{OperationID: "o", Writes: []api.Write{{Object: object, Delete: remove}}}
			result := m.Apply(1, 1, Command{Kind: CommandTransaction, Transaction: transaction}).(api.TransactionResult)
			must.Eq(t, api.OutcomeInvalid, result.Code)
			must.SliceLen(t, 1, result.Faults)
		}
	}
}
