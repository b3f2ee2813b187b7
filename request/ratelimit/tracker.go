package ratelimit

import "time"

// Tracker holds the latest statement about one replica. The zero value states no limit.
//
// Answers arrive out of order, so statements are ordered by when their requests were sent: of several
// rates the one stated to the latest request holds. A limit is ended only by the answer to a request
// that was sent after the limit was last heard, and is not restored by the answer to a request that was
// sent before the one that ended it.
type Tracker struct {
	limited   bool
	perSecond float64
	sentAt    time.Duration // when the request was sent whose answer stated perSecond
	heardAt   time.Duration // when the limit was last heard
	ended     bool          // a limit has ended
	endedAt   time.Duration // when the request was sent whose answer ended it
}

// Observe applies the statement of an answer that arrives at now, to a request sent at sentAt. It
// reports whether a limit has begun or ended.
func (t *Tracker) Observe(sentAt, now time.Duration, said Statement) (changed bool) {
	switch said.Kind {
	case Limited:
		return t.limit(sentAt, now, said.PerSecond)
	case Unlimited:
		return t.end(sentAt)
	}
	return false
}

// ObserveReport applies a statement that another process has heard.
func (t *Tracker) ObserveReport(now time.Duration, report Report) (changed bool) {
	return t.Observe(now-max(report.SentAge, report.Age), now-report.Age, report.Statement)
}

func (t *Tracker) limit(sentAt, now time.Duration, perSecond float64) (changed bool) {
	if t.ended && sentAt <= t.endedAt {
		return false
	}
	changed = !t.limited
	if changed || sentAt >= t.sentAt {
		t.perSecond, t.sentAt = perSecond, sentAt
	}
	if changed || now > t.heardAt {
		t.heardAt = now
	}
	t.limited = true
	return changed
}

func (t *Tracker) end(sentAt time.Duration) (changed bool) {
	if !t.limited || sentAt <= t.heardAt {
		return false
	}
	t.limited, t.ended, t.endedAt = false, true, sentAt
	return true
}

// Limit returns the rate in requests per second; false if there is no limit.
func (t *Tracker) Limit() (perSecond float64, limited bool) { return t.perSecond, t.limited }

// Report returns the latest statement for another process.
func (t *Tracker) Report(now time.Duration) Report {
	if t.limited {
		return Report{Statement: Statement{Kind: Limited, PerSecond: t.perSecond}, Age: now - t.heardAt, SentAge: now - t.sentAt}
	}
	return Report{Age: now - t.endedAt, SentAge: now - t.endedAt}
}
