package selector_test

import (
	"fmt"

	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/selector"
)

func ExampleMatches() {
	engine := api.Labels{"pool": "storm", "zone": "west"}
	storm := api.Selector{MatchLabels: api.Labels{"pool": "storm"}}
	notEast := api.Selector{MatchExpressions: []api.Requirement{
		{Key: "zone", Operator: api.OperatorNotIn, Values: []string{"east"}},
	}}
	fmt.Println(selector.Matches(storm, engine), selector.Matches(notEast, engine))
	fmt.Println(selector.Matches(api.Selector{}, engine), selector.Matches(api.Selector{All: true}, engine))
	// Output:
	// true true
	// false true
}
