package router

import "math/rand/v2"

// Part is the part of a request's work for which an endpoint is considered.
type Part int

// Parts of the work.
const (
	PartWhole   Part = iota // reads the prompt and generates
	PartPrefill             // reads the prompt and exports its KV cache
	PartDecode              // imports the KV cache and generates
)

// Filter drops the endpoints that must not get a request.
type Filter interface {
	// Name is the plugin's name in logs and metrics.
	Name() string
	// Reason is the reason of the refusal if this filter leaves no endpoint.
	Reason() Reason
	// Filter returns the endpoints to keep, in their order. It may reuse the given slice but
	// does not change an endpoint.
	Filter(request *Request, endpoints []*Endpoint) []*Endpoint
}

// Scorer returns the expected cost, in seconds, of one aspect of running a part of a request
// on an endpoint. The costs of all scorers are added; lower is better.
type Scorer interface {
	// Name is the plugin's name in logs and metrics.
	Name() string
	// Score must be finite and not negative.
	Score(request *Request, endpoint *Endpoint, part Part) float64
}

// Scored is an endpoint with its total cost in seconds.
type Scored struct {
	Endpoint *Endpoint
	Cost     float64
}

// Picker chooses one of the scored endpoints.
type Picker interface {
	// Name is the plugin's name in logs and metrics.
	Name() string
	// Pick returns the chosen element of scored, which is sorted by cost and
	// then by name and is never empty. The choice depends on the arguments only.
	Pick(scored []Scored, random *rand.Rand) Scored
}
