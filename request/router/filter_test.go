package router

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/version/api"
)

func names(endpoints []*Endpoint) []string {
	list := []string{}
	for _, endpoint := range endpoints {
		list = append(list, endpoint.Name)
	}
	return list
}

func TestFilters(t *testing.T) {
	serves := func(class string) bool { return class == "caption" }
	cases := []struct {
		name      string
		filter    Filter
		request   Request
		endpoints []*Endpoint
		want      []string
	}{
		{
			"model", ModelFilter{}, Request{Model: "m"},
			[]*Endpoint{{Name: "a", Model: "m"}, {Name: "b", Model: "n"}},
			[]string{"a"},
		},
		{
			"adapter", ModelFilter{}, Request{Model: "m:x", Adapter: "x"},
			[]*Endpoint{{Name: "a", Model: "m"}, {Name: "b", Model: "m", Adapters: []string{"w", "x"}}},
			[]string{"b"},
		},
		{
			"class", ClassFilter{}, Request{Class: "briefing"},
			[]*Endpoint{{Name: "a", Classes: serves}, {Name: "b"}},
			[]string{"b"},
		},
		{
			"admit", AdmitFilter{}, Request{},
			[]*Endpoint{{Name: "a", Admits: true, Role: api.RoleMixed}, {Name: "b", Role: api.RoleMixed}, {Name: "c", Admits: true}},
			[]string{"a"},
		},
		{
			"excluded", ExcludedFilter{}, Request{Excluded: map[string]bool{"a": true}},
			[]*Endpoint{{Name: "a"}, {Name: "b"}},
			[]string{"b"},
		},
		{
			"suspect beside healthy", SuspectFilter{}, Request{},
			[]*Endpoint{{Name: "a", Suspect: true}, {Name: "b"}},
			[]string{"b"},
		},
		{
			"suspect alone", SuspectFilter{}, Request{},
			[]*Endpoint{{Name: "a", Suspect: true}},
			[]string{"a"},
		},
		{
			"deadline", DeadlineFilter{Speed: Speed{}.withDefaults()},
			Request{PromptTokens: 16000, Blocks: make([]uint64, 1000), Deadline: time.Second},
			[]*Endpoint{{Name: "cold"}, {Name: "warm", CachedBlocks: func([]uint64) (int, bool) { return 1000, true }}},
			[]string{"warm"},
		},
		{
			"no deadline", DeadlineFilter{Speed: Speed{}.withDefaults()}, Request{PromptTokens: 1 << 20},
			[]*Endpoint{{Name: "a"}},
			[]string{"a"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, names(c.filter.Filter(&c.request, c.endpoints)))
			must.NotEq(t, "", c.filter.Name())
		})
	}
}
