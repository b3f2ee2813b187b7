package selector

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/version/api"
)

func expressionSelector(key string, operator api.Operator, values ...string) api.Selector {
	return api.Selector{MatchExpressions: []api.Requirement{{Key: key, Operator: operator, Values: values}}}
}

func TestMatches(t *testing.T) {
	labels := api.Labels{"zone": "leuven", "pool": "a", "spare": ""}
	both := expressionSelector("pool", api.OperatorIn, "a")
	both.MatchLabels = api.Labels{"zone": "wavre"}
	cases := []struct {
		name          string
		selector      api.Selector
		want          bool
		wantUnlabeled bool // the result for an empty label set
	}{
		{"empty", api.Selector{}, false, false},
		{"empty but not nil", api.Selector{MatchLabels: api.Labels{}, MatchExpressions: []api.Requirement{}}, false, false},
		{"all", api.Selector{All: true}, true, true},
		{"label", api.Selector{MatchLabels: api.Labels{"pool": "a"}}, true, false},
		{"labels", api.Selector{MatchLabels: api.Labels{"pool": "a", "zone": "leuven"}}, true, false},
		{"one label differs", api.Selector{MatchLabels: api.Labels{"pool": "a", "zone": "wavre"}}, false, false},
		{"empty value", api.Selector{MatchLabels: api.Labels{"spare": ""}}, true, false},
		{"empty value of a missing label", api.Selector{MatchLabels: api.Labels{"other": ""}}, false, false},
		{"in", expressionSelector("pool", api.OperatorIn, "b", "a"), true, false},
		{"not among", expressionSelector("pool", api.OperatorIn, "b"), false, false},
		{"not in", expressionSelector("pool", api.OperatorNotIn, "b"), true, true},
		{"not in but among", expressionSelector("pool", api.OperatorNotIn, "a"), false, true},
		{"exists", expressionSelector("spare", api.OperatorExists), true, false},
		{"does not exist", expressionSelector("spare", api.OperatorDoesNotExist), false, true},
		{"unknown operator", expressionSelector("pool", "Like", "a"), false, false},
		{"label and expression", both, false, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			must.Eq(t, test.want, Matches(test.selector, labels))
			must.Eq(t, test.wantUnlabeled, Matches(test.selector, nil))
		})
	}
}

func TestValidate(t *testing.T) {
	must.SliceEmpty(t, Validate(api.Selector{}))
	must.SliceEmpty(t, Validate(expressionSelector("pool", api.OperatorIn, "a", "")))
	invalid := api.Selector{All: true, MatchLabels: api.Labels{"pool ": "-"}, MatchExpressions: []api.Requirement{
		{Key: "", Operator: api.OperatorIn}, {Key: "k", Operator: api.OperatorExists, Values: []string{"é"}}, {Key: "k", Operator: "Like"},
	}}
	var fields []string
	for _, fault := range Validate(invalid) {
		fields = append(fields, fault.Field)
	}
	must.Eq(t, []string{
		"selector.all", `selector.matchLabels["pool "]`, `selector.matchLabels["pool "]`,
		"selector.matchExpressions[0].key", "selector.matchExpressions[0].values",
		"selector.matchExpressions[1].values", "selector.matchExpressions[1].values[0]",
		"selector.matchExpressions[2].operator",
	}, fields)
}
