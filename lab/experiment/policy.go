package experiment

import (
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/lab/trace"
	"github.com/landingtrail/landingtrail/version/planner"
)

// Names of policies.
const (
	PolicyLandingtrail = "landingtrail"
	PolicyStatic       = "static"
	PolicyThreshold    = "threshold"
	PolicyMixed        = "mixed"
	PolicyHindsight    = "hindsight"
)

// DefaultPolicies are the policies that are compared unless others are named.
var DefaultPolicies = []string{PolicyLandingtrail, PolicyStatic, PolicyThreshold, PolicyHindsight}

// ErrUnknownPolicy is returned for a policy that does not exist.
var ErrUnknownPolicy = errors.New("unknown policy")

// changeCosts weigh role changes against goodput by deployment, in seconds of
// one engine's work for each change (see api.IntentSpec).
var changeCosts = map[string]float64{
	trace.DeploymentRadarvlak: 5,
	trace.DeploymentCaroni:    60,
}

// staticShares are the prefill shares of the static split: the best constant
// splits without mixed engines on the tuning seeds.
var staticShares = map[string]float64{
	trace.DeploymentRadarvlak: 2.0 / 9,
	trace.DeploymentCaroni:    4.0 / 9,
}

// newPlanner returns a fresh planner of a policy other than hindsight.
func newPlanner(policy, deployment string) (planner.Planner, error) {
	switch policy {
	case PolicyLandingtrail:
		return planner.New(planner.Config{}), nil
	case PolicyStatic:
		return planner.NewStatic(planner.StaticConfig{PrefillShare: staticShares[deployment]}), nil
	case PolicyThreshold:
		return planner.NewThreshold(planner.ThresholdConfig{}), nil
	case PolicyMixed:
		return planner.NewStatic(planner.StaticConfig{}), nil
	default:
		return nil, errors.Wrap(ErrUnknownPolicy, policy)
	}
}
