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
	"slices"
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
	wanted := min(sizes.Local+sizes.Remote, len(members))
	local, remote := best{limit: wanted}, best{limit: wanted}
	hash := newHasher(daemon)
	for _, member := range members {
		candidate := scored{name: member.Name, score: hash.score(member.Name)}
		if member.Zone == zone {
			local.offer(candidate)
		} else {
			remote.offer(candidate)
		}
	}
	localCount := min(sizes.Local, len(local.kept))
	remoteCount := min(wanted-localCount, len(remote.kept))
	return append(local.names(wanted-remoteCount), remote.names(remoteCount)...)
}

// scored is an endpoint with its score for one daemon.
type scored struct {
	name  string
	score uint64
}

// before orders by score, highest first; equal scores are ordered by name, so
// that the order is total.
func (s scored) before(other scored) bool {
	if s.score != other.score {
		return s.score > other.score
	}
	return s.name < other.name
}

// best keeps the first of what it is offered, in order, up to its limit. Few
// are chosen of many, so this costs less than to sort them all.
type best struct {
	limit int
	kept  []scored
}

func (b *best) offer(candidate scored) {
	full := len(b.kept) == b.limit
	if full && (b.limit == 0 || !candidate.before(b.kept[b.limit-1])) {
		return
	}
	at := sort.Search(len(b.kept), func(i int) bool { return candidate.before(b.kept[i]) })
	if full {
		b.kept = b.kept[:b.limit-1]
	}
	b.kept = slices.Insert(b.kept, at, candidate)
}

// names returns the names of the first count.
func (b *best) names(count int) []string {
	names := make([]string, 0, count)
	for _, one := range b.kept[:count] {
		names = append(names, one.name)
	}
	return names
}

// hasher scores endpoints for one daemon.
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
