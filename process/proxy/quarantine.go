package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/upstream"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/guard"
	"github.com/landingtrail/landingtrail/request/quarantine"
)

// lastDispatch describes the last dispatch of a model request to an engine.
type lastDispatch struct {
	target      *endpoint
	incarnation uint64        // 0 if unknown
	sentAt      time.Duration // reading of the proxy's clock
	events      int           // stream events received
}

// replicaName returns a name for the engine's incarnation, which the guard calls a replica, since a
// restarted engine keeps its own name.
func replicaName(engine string, incarnation uint64) string {
	return engine + "/" + strconv.FormatUint(incarnation, 16)
}

// fingerprint returns a hash of the request's content, which identifies it across resends; its ID
// is new for each.
func (c *modelCall) fingerprint() quarantine.Fingerprint {
	if c.cachedFingerprint == nil {
		computed := quarantine.FingerprintOf(quarantine.RequestIdentity{
			Method: http.MethodPost, Path: c.parsed.path, Caller: c.headers.tenant, Body: c.parsed.body,
		})
		c.cachedFingerprint = &computed
	}
	return *c.cachedFingerprint
}

// reportBroken reports to the guard that the engine's connection broke while it processed the
// request, as it does when the engine crashes. An engine that never reported its incarnation is
// ignored, since it cannot be distinguished from the engine after a restart.
func (c *modelCall) reportBroken(ctx context.Context, err error) {
	last := &c.lastDispatch
	if ctx.Err() != nil || last.target == nil || !isConnectionBroken(err) {
		return
	}
	if last.incarnation == 0 {
		last.incarnation = last.target.reported().incarnation
	}
	if last.incarnation == 0 {
		return
	}
	now := c.proxy.clock()
	c.crashedEngines++
	replica := replicaName(last.target.name, last.incarnation)
	event.ProxyRunBroken.Log(c.proxy.logger, "request", c.id, "fingerprint", c.fingerprint(), "class", c.headers.class,
		"engine", replica, "after_ms", (now - last.sentAt).Milliseconds(), "events", last.events, "err", err)
	last.target.recordSuspectedCrash(now, last.incarnation)
	// Once: the replica is one incarnation, which can crash only once.
	c.proxy.guard.NoteCrash(now, quarantine.AgedEvidence{Evidence: quarantine.Evidence{
		Fingerprint: c.fingerprint(), Replica: replica, HadOutput: last.events > 0, RunTime: now - last.sentAt, UniqueName: true,
		RequestInfo: quarantine.RequestInfo{Service: c.lane.service, Route: c.headers.class, Request: c.id},
	}})
}

// isConnectionBroken reports whether the error means that the peer closed or reset the connection.
// Errors that the engine reports itself and timeouts do not count.
func isConnectionBroken(err error) bool {
	if errors.Is(err, upstream.ErrUnmatchedResponse) || errors.Is(err, upstream.ErrMalformed) || errors.Is(err, upstream.ErrEngine) {
		return false
	}
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// reportAlive tells the guard that an engine which appeared to have crashed has responded to a
// request that was sent to it afterwards, whether this proxy or another one reported the crash.
func (p *Proxy) reportAlive(target *endpoint, sentAt time.Duration) {
	if incarnation, refuted := target.resolveSuspectedCrash(sentAt); refuted {
		p.guard.NoteAlive(p.clock(), quarantine.LiveReplica{Replica: replicaName(target.name, incarnation), RunningFor: quarantine.AnyAge})
	}
	// Another proxy may have reported the crash.
	if replica := replicaName(target.name, target.reported().incarnation); p.guard.Active() && p.guard.RefutesCrash(replica, sentAt) {
		p.guard.NoteAlive(p.clock(), quarantine.LiveReplica{Replica: replica, RunningFor: quarantine.AnyAge})
	}
}

// quarantined reports whether the request is quarantined, that is must not be sent to any engine, and
// why. It is so before the control group decides if HarmfulIncidents engines crashed
// during this call, or if at least one did and HasManyCrashes finds enough crashes for the
// fingerprint.
func (c *modelCall) quarantined() (hold guard.Hold, isQuarantined bool) {
	if c.crashedEngines >= quarantine.HarmfulIncidents || c.crashedEngines > 0 && c.proxy.guard.HasManyCrashes(c.proxy.clock(), c.fingerprint()) {
		return guard.Hold{Basis: guard.BasisOwnCrashes, Remaining: guard.MinHold}, true
	}
	if !c.proxy.guard.Active() {
		return guard.Hold{}, false
	}
	return c.proxy.guard.CheckHold(c.proxy.clock(), time.Now(), c.fingerprint(), nil) // no owner: no request is tried
}

// refuseQuarantined returns the failure of a request that is quarantined because engines crashed
// while processing it, or nil for any other.
func (c *modelCall) refuseQuarantined() *failure {
	hold, isQuarantined := c.quarantined()
	if !isQuarantined {
		return nil
	}
	c.proxy.metrics.held.Inc()
	event.ProxyRequestHeld.Log(c.proxy.logger, "request", c.id, "fingerprint", c.fingerprint(), "class", c.headers.class,
		"by", hold.Basis, "rest_ms", hold.Remaining.Milliseconds())
	failed := unavailableFailure(codeQuarantined, "engines ended under this request; it is held", hold.Remaining)
	failed.final = true
	return failed
}

// reportServed tells the guard that the request got a complete response, so that earlier crashes no
// longer count against it.
func (c *modelCall) reportServed() {
	// c.cachedFingerprint is also set if an engine crashed during this call, which the guard of
	// this proxy may be the only one to know.
	if c.cachedFingerprint != nil || c.proxy.guard.Active() {
		c.proxy.guard.NoteServed(c.proxy.clock(), c.fingerprint())
	}
}

// recordSuspectedCrash records that the engine's incarnation appears to have crashed.
func (e *endpoint) recordSuspectedCrash(now time.Duration, incarnation uint64) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.suspectedCrashAt, e.suspectedCrashIncarnation = max(now, 1), incarnation // a time of 0 means no suspected crash
}

// resolveSuspectedCrash checks a suspected crash against a response to a request sent at sentAt. It
// reports whether the response refutes the crash because it comes from the same incarnation. A
// response to a request sent after the crash clears the suspicion, also if it comes from a new
// incarnation, so each crash is refuted at most once.
func (e *endpoint) resolveSuspectedCrash(sentAt time.Duration) (incarnation uint64, refuted bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.suspectedCrashAt == 0 || sentAt <= e.suspectedCrashAt || e.incarnation == 0 {
		return 0, false
	}
	incarnation, refuted = e.suspectedCrashIncarnation, e.incarnation == e.suspectedCrashIncarnation
	e.suspectedCrashAt = 0
	return incarnation, refuted
}
