// Package subset selects the endpoints that a daemon follows, which means that it
// receives their load reports and may send them requests, when following all of them
// is too expensive: sending the load reports of ten thousand replicas to every daemon
// exceeds a daemon's traffic budget.
//
// Choose uses rendezvous hashing within each group of interchangeable endpoints.
// It selects from the daemon's own zone first and then from the other zones, for
// redundancy. It guarantees:
//
//   - The result depends only on the daemon, its zone, the sizes and the set of
//     endpoints, so a restarted daemon follows the same endpoints.
//   - Adding or removing an endpoint changes at most one local and one remote
//     endpoint of a daemon's subset, because the score of each endpoint is
//     independent of all others.
//   - Each endpoint of a group and zone is followed by about the same number of
//     daemons of a zone: scores are independent and uniform, so the counts are
//     binomial.
package subset

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Endpoint describes an endpoint that Choose can select.
type Endpoint struct {
	Name  string
	Zone  string
	Group string // endpoints of one group are interchangeable
}

// Sizes sets the size of a subset, per group. Choose exceeds Local or Remote where the
// other one cannot be reached, but not their sum.
type Sizes struct {
	// Local is the number of endpoints followed in the daemon's own zone.
	Local int
	// Remote is the number of endpoints followed in other zones, so that a daemon
	// still has endpoints to send to when the endpoints in its own zone fail.
	Remote int
}

// DefaultSizes keeps the traffic of polling load reports within a daemon's
// budget; docs/CAPACITY.md has the figures.
var DefaultSizes = Sizes{Local: 16, Remote: 8}

// Choose returns the sorted names of the endpoints that the daemon follows. It
// returns all endpoints of a group that has at most Local+Remote of them. If there
// are fewer local or fewer remote endpoints than wanted, more of the others are
// returned. The names must be unique, and the sizes must not be negative.
func Choose(daemon, zone string, endpoints []Endpoint, sizes Sizes) []string {
	var chosen []string
	for _, members := range byGroup(endpoints) {
		chosen = append(chosen, chooseFromGroup(daemon, zone, members, sizes)...)
	}
	sort.Strings(chosen)
	return chosen
}

func byGroup(endpoints []Endpoint) map[string][]Endpoint {
	groups := make(map[string][]Endpoint)
	for _, endpoint := range endpoints {
		groups[endpoint.Group] = append(groups[endpoint.Group], endpoint)
	}
	return groups
}

func chooseFromGroup(daemon, zone string, members []Endpoint, sizes Sizes) []string {
	total := min(sizes.Local+sizes.Remote, len(members))
	local, remote := topRanked{limit: total}, topRanked{limit: total}
	scorer := newHasher(daemon)
	for _, member := range members {
		candidate := scoredEndpoint{name: member.Name, score: scorer.score(member.Name)}
		if member.Zone == zone {
			local.add(candidate)
		} else {
			remote.add(candidate)
		}
	}
	// Each of local and remote holds up to total candidates, so total-remoteCount local
	// ones exist: localCount if there are enough remote ones, else more.
	localCount := min(sizes.Local, len(local.candidates))
	remoteCount := min(total-localCount, len(remote.candidates))
	return append(local.names(total-remoteCount), remote.names(remoteCount)...)
}

// scoredEndpoint is an endpoint with its score for one daemon.
type scoredEndpoint struct {
	name  string
	score uint64
}

// ranksBefore orders by descending score and breaks ties by name, so that the
// order is total.
func (s scoredEndpoint) ranksBefore(other scoredEndpoint) bool {
	if s.score != other.score {
		return s.score > other.score
	}
	return s.name < other.name
}

// topRanked keeps the highest-ranked candidates in order, up to its limit. Only
// a few of many candidates are selected, so this is cheaper than sorting all.
type topRanked struct {
	limit      int
	candidates []scoredEndpoint
}

func (t *topRanked) add(candidate scoredEndpoint) {
	full := len(t.candidates) == t.limit
	if full && (t.limit == 0 || !candidate.ranksBefore(t.candidates[t.limit-1])) {
		return
	}
	position := sort.Search(len(t.candidates), func(i int) bool { return candidate.ranksBefore(t.candidates[i]) })
	if full {
		t.candidates = t.candidates[:t.limit-1]
	}
	t.candidates = slices.Insert(t.candidates, position, candidate)
}

// names returns the names of the first count candidates.
func (t *topRanked) names(count int) []string {
	names := make([]string, 0, count)
	for _, candidate := range t.candidates[:count] {
		names = append(names, candidate.name)
	}
	return names
}

// hasher computes the rendezvous score of endpoints for one daemon. It reuses its buffer
// and is not safe for concurrent use.
type hasher struct {
	buffer []byte
	prefix int
}

func newHasher(daemon string) *hasher {
	buffer := append([]byte(daemon), 0)
	return &hasher{buffer: buffer, prefix: len(buffer)}
}

func (h *hasher) score(endpoint string) uint64 {
	h.buffer = append(h.buffer[:h.prefix], endpoint...)
	return xxhash.Sum64(h.buffer)
}
