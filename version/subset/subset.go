// Package subset chooses which endpoints a daemon follows when there are too
// many to follow all: load reports of ten thousand replicas to every daemon
// cost more than a daemon may spend.
//
// The choice is rendezvous hashing within each group (the endpoints that can
// stand in for each other), first among the daemon's own zone and then, for
// the overlap, among the others. It guarantees:
//
//   - It depends only on the daemon, the sizes and the set of endpoints, so a
//     restarted daemon follows the same endpoints.
//   - Adding or removing an endpoint changes a daemon's choice in at most one
//     place for each share (local and remote), since every endpoint's score is
//     independent of all others.
//   - Each endpoint is followed by about the same number of daemons: scores are
//     independent and uniform, so the counts are binomial.
package subset

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is what the choice depends on.
type Endpoint struct {
	Name  string
	Zone  string
	Group string // endpoints of one group can stand in for each other
}

// Sizes bounds a choice, per group.
type Sizes struct {
	// Local is how many endpoints of the daemon's own zone are followed.
	Local int
	// Remote is how many endpoints of other zones are followed, so that the
	// loss of a zone leaves every daemon with somewhere to send to.
	Remote int
}

// DefaultSizes keeps a daemon's polling of load reports inside its traffic
// budget; see docs/CAPACITY.md.
var DefaultSizes = Sizes{Local: 16, Remote: 8}

// Choose returns the names of the endpoints that the daemon follows, sorted. A
// group that is no larger than Local+Remote is followed whole. What one share
// cannot fill, the other does.
func Choose(daemon, zone string, endpoints []Endpoint, sizes Sizes) []string {
	var chosen []string
	for _, members := range byGroup(endpoints) {
		chosen = append(chosen, chooseGroup(daemon, zone, members, sizes)...)
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

func chooseGroup(daemon, zone string, members []Endpoint, sizes Sizes) []string {
	local, remote := splitByZone(rank(daemon, members), zone)
	wanted := min(sizes.Local+sizes.Remote, len(members))
	localCount := min(sizes.Local, len(local))
	remoteCount := min(wanted-localCount, len(remote))
	localCount = wanted - remoteCount
	return append(local[:localCount:localCount], remote[:remoteCount]...)
}

type scored struct {
	endpoint Endpoint
	score    uint64
}

// rank orders the members by the daemon's score, highest first; equal scores
// are ordered by name, so that the order is total.
func rank(daemon string, members []Endpoint) []Endpoint {
	scores := make([]scored, len(members))
	for i, member := range members {
		scores[i] = scored{endpoint: member, score: score(daemon, member.Name)}
	}
	sort.Slice(scores, func(i, j int) bool {
		if scores[i].score != scores[j].score {
			return scores[i].score > scores[j].score
		}
		return scores[i].endpoint.Name < scores[j].endpoint.Name
	})
	ranked := make([]Endpoint, len(scores))
	for i := range scores {
		ranked[i] = scores[i].endpoint
	}
	return ranked
}

func score(daemon, endpoint string) uint64 {
	digest := xxhash.New()
	// Writes to the digest cannot fail.
	_, _ = digest.WriteString(daemon)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(endpoint)
	return digest.Sum64()
}

func splitByZone(ranked []Endpoint, zone string) (local, remote []string) {
	for _, endpoint := range ranked {
		if endpoint.Zone == zone {
			local = append(local, endpoint.Name)
		} else {
			remote = append(remote, endpoint.Name)
		}
	}
	return local, remote
}
