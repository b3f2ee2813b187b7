package subset

import "github.com/cespare/xxhash/v2"

// Share is the part of a group that a daemon follows where it says by itself, for each
// endpoint alone, whether that is one of its own: one in two to the power of the share.
// Choose needs all endpoints for that, which is too much for who serves many daemons.
type Share uint8

const (
	// leastFollowed is how many endpoints of a large group a daemon follows at least.
	leastFollowed = 128
	// A share is kept while it makes no less than keptFrom endpoints and no more than keptTo,
	// so that a group whose size moves around a border does not change all subsets with it.
	keptFrom = 96
	keptTo   = 320
)

// ShareOf returns the share of a group of so many endpoints, of which before was the share
// until now. Each daemon follows the whole of a small group.
func ShareOf(size int, before Share) Share {
	if kept := size >> before; before > 0 && kept >= keptFrom && kept <= keptTo {
		return before
	}
	share := Share(0)
	for size>>share >= 2*leastFollowed {
		share++
	}
	return share
}

// Includes reports whether the endpoint is one that the daemon follows. It depends on the two
// names and the share alone: each endpoint is followed by about as many daemons as any other.
func (s Share) Includes(daemon, endpoint string) bool {
	return s == 0 || xxhash.Sum64String(daemon+"/"+endpoint)>>(64-s) == 0
}
