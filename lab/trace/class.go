package trace

import "time"

// length is a log-normal distribution of token counts, cut at half and at
// three times its median.
type length struct {
	median float64
	spread float64 // standard deviation of the logarithm
}

// prefixScheme says how prompts share prefixes.
type prefixScheme struct {
	tokens int
	// groups is how many prefixes are in use at once.
	groups int
	// renew is after how long each group takes a new prefix; 0 means never.
	renew time.Duration
}

// class is the traffic of one class of requests.
type class struct {
	name     string
	service  string
	model    string // empty for plain back-end requests
	tenants  []string
	perSec   float64 // arrivals a second at factor 1
	prompt   length
	output   length
	prefix   prefixScheme
	deadline time.Duration
	never    bool
}

// deploymentTraffic is all that differs between the deployments.
type deploymentTraffic struct {
	zones   []string
	classes []class
	// shapes makes the curves of a scenario.
	shapes func(Scenario, *shapeRandom) shapes
}

// shapes are the curves that a scenario puts on the classes, by class name:
// factors of the arrival rate and of the prompt's length.
type shapes struct {
	rate   map[string]curve
	prompt map[string]curve
}

// Names of models, services and classes.
const (
	ModelNarrator = "narrator-7b"
	ModelPension  = "pension-8b"

	ServiceNarrator = "narrator"
	ServiceTilegate = "tilegate"
	ServicePension  = "pension-llm"
	ServicePortal   = "member-portal"

	ClassCaption   = "caption"
	ClassBriefing  = "briefing"
	ClassSummary   = "summary"
	ClassFrame     = "frame"
	ClassStatement = "statement"
	ClassQuery     = "query"
	ClassGap       = "gap"
	ClassDownload  = "download"
	ClassLookup    = "lookup"
)

var radarvlak = deploymentTraffic{
	zones: []string{"hall-mechelen", "hall-leuven", "hall-wavre"},
	classes: []class{
		{
			name: ClassCaption, service: ServiceNarrator, model: ModelNarrator, tenants: []string{"public-app"},
			perSec: 60, prompt: length{420, 0.25}, output: length{40, 0.3},
			prefix: prefixScheme{tokens: 256, groups: 12}, deadline: 5 * time.Second,
		},
		{
			name: ClassBriefing, service: ServiceNarrator, model: ModelNarrator, tenants: []string{"gritting-north", "gritting-south"},
			perSec: 1.2, prompt: length{1100, 0.3}, output: length{200, 0.3},
			prefix: prefixScheme{tokens: 384, groups: 6}, deadline: 15 * time.Second, never: true,
		},
		{
			name: ClassSummary, service: ServiceNarrator, model: ModelNarrator, tenants: []string{"water-board-schelde", "water-board-dijle"},
			perSec: 0.9, prompt: length{1800, 0.35}, output: length{700, 0.35},
			prefix: prefixScheme{tokens: 640, groups: 8, renew: 2 * time.Minute}, deadline: 40 * time.Second,
		},
		{
			name: ClassFrame, service: ServiceTilegate, tenants: []string{"pilots", "signage"},
			perSec: 40, deadline: 250 * time.Millisecond,
		},
	},
	shapes: radarvlakShapes,
}

var caroni = deploymentTraffic{
	zones: []string{"chaguanas-a", "arima-b", "tunapuna-c"},
	classes: []class{
		{
			name: ClassStatement, service: ServicePension, model: ModelPension, tenants: []string{"trustees", "members"},
			perSec: 1.6, prompt: length{4500, 0.35}, output: length{260, 0.3},
			prefix: prefixScheme{tokens: 512, groups: 5}, deadline: 45 * time.Second,
		},
		{
			name: ClassQuery, service: ServicePension, model: ModelPension, tenants: []string{"members"},
			perSec: 9, prompt: length{1500, 0.3}, output: length{150, 0.4},
			prefix: prefixScheme{tokens: 1024, groups: 90, renew: 3 * time.Minute}, deadline: 15 * time.Second,
		},
		{
			name: ClassGap, service: ServicePension, model: ModelPension, tenants: []string{"employers"},
			perSec: 0.5, prompt: length{2600, 0.3}, output: length{450, 0.3},
			prefix: prefixScheme{tokens: 512, groups: 5}, deadline: 40 * time.Second, never: true,
		},
		{
			name: ClassDownload, service: ServicePortal, tenants: []string{"members"},
			perSec: 8, deadline: 2 * time.Second,
		},
		{
			name: ClassLookup, service: ServicePortal, tenants: []string{"employers", "trustees"},
			perSec: 25, deadline: 500 * time.Millisecond,
		},
	},
	shapes: caroniShapes,
}
