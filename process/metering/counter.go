// Package metering counts, in one proxy, the requests of each tenant that replicas (model
// servers) started, per time window. Windows follow the wall-clock time of the control group.
//
// Guarantees: counters only increase, so reports can be repeated, delayed and reordered; a
// request is counted once regardless of retries; memory use is bounded.
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

// retainedWindows is how many windows are kept so that they can be reported again to a new
// leader. 8 windows cover the two within which most platforms require a report, and the few
// that pass while the whole group is stopped.
const retainedWindows = 8

// Counter counts the requests of one process. It is safe for concurrent use.
type Counter struct {
	instanceID   string
	windowLength time.Duration
	now          func() time.Time // the control group's wall-clock time

	lock             sync.Mutex
	counts           map[int64]map[string]uint64   // by window, then tenant
	unreported       map[int64]map[string]struct{} // counters that increased since they were last reported
	lastReportWindow int64                         // the window during which the last report was made
}

// NewCounter returns a Counter for the named process that counts in windows of the given
// length; now returns the control group's wall-clock time.
func NewCounter(process string, length time.Duration, now func() time.Time) *Counter {
	return &Counter{
		instanceID: process + "#" + strconv.FormatUint(rand.Uint64(), 36), windowLength: length, now: now,
		counts: map[int64]map[string]uint64{}, unreported: map[int64]map[string]struct{}{},
	}
}

// CountRequest counts a request of the tenant that a replica started the given time ago.
func (c *Counter) CountRequest(tenant string, ago time.Duration) {
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

// windowOf returns the number of the window that contains the time: windows of the given
// length since the Unix epoch.
func windowOf(at time.Time, length time.Duration) int64 {
	return at.UnixMilli() / length.Milliseconds()
}

// markUnreported adds a counter to the next report. The caller must hold the lock.
func (c *Counter) markUnreported(window int64, tenant string) {
	if c.unreported[window] == nil {
		c.unreported[window] = map[string]struct{}{}
	}
	c.unreported[window][tenant] = struct{}{}
}

// dropThrough removes all windows up to and including last. The caller must hold the lock.
func (c *Counter) dropThrough(last int64) {
	for window := range c.counts {
		if window <= last {
			delete(c.counts, window)
			delete(c.unreported, window)
		}
	}
}

// NextReport returns the next report, the counters that increased since they were last reported,
// and marks them as reported. due is false if there are none and no window has ended since
// the last report.
func (c *Counter) NextReport() (report feed.UsageReport, due bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	// Read the time under the lock, so that anything counted later has a later time.
	now := c.now()
	window := windowOf(now, max(c.windowLength, time.Millisecond))
	report = feed.UsageReport{ProcessRun: c.instanceID, Through: now.UnixMilli()}
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

// MarkAllUnreported marks all counters as unreported, because a report was lost or there is a new
// leader. It does nothing on a nil Counter.
func (c *Counter) MarkAllUnreported() {
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
