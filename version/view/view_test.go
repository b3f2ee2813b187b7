package view

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/landingtrail/landingtrail/version/api"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func testEngine(name string, fence uint64) *api.Engine {
	o := &api.Engine{Metadata: api.Metadata{Name: name}}
	o.Status.Fence.Index = fence
	return o
}

// viewSequence is a leader's sequence of views with the latest changes.
type viewSequence struct {
	views   []*View
	history History
}

func newViewSequence() *viewSequence {
	return &viewSequence{views: []*View{New()}, history: History{View: New()}}
}

// addVersion adds a version in which random objects are written or removed.
func (v *viewSequence) addVersion(t *rapid.T) {
	last := v.views[len(v.views)-1]
	next := New()
	next.Version = Version{
		Term:     last.Version.Term + rapid.Uint64Range(0, 1).Draw(t, "term"),
		Revision: last.Version.Revision + rapid.Uint64Range(1, 3).Draw(t, "revision step"),
	}
	for name, o := range last.Engines {
		next.Engines[name] = o
	}
	for name, o := range last.Tenants {
		next.Tenants[name] = o
	}
	for range rapid.IntRange(1, 3).Draw(t, "changes") {
		key := api.Key{Kind: api.KindEngine, Name: rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "name")}
		switch rapid.IntRange(0, 3).Draw(t, "operation") {
		case 0:
			delete(next.Engines, key.Name)
		case 1:
			key.Kind = api.KindTenant
			next.Tenants[key.Name] = &api.Tenant{Metadata: api.Metadata{Name: key.Name, Revision: next.Version.Revision}}
		default:
			next.Engines[key.Name] = testEngine(key.Name, next.Version.Revision)
		}
		v.history.Changes = append(v.history.Changes, Change{Revision: next.Version.Revision, Key: key})
	}
	for len(v.history.Changes) > 12 {
		v.history.Floor = v.history.Changes[0].Revision
		v.history.Changes = v.history.Changes[1:]
	}
	v.history.View = next
	v.views = append(v.views, next)
}

// TestHolderVersionNeverGoesBack applies deltas that lagging servers computed from
// arbitrary versions. The deltas arrive late, repeated and out of order.
func TestHolderVersionNeverGoesBack(t *testing.T) {
	applied, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		leader, holder := newViewSequence(), NewHolder()
		byVersion := map[Version]*View{{}: New()}
		var histories []History
		var sent []Delta
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				leader.addVersion(t)
				histories = append(histories, leader.history)
				byVersion[leader.history.View.Version] = leader.history.View
			},
			"send": func(t *rapid.T) {
				if len(histories) == 0 {
					return
				}
				from := holder.Load().Version
				if rapid.IntRange(0, 3).Draw(t, "other base") == 0 {
					from = rapid.SampledFrom(leader.views).Draw(t, "base").Version
				}
				server := rapid.SampledFrom(histories).Draw(t, "server")
				if delta, ok := server.DeltaSince(from); ok {
					sent = append(sent, delta)
				}
			},
			"deliver": func(t *rapid.T) {
				if len(sent) == 0 {
					return
				}
				delta := rapid.SampledFrom(sent).Draw(t, "delta")
				before := holder.Load()
				if holder.Apply(delta) != nil {
					refused++
					must.True(t, before == holder.Load())
					return
				}
				applied++
				must.Positive(t, holder.Load().Version.Compare(before.Version))
				must.True(t, reflect.DeepEqual(byVersion[before.Version], before), must.Sprint("a view was modified"))
				must.True(t, reflect.DeepEqual(byVersion[delta.To], holder.Load()), must.Sprint("a view differs from the leader's"))
			},
		})
	})
	must.Positive(t, applied)
	must.Positive(t, refused)
}

func TestApplyErrors(t *testing.T) {
	base := &View{Version: Version{Term: 2, Revision: 10}}
	cases := []struct {
		name  string
		delta Delta
		want  error
	}{
		{"next", Delta{From: base.Version, To: Version{2, 11}}, nil},
		{"full", Delta{Full: true, To: Version{3, 20}}, nil},
		{"gap", Delta{From: Version{2, 11}, To: Version{2, 12}}, ErrGap},
		{"overlap", Delta{From: Version{2, 9}, To: Version{2, 12}}, ErrGap},
		{"other term of the base", Delta{From: Version{1, 10}, To: Version{2, 12}}, ErrGap},
		{"repeated", Delta{From: Version{2, 9}, To: base.Version}, ErrStale},
		{"backwards", Delta{From: base.Version, To: Version{3, 9}}, ErrStale},
		{"older full", Delta{Full: true, To: Version{2, 9}}, ErrStale},
		{"term down", Delta{From: base.Version, To: Version{1, 11}}, ErrStale},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			next, err := base.Apply(test.delta)
			must.ErrorIs(t, err, test.want)
			must.Eq(t, test.want == nil, next != nil)
		})
	}
}

func TestHolderLease(t *testing.T) {
	h := NewHolder()
	must.False(t, h.Valid(0))
	must.True(t, h.Confirm(time.Second, 3*time.Second, 5))
	must.True(t, h.Valid(4*time.Second-1))
	must.False(t, h.Valid(4*time.Second))
	must.True(t, h.Confirm(0, 3*time.Second, 5), must.Sprint("an answer that arrives out of order"))
	must.True(t, h.Valid(4*time.Second-1), must.Sprint("an earlier heartbeat must not shorten the lease"))
	must.False(t, h.Confirm(10*time.Second, 3*time.Second, 4), must.Sprint("an answer from a leader of an older term"))
	must.False(t, h.Valid(10*time.Second))
	must.NoError(t, h.Apply(Delta{Full: true, To: Version{Term: 6, Revision: 1}}))
	must.False(t, h.Confirm(10*time.Second, 3*time.Second, 5), must.Sprint("a newer term is known from a view"))
	must.NoError(t, h.Apply(Delta{From: Version{6, 1}, To: Version{Term: 6, Revision: 2}}))
}

func TestHolderConcurrentUse(t *testing.T) {
	h := NewHolder()
	var group sync.WaitGroup
	for writer := range 4 {
		group.Go(func() {
			for revision := uint64(1); revision < 500; revision++ {
				_ = h.Apply(Delta{Full: true, To: Version{Term: 1, Revision: revision}, Objects: []api.Object{{Engine: testEngine("e", revision)}}})
				h.Confirm(time.Duration(revision), time.Duration(writer), 1)
			}
		})
		group.Go(func() {
			var last Version
			for range 500 {
				v := h.Load()
				if v.Version.Compare(last) < 0 {
					panic("view went back")
				}
				last = v.Version
				h.Valid(0)
			}
		})
	}
	group.Wait()
	must.Eq(t, uint64(499), h.Load().Version.Revision)
	must.Eq(t, uint64(499), h.Load().Engines["e"].Status.Fence.Index)
}

func FuzzDecodeDelta(f *testing.F) {
	v := New()
	v.Version = Version{3, 9}
	v.Engines["e1"] = testEngine("e1", 4)
	v.Services["s"] = &api.Service{Metadata: api.Metadata{Name: "s", Labels: api.Labels{"a": "b", "c": "d"}}}
	full, _ := v.Full().AppendBinary(nil)
	f.Add(full)
	partial, _ := Delta{From: Version{1, 2}, To: Version{3, 9}, Removed: []api.Key{{Kind: api.KindClass, Name: "c"}}}.AppendBinary(nil)
	f.Add(partial)
	f.Fuzz(func(t *testing.T, data []byte) {
		delta, err := DecodeDelta(data)
		if err != nil {
			return
		}
		again, err := delta.AppendBinary(nil)
		must.NoError(t, err)
		must.Eq(t, data, again)
		h := NewHolder()
		_ = h.Apply(delta)
	})
}

// A daemon follows a leader's views by deltas.
func Example() {
	leader := New()
	leader.Version = Version{Term: 1, Revision: 7}
	leader.Engines["e1"] = &api.Engine{Metadata: api.Metadata{Name: "e1"}}
	holder := NewHolder()

	full := leader.Full()
	fmt.Println(holder.Apply(full), holder.Load().Version.Revision)
	fmt.Println(holder.Apply(full))
	fmt.Println(holder.Apply(Delta{From: Version{Term: 1, Revision: 8}, To: Version{Term: 1, Revision: 9}}))

	holder.Confirm(10*time.Second, 3*time.Second, 1)
	fmt.Println(holder.Valid(12*time.Second), holder.Valid(13*time.Second))
	// Output:
	// <nil> 7
	// view: delta does not lead forward
	// view: delta starts from another version
	// true false
}
