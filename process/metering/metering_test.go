package metering

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const window = 5 * time.Second

// start is the start of an arbitrary window, number 358409336.
var start = time.UnixMilli(358409336 * window.Milliseconds())

func TestRequestsAreCountedByWindow(t *testing.T) {
	now := start
	c := NewCounter("p", window, func() time.Time { return now })
	c.CountRequest("north", 0)
	c.CountRequest("", 0)
	now = now.Add(window + 10*time.Millisecond)
	c.CountRequest("north", 20*time.Millisecond) // started before the first window ended
	c.CountRequest("south", 0)
	report, due := c.NextReport()
	must.True(t, due)
	must.Eq(t, now.UnixMilli(), report.Through)
	must.SliceLen(t, 2, report.Counts)
	must.Eq(t, 358409336, report.Counts[0].Window)
	must.Eq(t, 2, report.Counts[0].Count)
	must.Eq(t, 358409337, report.Counts[1].Window)
	_, due = c.NextReport()
	must.False(t, due, must.Sprint("nothing has changed since the last report"))
	now = now.Add(window)
	report, due = c.NextReport()
	must.True(t, due, must.Sprint("a window has ended: an empty report must confirm that it is complete"))
	must.SliceEmpty(t, report.Counts)
	c.MarkAllUnreported()
	report, _ = c.NextReport()
	must.SliceLen(t, 2, report.Counts)
	must.NotEq(t, report.ProcessRun, NewCounter("p", window, time.Now).instanceID)
}

func TestCounterIsBounded(t *testing.T) {
	now := start
	c := NewCounter("p", window, func() time.Time { return now })
	for range 10 * retainedWindows {
		c.CountRequest("north", 0)
		now = now.Add(window)
	}
	must.LessEq(t, retainedWindows, len(c.counts))
	must.LessEq(t, retainedWindows, len(c.unreported))
}

// Clocks of a minority of machines must not move the group's time, whatever they report.
// The estimate of a process must be off by at most half a round trip, 21.5 ms, plus the
// error of the group's time.
func TestJumpingMinorityDoesNotMoveGroupTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		monotonic, groupTime := time.Duration(0), start
		advance := func(by time.Duration) { monotonic += by; groupTime = groupTime.Add(by) }
		ownJump := time.Duration(0)
		medianClock := NewMedianClock(func() time.Duration { return monotonic }, func() time.Time { return groupTime.Add(ownJump) })
		machines := 2 * rapid.IntRange(2, 10).Draw(t, "half of the machines")
		jumping := rapid.IntRange(0, machines/2-1).Draw(t, "those that jump")
		proxyClock := 77 * time.Second
		estimate := NewGroupClock(func() time.Duration { return monotonic + proxyClock }, func() time.Time { return groupTime.Add(time.Hour) })
		for range 20 {
			ownJump = time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "own jump")) * time.Millisecond
			for machine := range machines {
				jump := time.Duration(0)
				if machine < jumping {
					jump = time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "jump")) * time.Millisecond
				}
				medianClock.Record(fmt.Sprint(machine), groupTime.Add(jump).UnixMilli())
			}
			advance(medianInterval)
			must.Between(t, -2*time.Millisecond, medianClock.Now().Sub(groupTime), 2*time.Millisecond)
			toLeader, fromLeader := 3*time.Millisecond, time.Duration(rapid.IntRange(3, 40).Draw(t, "reply delay"))*time.Millisecond
			sent := monotonic + proxyClock
			advance(toLeader)
			groupMillis := medianClock.Now().UnixMilli()
			advance(fromLeader)
			estimate.Update(sent, monotonic+proxyClock, groupMillis)
			must.Between(t, -25*time.Millisecond, estimate.Now().Sub(groupTime), 25*time.Millisecond)
		}
	})
}

func TestLocalTimeIsUsedUntilSynchronized(t *testing.T) {
	must.Eq(t, start, NewGroupClock(func() time.Duration { return 0 }, func() time.Time { return start }).Now())
	must.Eq(t, start, NewMedianClock(func() time.Duration { return time.Minute }, func() time.Time { return start }).Now())
}
