package emulator

import (
	"time"

	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/request/reach"
)

// Partition is a period in which one proxy is partitioned from all engines: its connections are reset,
// and new ones refused. Callers and the other proxies still reach it.
type Partition struct {
	At, Until time.Duration
	Proxy     int // index
}

const (
	// verifyTime is how long it takes to find out by new connections whether any engine is reached.
	verifyTime = 12 * time.Millisecond
	// reconnectInterval is the pause between two attempts to reach an engine while partitioned.
	reconnectInterval = 200 * time.Millisecond
	// directoryDelay is how long callers go on to a proxy after it has found out that it is partitioned,
	// by the answers of the directory that they have.
	directoryDelay = 2 * time.Second
)

// reasonUnreachable is the reason of refusals by a proxy that reaches no engine.
const reasonUnreachable = "unreachable"

// links are those of one proxy to the engines.
type links struct {
	proxy   *proxy
	cut     bool
	tracker *reach.Tracker
	// lostAt is when the proxy last found out that it is partitioned.
	lostAt time.Duration
}

func newLinks(p *proxy) *links { return &links{proxy: p, tracker: reach.NewTracker()} }

// begin breaks all connections of the proxy to engines.
func (l *links) begin() {
	l.cut = true
	var broken []*stage
	for _, h := range l.proxy.run.hosts {
		for _, s := range h.sortedActive() {
			if s.flow.proxy == l.proxy {
				broken = append(broken, s)
			}
		}
	}
	for _, s := range broken {
		l.breakOff(s)
		s.target.host.cancel(s.key())
	}
}

// breakOff ends a stage whose connection was reset.
func (l *links) breakOff(s *stage) {
	s.closed = true
	s.finish()
	l.fail(reach.NoResponse, func() {
		if !s.flow.closed {
			s.repeatElsewhere()
		}
	})
}

// end makes new connections possible again.
func (l *links) end() { l.cut = false }

// isPartitioned reports whether the proxy has found out that it reaches no engine.
func (l *links) isPartitioned() bool { return l.tracker.State() == reach.Partitioned }

// isNamed reports whether callers still go to the proxy.
func (l *links) isNamed() bool {
	return !l.isPartitioned() || l.proxy.run.now-l.lostAt < directoryDelay
}

// fail records a failure and calls then once it is known whether any engine is reached.
func (l *links) fail(failure reach.Failure, then func()) {
	l.tracker.RecordFailure(l.proxy.run.now, failure)
	beganAt := l.proxy.run.now
	l.proxy.run.after(verifyTime, func() {
		l.endRound(beganAt)
		then()
	})
}

// endRound records the result of new connections that were opened at the given time.
func (l *links) endRound(beganAt time.Duration) {
	now := l.proxy.run.now
	if !l.cut {
		l.tracker.RecordConnection(now, beganAt)
		return
	}
	if l.tracker.RecordFailedRound(now, beganAt) {
		l.lostAt = now
		l.proxy.run.after(reconnectInterval, l.reconnect)
	}
}

// reconnect opens connections until one succeeds.
func (l *links) reconnect() {
	now := l.proxy.run.now
	if !l.cut {
		l.tracker.RecordConnection(now, now)
		return
	}
	l.proxy.run.after(reconnectInterval, l.reconnect)
}

// unreached is the end of a stage whose engine could not be connected to. The engine is not to blame if
// the proxy reaches none.
func (s *stage) unreached() {
	s.flow.proxy.links.fail(reach.NoConnection, func() {
		s.finish()
		if s.closed || s.flow.closed {
			return
		}
		s.closed = true
		if !s.prefillOnly() {
			s.flow.lifecycle.Fail(s.attempt, attempt.FaultNotWritten)
		}
		switch {
		case s.flow.proxy.links.isPartitioned():
			s.flow.giveUp(reasonUnreachable)
		case s.prefillOnly():
			s.flow.splitAgain(s.target.host.name)
		default:
			s.flow.exclude(s.target.host.name)
			s.flow.retry("engine not reached", false)
		}
	})
}
