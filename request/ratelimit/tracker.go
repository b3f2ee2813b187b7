package ratelimit

import "time"

// Tracker holds the latest statement about one replica. The zero value states no limit.
//
// Answers arrive out of order, so statements are ordered by when their requests were sent: of several
// rates the one stated to the latest request holds, and a limit that has ended is not restored by the
// answer to an earlier request. An answer ends a limit only if its request was sent after the limit was
// last received, because an earlier request may have been answered before the limit began. The report of
// such an end is already that strong, so it is only compared with the request that stated the rate.
type Tracker struct {
	limited    bool
	perSecond  float64
	sentAt     time.Duration // when the request was sent whose answer stated perSecond
	receivedAt time.Duration // when the limit was last received
	ended      bool          // a limit has ended
	endedAt    time.Duration // when the request was sent whose answer ended it
}

// Observe applies the statement of an answer that arrives at now, to a request sent at sentAt. It
// reports whether a limit has begun or ended.
func (t *Tracker) Observe(sentAt, now time.Duration, statement Statement) (changed bool) {
	switch statement.Kind {
	case Limited:
		return t.limit(sentAt, now, statement.PerSecond)
	case Unlimited:
		return t.limited && sentAt > t.receivedAt && t.end(sentAt)
	}
	return false
}

// ObserveReport applies a statement that another process has received.
func (t *Tracker) ObserveReport(now time.Duration, report Report) (changed bool) {
	switch report.Kind {
	case Limited:
		return t.limit(now-max(report.SentAge, report.Age), now-report.Age, report.PerSecond)
	case Unlimited:
		return t.end(now - report.Age)
	}
	return false
}

func (t *Tracker) limit(sentAt, now time.Duration, perSecond float64) (changed bool) {
	if t.ended && sentAt <= t.endedAt {
		return false
	}
	changed = !t.limited
	if changed || sentAt >= t.sentAt {
		t.perSecond, t.sentAt = perSecond, sentAt
	}
	if changed || now > t.receivedAt {
		t.receivedAt = now
	}
	t.limited = true
	return changed
}

// end ends the limit. Without a limit it only records the time, so that reports of the limit that arrive
// later do not restore it.
func (t *Tracker) end(sentAt time.Duration) (changed bool) {
	if t.limited && sentAt < t.sentAt {
		return false
	}
	if !t.ended || sentAt > t.endedAt {
		t.ended, t.endedAt = true, sentAt
	}
	changed = t.limited
	t.limited = false
	return changed
}

// IsRecent reports whether there is a limit, or one ended not long ago.
func (t *Tracker) IsRecent(now time.Duration) bool {
	return t.limited || t.ended && now-t.endedAt <= forgetAfter
}

// Limit returns the rate in requests per second; false if there is no limit.
func (t *Tracker) Limit() (perSecond float64, limited bool) { return t.perSecond, t.limited }

// Report returns the latest statement for another process. now may be slightly earlier than the times of
// previous calls, as it is for concurrent callers; ages are never negative.
func (t *Tracker) Report(now time.Duration) Report {
	if t.limited {
		statement := Statement{Kind: Limited, PerSecond: t.perSecond}
		return Report{Statement: statement, Age: max(now-t.receivedAt, 0), SentAge: max(now-t.sentAt, 0)}
	}
	age := max(now-t.endedAt, 0)
	return Report{Age: age, SentAge: age}
}
