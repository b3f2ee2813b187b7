package subset

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Share is the binary logarithm of a sampling interval: a daemon follows one in 2^Share
// of a group's endpoints, so a higher Share means fewer endpoints. Membership is decided
// per endpoint by Includes, without the list of all endpoints that Choose needs. Running
// Choose per daemon is too expensive for a server of many daemons.
type Share uint8

const (
	// minFollowed is the minimum number of endpoints that a daemon follows on average in a
	// large group with a newly computed share.
	minFollowed = 128
	// A share remains in use while a daemon follows between minRetained and maxRetained
	// endpoints on average.
	// This hysteresis avoids changing every subset when the size of a group fluctuates
	// around a threshold.
	minRetained = 96
	maxRetained = 320
)

// ShareOf returns the share for a group of size endpoints, given the share in use so far.
// Each daemon follows all endpoints of a small group.
func ShareOf(size int, current Share) Share {
	if followed := size >> current; current > 0 && followed >= minRetained && followed <= maxRetained {
		return current
	}
	share := Share(0)
	for size>>share >= 2*minFollowed {
		share++
	}
	return share
}

// Includes reports whether the daemon follows the endpoint. The result depends only on the
// two names and the share. Each endpoint is followed by about the same number of daemons.
func (s Share) Includes(daemon, endpoint string) bool {
	return s.IncludesHash(Hash(daemon), Hash(endpoint))
}

// Hash returns the hash of a name for IncludesHash. Callers that test many pairs compute it
// once per name.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// IncludesHash is like Includes but takes the hashes of the two names. One of them is
// rotated before they are combined, so that the order of the names matters.
func (s Share) IncludesHash(daemon, endpoint uint64) bool {
	return s == 0 || mix(daemon^bits.RotateLeft64(endpoint, 32))>>(64-s) == 0
}

// mix is the finalizer of SplitMix64. Each input bit affects all output bits, so the samples
// of different daemons are practically independent.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
