// Package metering counts, in one proxy, the requests of each tenant that replicas began,
// by windows of the group's time of day.
//
// Guarantees: a counter only rises, so that it may be told again, late and in any order; a
// request is counted once, whatever is tried for it; what is kept is bounded.
package metering

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
)

// keptWindows is how many windows are kept to be told again to another leader: a report
// falls due within two of them on most platforms, and a group that is stopped as a whole
// is back within a few.
const retainedWindows = 8

// Counter counts for one process. It is safe for concurrent use.
type Counter struct {
	instanceID   string
	windowLength time.Duration
	now          func() time.Time // the group's time of day

	lock             sync.Mutex
	counts           map[int64]map[string]uint64
	unreported       map[int64]map[string]struct{} // since they were last told
	lastReportWindow int64                         // the window in which was last told
}

// NewCounter returns a counter for the process of a name, of windows of a length, by a
// time of day.
func NewCounter(process string, length time.Duration, now func() time.Time) *Counter {
	return &Counter{
		instanceID: process + "#" + strconv.FormatUint(rand.Uint64(), 36), windowLength: length, now: now,
		counts: map[int64]map[string]uint64{}, unreported: map[int64]map[string]struct{}{},
	}
}

// Begin counts a request of the tenant that a replica began so long ago.
func (c *Counter) Begin(tenant string, ago time.Duration) {
	if tenant == "" || c.windowLength <= 0 {
		return
	}
	window := windowOf(c.now().Add(-ago), c.windowLength)
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.counts[window] == nil {
		c.counts[window] = map[string]uint64{}
		c.dropThrough(window - retainedWindows)
	}
	c.counts[window][tenant]++
	c.markUnreported(window, tenant)
}

func windowOf(at time.Time, length time.Duration) int64 {
	return at.UnixMilli() / length.Milliseconds()
}

// mark notes that a counter is to be told; the lock is held.
func (c *Counter) markUnreported(window int64, tenant string) {
	if c.unreported[window] == nil {
		c.unreported[window] = map[string]struct{}{}
	}
	c.unreported[window][tenant] = struct{}{}
}

// forget drops the windows up to one; the lock is held.
func (c *Counter) dropThrough(last int64) {
	for window := range c.counts {
		if window <= last {
			delete(c.counts, window)
			delete(c.unreported, window)
		}
	}
}

// Next returns what is to be told now: the counters that have risen since they were told;
// false where that is nothing and no window has ended since.
func (c *Counter) Next() (report feed.UsageReport, due bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	// Read under the lock: what is counted later is of later.
	now := c.now()
	window := windowOf(now, max(c.windowLength, time.Millisecond))
	report = feed.UsageReport{Life: c.instanceID, Through: now.UnixMilli()}
	for _, changed := range slices.Sorted(maps.Keys(c.unreported)) {
		for _, tenant := range slices.Sorted(maps.Keys(c.unreported[changed])) {
			report.Counts = append(report.Counts, feed.UsageCount{Window: changed, Tenant: tenant, Count: c.counts[changed][tenant]})
		}
	}
	due = len(report.Counts) > 0 || window != c.lastReportWindow
	clear(c.unreported)
	c.lastReportWindow = window
	return report, due
}

// Again marks all counters as not told: the word was lost, or another leader has begun. A
// nil Counter has none.
func (c *Counter) Again() {
	if c == nil {
		return
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.lastReportWindow = 0
	for window, tenants := range c.counts {
		for tenant := range tenants {
			c.markUnreported(window, tenant)
		}
	}
}
