package subset

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

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
	return s.IncludesHash(Hash(daemon), Hash(endpoint))
}

// Hash is a name as IncludesHash takes it; who asks for many pairs works it out once a name.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// IncludesHash is Includes for the hashes of the two names.
func (s Share) IncludesHash(daemon, endpoint uint64) bool {
	return s == 0 || mix(daemon^bits.RotateLeft64(endpoint, 32))>>(64-s) == 0
}

// mix spreads the bits of a number over all of it (the finalizer of SplitMix64), so that the
// pairs of one daemon are drawn independently of those of another.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
