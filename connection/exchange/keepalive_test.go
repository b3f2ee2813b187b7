package exchange

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// closedAfter returns how long after the last received packet the system closes a connection on which a response is
// awaited, if the remote host sends nothing from silentFrom until silentTo, both after that packet; 0 if it does not.
// The rule is Linux's: a probe is sent once the idle time has passed, and then at each interval; the connection is
// closed at such a moment if the user timeout has passed since the last packet and a probe is unanswered.
func closedAfter(pool *Pool, silentFrom, silentTo time.Duration) time.Duration {
	probes := pool.dialer.KeepAliveConfig
	received, unanswered := time.Duration(0), 0
	for at := probes.Idle; at < time.Minute; {
		if unanswered > 0 && at-received >= pool.config.UserTimeout {
			return at
		}
		if at < silentFrom || at >= silentTo { // the probe is answered
			received, unanswered = at, 0
			at += probes.Idle
			continue
		}
		unanswered++
		at += probes.Interval
	}
	return 0
}

// Guards against a replica that falls silent for a second or so, and goes on, losing the connections on which
// responses are awaited, and against one that hangs for good and is not noticed.
func TestConnectionsOutlastASilenceOfASecond(t *testing.T) {
	pool := NewPool(Config{})
	const silence, noticed = 1500 * time.Millisecond, 4 * time.Second
	for from := time.Duration(0); from < 3*time.Second; from += 50 * time.Millisecond {
		must.Eq(t, 0, closedAfter(pool, from, from+silence), must.Sprint("silent from ", from))
		closed := closedAfter(pool, from, time.Hour)
		must.Between(t, 1, closed, from+noticed, must.Sprint("hangs from ", from))
	}
}
