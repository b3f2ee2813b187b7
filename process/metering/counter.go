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
const keptWindows = 8

// Counter counts for one process. It is safe for concurrent use.
type Counter struct {
	life   string
	length time.Duration
	now    func() time.Time // the group's time of day

	lock    sync.Mutex
	windows map[int64]map[string]uint64
	changed map[int64]map[string]struct{} // since they were last told
	told    int64                         // the window in which was last told
}

// NewCounter returns a counter for the process of a name, of windows of a length, by a
// time of day.
func NewCounter(process string, length time.Duration, now func() time.Time) *Counter {
	return &Counter{
		life: process + "#" + strconv.FormatUint(rand.Uint64(), 36), length: length, now: now,
		windows: map[int64]map[string]uint64{}, changed: map[int64]map[string]struct{}{},
	}
}

// Begin counts a request of the tenant that a replica began so long ago.
func (c *Counter) Begin(tenant string, ago time.Duration) {
	if tenant == "" || c.length <= 0 {
		return
	}
	window := windowOf(c.now().Add(-ago), c.length)
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.windows[window] == nil {
		c.windows[window] = map[string]uint64{}
		c.forget(window - keptWindows)
	}
	c.windows[window][tenant]++
	c.mark(window, tenant)
}

func windowOf(at time.Time, length time.Duration) int64 {
	return at.UnixMilli() / length.Milliseconds()
}

// mark notes that a counter is to be told; the lock is held.
func (c *Counter) mark(window int64, tenant string) {
	if c.changed[window] == nil {
		c.changed[window] = map[string]struct{}{}
	}
	c.changed[window][tenant] = struct{}{}
}

// forget drops the windows up to one; the lock is held.
func (c *Counter) forget(upTo int64) {
	for window := range c.windows {
		if window <= upTo {
			delete(c.windows, window)
			delete(c.changed, window)
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
	window := windowOf(now, max(c.length, time.Millisecond))
	report = feed.UsageReport{Life: c.life, Through: now.UnixMilli()}
	for _, changed := range slices.Sorted(maps.Keys(c.changed)) {
		for _, tenant := range slices.Sorted(maps.Keys(c.changed[changed])) {
			report.Counts = append(report.Counts, feed.UsageCount{Window: changed, Tenant: tenant, Count: c.windows[changed][tenant]})
		}
	}
	due = len(report.Counts) > 0 || window != c.told
	clear(c.changed)
	c.told = window
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
	c.told = 0
	for window, tenants := range c.windows {
		for tenant := range tenants {
			c.mark(window, tenant)
		}
	}
}
