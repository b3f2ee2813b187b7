package holdoff

import (
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/shoenig/test/must"
)

var twoPerSecond = ratelimit.Statement{Kind: ratelimit.Limited, PerSecond: 2}

// A limited replica is no candidate while its limit leaves no room, and again as soon as it does or
// the limit has ended. A pause holds besides.
func TestLimitedReplicaIsClosedWhileExhausted(t *testing.T) {
	replica := NewTable(Config{}).ObserveListed("r", firstProcess, 0)
	must.False(t, replica.ObserveLimit(0, 1, testStart, ratelimit.Statement{}))
	must.True(t, replica.ObserveLimit(0, 1, testStart, twoPerSecond))
	must.True(t, replica.IsLimited())
	must.Eq(t, Open, replica.State(2))
	replica.Exhaust(time.Second)
	must.Eq(t, Closed, replica.State(2))
	must.Eq(t, time.Second-2, replica.ExhaustedFor(2))
	must.True(t, replica.TryBegin(2), must.Sprint("for a request with a permit"))
	must.Eq(t, Open, replica.State(time.Second))
	replica.Exhaust(time.Minute)
	replica.Apply(3, testStart, Restrictions{RetryAfter: time.Hour})
	must.True(t, replica.ObserveLimit(2, 4, testStart, ratelimit.Statement{}))
	must.Eq(t, 0, replica.ExhaustedFor(5))
	must.Eq(t, Closed, replica.State(5), must.Sprint("it pauses"))
	must.False(t, replica.MaySend(5))
}

// Another process under the name has stated nothing; a list that is older or has no start times changes
// nothing.
func TestOnlyANewProcessEndsALimit(t *testing.T) {
	cases := []struct {
		name    string
		process Process
		limited bool
	}{
		{"the same process", firstProcess, true},
		{"an older process", Process{Address: firstProcess.Address, Born: firstProcess.Born - 1}, true},
		{"started long after", Process{Address: firstProcess.Address, Born: testStart.Add(maxClockSkew + time.Second).UnixMilli()}, false},
		{"at another address", Process{Address: "a:2"}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable(Config{})
			replica := table.ObserveListed("r", firstProcess, 0)
			replica.ObserveLimitReport(0, testStart, ratelimit.Report{Statement: twoPerSecond})
			table.ObserveListed("r", test.process, 1)
			must.Eq(t, test.limited, replica.IsLimited())
		})
	}
}
