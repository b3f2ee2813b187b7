package holdoff

import (
	"time"

	"github.com/landingtrail/landingtrail/request/ratelimit"
)

// limit is the rate that a replica accepts from all processes together. Unlike the other restrictions
// it is kept by a member of the control group, which grants single requests; this process remembers
// only until when it need not ask again.
type limit struct {
	tracker      ratelimit.Tracker
	receivedTime time.Time // the wall clock time at which the limit was last received
	// exhaustedUntil is until when no request will be granted.
	exhaustedUntil time.Duration
}

func (l *limit) isLimited() bool {
	_, limited := l.tracker.Limit()
	return limited
}

func (l *limit) isExhausted(now time.Duration) bool { return l.isLimited() && now < l.exhaustedUntil }

// ObserveLimit applies what an answer that arrives now, to a request sent at sentAt, states about the
// replica's rate. It reports whether a limit has begun or ended.
func (r *Replica) ObserveLimit(sentAt, now time.Duration, wallTime time.Time, statement ratelimit.Statement) (changed bool) {
	if statement.Kind != ratelimit.Limited && !r.restricted.Load() {
		return false
	}
	return r.applyLimit(now, wallTime, statement.Kind == ratelimit.Limited, func(tracker *ratelimit.Tracker) bool {
		return tracker.Observe(sentAt, now, statement)
	})
}

// ObserveLimitReport applies the report of a member of the control group on the replica's rate.
func (r *Replica) ObserveLimitReport(now time.Duration, wallTime time.Time, report ratelimit.Report) (changed bool) {
	return r.applyLimit(now, wallTime.Add(-report.Age), report.Kind == ratelimit.Limited, func(tracker *ratelimit.Tracker) bool {
		return tracker.ObserveReport(now, report)
	})
}

func (r *Replica) applyLimit(now time.Duration, receivedTime time.Time, states bool, observe func(*ratelimit.Tracker) bool) (changed bool) {
	if states {
		r.table.keep(r)
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	changed = observe(&r.limit.tracker)
	if states && receivedTime.After(r.limit.receivedTime) {
		r.limit.receivedTime = receivedTime
	}
	if changed {
		r.limit.exhaustedUntil = 0
		r.updateRestrictedLocked(now)
	}
	return changed
}

// LimitReport returns what is known of the replica's rate.
func (r *Replica) LimitReport(now time.Duration) ratelimit.Report {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.limit.tracker.Report(now)
}

// HasRecentLimit reports whether the replica has a limit, or one ended not long ago.
func (r *Replica) HasRecentLimit(now time.Duration) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.limit.tracker.IsRecent(now)
}

// IsLimited reports whether the replica has a limit. A request may then be sent there only if it was
// granted.
func (r *Replica) IsLimited() bool {
	if !r.restricted.Load() {
		return false
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.limit.isLimited()
}

// Exhaust records that no request to the limited replica will be granted before the given time.
func (r *Replica) Exhaust(until time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.limit.exhaustedUntil = until
}

// ExhaustedFor returns the time until a request to the limited replica may be granted, 0 if it may be
// now or if there is no limit.
func (r *Replica) ExhaustedFor(now time.Duration) time.Duration {
	if !r.restricted.Load() {
		return 0
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	if !r.limit.isExhausted(now) {
		return 0
	}
	return r.limit.exhaustedUntil - now
}
