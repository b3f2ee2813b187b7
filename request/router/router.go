package router

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/landingtrail/landingtrail/version/api"
)

// Config selects the plugins. Empty fields take the values of DefaultConfig.
type Config struct {
	Speed   Speed
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
	// A request is refused if its estimate exceeds DeadlineMargin times its deadline. The
	// margin is above 1 because estimates are rough and a refusal is final.
	DeadlineMargin float64
}

// Defaults of the plugins. DefaultKVScale, DefaultZoneCost and DefaultSlackSeconds are in
// seconds; DefaultSlack and DefaultDeadlineMargin are factors.
const (
	DefaultKVScale      = 0.2
	DefaultZoneCost     = 0.002
	DefaultSlack        = 0.1
	DefaultSlackSeconds = 0.01

	DefaultDeadlineMargin = 1.25
)

// DefaultConfig returns the default plugins for engines of the given speed. Fields of speed that
// are zero take their defaults.
func DefaultConfig(speed Speed) Config {
	speed = speed.withDefaults()
	return Config{
		Speed: speed,
		Filters: []Filter{
			ModelFilter{},
			ClassFilter{},
			AdmitFilter{},
			ExcludedFilter{},
			DeadlineFilter{Speed: speed},
			SuspectFilter{},
		},
		Scorers: []Scorer{
			PrefixScorer{Speed: speed},
			LoadScorer{Speed: speed},
			KVScorer{Scale: DefaultKVScale},
			ZoneScorer{Cost: DefaultZoneCost},
		},
		Picker: TwoChoicePicker{Slack: DefaultSlack, SlackSeconds: DefaultSlackSeconds},

		DeadlineMargin: DefaultDeadlineMargin,
	}
}

// Router decides where requests go. It is immutable and safe for concurrent use.
type Router struct {
	config Config
}

// New returns a router with the given plugins.
func New(config Config) *Router {
	defaults := DefaultConfig(config.Speed)
	config.Speed = defaults.Speed
	if config.Filters == nil {
		config.Filters = defaults.Filters
	}
	if config.Scorers == nil {
		config.Scorers = defaults.Scorers
	}
	if config.Picker == nil {
		config.Picker = defaults.Picker
	}
	if config.DeadlineMargin == 0 {
		config.DeadlineMargin = defaults.DeadlineMargin
	}
	return &Router{config: config}
}

// Route decides where a request goes, or returns the reason why it is refused. The decision
// depends on the arguments only; random must not be used concurrently. With any reason other
// than ReasonNone the request is sent to no engine, so it is certain not to have run.
func (r *Router) Route(snapshot Snapshot, request Request, random *rand.Rand) (Decision, Reason) {
	candidates := slices.Clone(snapshot.Endpoints)
	for _, filter := range r.config.Filters {
		candidates = filter.Filter(&request, candidates)
		if len(candidates) == 0 {
			return Decision{}, filter.Reason()
		}
	}
	groups := groupByRole(candidates)
	if groups.readerCount() == 0 && readerExcluded(&request, snapshot) {
		return Decision{}, ReasonAllExcluded
	}
	decision, found := r.cheapest(&request, groups, random)
	if !found {
		return Decision{}, ReasonNoEngine
	}
	if request.Deadline > 0 && decision.Estimate.Seconds() > r.config.DeadlineMargin*request.Deadline.Seconds() {
		return Decision{}, ReasonDeadline
	}
	return decision, ReasonNone
}

// roleGroups holds the candidates by role.
type roleGroups struct {
	prefill []*Endpoint
	decode  []*Endpoint
	mixed   []*Endpoint
}

// groupByRole groups the endpoints by role and leaves out those without one.
func groupByRole(endpoints []*Endpoint) roleGroups {
	var groups roleGroups
	for _, endpoint := range endpoints {
		switch endpoint.Role {
		case api.RolePrefill:
			groups.prefill = append(groups.prefill, endpoint)
		case api.RoleDecode:
			groups.decode = append(groups.decode, endpoint)
		case api.RoleMixed:
			groups.mixed = append(groups.mixed, endpoint)
		}
	}
	return groups
}

// readerCount returns the number of prefill and mixed candidates, which are meant to read
// prompts.
func (g roleGroups) readerCount() int { return len(g.prefill) + len(g.mixed) }

// readerExcluded reports whether a prefill or mixed engine that is healthy and admits requests
// was left out only because it refused this request. Such engines are full. If a decode engine
// read the prompt instead, it would slow down the output that it generates for other requests,
// just when there are most of them.
func readerExcluded(request *Request, snapshot Snapshot) bool {
	for _, endpoint := range snapshot.Endpoints {
		reads := endpoint.Role == api.RolePrefill || endpoint.Role == api.RoleMixed
		if reads && endpoint.Admits && !endpoint.Suspect && endpoint.Model == baseModel(request.Model) && request.Excluded[endpoint.Name] {
			return true
		}
	}
	return false
}

// splitCandidates returns the engines that may read the prompt and those that may generate if a
// request is split between two engines. With prefill engines, mixed engines may generate beside
// the decode engines. With decode engines only, mixed engines read. With neither, no request is
// split.
func (g roleGroups) splitCandidates() (readers, generators []*Endpoint) {
	switch {
	case len(g.prefill) > 0:
		return g.prefill, slices.Concat(g.decode, g.mixed)
	case len(g.decode) > 0:
		return g.mixed, g.decode
	default:
		return nil, nil
	}
}

// cheapest returns the cheaper of two decisions: to run the whole request on one mixed engine, or
// to split it between two engines. A decode engine reads the prompt itself only if neither is
// possible. It returns false if there is no engine at all for the request.
func (r *Router) cheapest(request *Request, groups roleGroups, random *rand.Rand) (Decision, bool) {
	whole, haveWhole := r.pick(request, groups.mixed, PartWhole, random)
	readers, generators := groups.splitCandidates()
	reader, haveReader := r.pick(request, readers, PartPrefill, random)
	generator, haveGenerator := r.pick(request, generators, PartDecode, random)

	haveSplit := haveReader && haveGenerator
	splitCost := reader.Cost + generator.Cost + r.config.Speed.handoverSeconds(request.PromptTokens)
	if haveSplit && (!haveWhole || splitCost < whole.Cost) {
		return Decision{Target: generator.Endpoint, Prefill: reader.Endpoint, Estimate: seconds(splitCost)}, true
	}
	if !haveWhole {
		whole, haveWhole = r.pick(request, groups.decode, PartWhole, random)
	}
	if !haveWhole {
		return Decision{}, false
	}
	return Decision{Target: whole.Endpoint, Estimate: seconds(whole.Cost)}, true
}

// pick scores the endpoints for a part of the request and returns the one that the picker
// chooses; false if there are none.
func (r *Router) pick(request *Request, endpoints []*Endpoint, part Part, random *rand.Rand) (Scored, bool) {
	if len(endpoints) == 0 {
		return Scored{}, false
	}
	scored := make([]Scored, len(endpoints))
	for i, endpoint := range endpoints {
		scored[i] = Scored{Endpoint: endpoint, Cost: r.cost(request, endpoint, part)}
	}
	slices.SortFunc(scored, compareScored)
	return r.config.Picker.Pick(scored, random), true
}

// cost returns the sum of all scores, in seconds.
func (r *Router) cost(request *Request, endpoint *Endpoint, part Part) float64 {
	total := 0.0
	for _, scorer := range r.config.Scorers {
		total += scorer.Score(request, endpoint, part)
	}
	return total
}

// compareScored orders endpoints by cost and then by name.
func compareScored(a, b Scored) int {
	if order := cmp.Compare(a.Cost, b.Cost); order != 0 {
		return order
	}
	return cmp.Compare(a.Endpoint.Name, b.Endpoint.Name)
}
