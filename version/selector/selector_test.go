package selector

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/version/api"
)

func expression(key string, operator api.Operator, values ...string) api.Selector {
	return api.Selector{MatchExpressions: []api.Requirement{{Key: key, Operator: operator, Values: values}}}
}

func TestMatches(t *testing.T) {
	labels := api.Labels{"zone": "leuven", "pool": "a", "spare": ""}
	both := expression("pool", api.OperatorIn, "a")
	both.MatchLabels = api.Labels{"zone": "wavre"}
	cases := []struct {
		name     string
		selector api.Selector
		want     bool
		bare     bool // the result for an empty label set
	}{
		{"empty", api.Selector{}, false, false},
		{"empty but not nil", api.Selector{MatchLabels: api.Labels{}, MatchExpressions: []api.Requirement{}}, false, false},
		{"all", api.Selector{All: true}, true, true},
		{"label", api.Selector{MatchLabels: api.Labels{"pool": "a"}}, true, false},
		{"labels", api.Selector{MatchLabels: api.Labels{"pool": "a", "zone": "leuven"}}, true, false},
		{"one label differs", api.Selector{MatchLabels: api.Labels{"pool": "a", "zone": "wavre"}}, false, false},
		{"empty value", api.Selector{MatchLabels: api.Labels{"spare": ""}}, true, false},
		{"empty value of a missing label", api.Selector{MatchLabels: api.Labels{"other": ""}}, false, false},
		{"in", expression("pool", api.OperatorIn, "b", "a"), true, false},
		{"not among", expression("pool", api.OperatorIn, "b"), false, false},
		{"not in", expression("pool", api.OperatorNotIn, "b"), true, true},
		{"not in but among", expression("pool", api.OperatorNotIn, "a"), false, true},
		{"exists", expression("spare", api.OperatorExists), true, false},
		{"does not exist", expression("spare", api.OperatorDoesNotExist), false, true},
		{"unknown operator", expression("pool", "Like", "a"), false, false},
		{"label and expression", both, false, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			must.Eq(t, test.want, Matches(test.selector, labels))
			must.Eq(t, test.bare, Matches(test.selector, nil))
		})
	}
}

func TestValidate(t *testing.T) {
	must.SliceEmpty(t, Validate(api.Selector{}))
	must.SliceEmpty(t, Validate(expression("pool", api.OperatorIn, "a", "")))
	bad := api.Selector{All: true, MatchLabels: api.Labels{"pool ": "-"}, MatchExpressions: []api.Requirement{
		{Key: "", Operator: api.OperatorIn}, {Key: "k", Operator: api.OperatorExists, Values: []string{"é"}}, {Key: "k", Operator: "Like"},
	}}
	var fields []string
	for _, fault := range Validate(bad) {
		fields = append(fields, fault.Field)
	}
	must.Eq(t, []string{
		"selector.all", `selector.matchLabels["pool "]`, `selector.matchLabels["pool "]`,
		"selector.matchExpressions[0].key", "selector.matchExpressions[0].values",
		"selector.matchExpressions[1].values", "selector.matchExpressions[1].values[0]",
		"selector.matchExpressions[2].operator",
	}, fields)
}
