package subset_test

import (
	"fmt"
	"testing"

	"github.com/landingtrail/landingtrail/version/subset"
	"github.com/shoenig/test/must"
)

// The number of endpoints that one daemon follows is bounded for any group size, and nearly
// all endpoints of a group are followed by at least one of 400 daemons. Of 9695 endpoints,
// a daemon follows one in 64.
func TestShareBoundsFollowedEndpoints(t *testing.T) {
	for _, size := range []int{0, 1, 166, 255, 256, 1_000, 9_695, 50_000} {
		share := subset.ShareOf(size, 0)
		must.LessEq(t, 255, size>>share, must.Sprint(size))
		must.True(t, share == 0 || size>>share >= 128, must.Sprint(size))
		if size < 256 {
			must.Eq(t, 0, share, must.Sprint("all endpoints of a small group are followed"))
		}
	}
	share := subset.ShareOf(9_695, 0)
	followed := map[string]int{}
	for d := range 400 {
		followedCount := 0
		for e := range 9_695 {
			if name := fmt.Sprint("replica-", e); share.Includes(fmt.Sprint("proxy-", d), name) {
				followedCount++
				followed[name]++
			}
		}
		must.Between(t, 90, followedCount, 220)
	}
	must.Greater(t, 9_600, len(followed))
}

// A group size that fluctuates around a threshold does not change the share.
func TestShareIsRetainedNearThreshold(t *testing.T) {
	share := subset.ShareOf(300, 0)
	must.Eq(t, 1, share)
	for _, size := range []int{250, 300, 200, 600} {
		must.Eq(t, share, subset.ShareOf(size, share), must.Sprint(size))
	}
	must.Eq(t, 0, subset.ShareOf(100, share))
	must.Eq(t, 2, subset.ShareOf(700, share))
}
