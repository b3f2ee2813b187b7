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

// running is where a model request is at work now, or was last.
type running struct {
	target      *endpoint
	incarnation uint64
	sentAt      time.Duration
	events      int
}

// instance names an engine's incarnation: the engine comes back under its own name.
func instance(engine string, incarnation uint64) string {
	return engine + "/" + strconv.FormatUint(incarnation, 16)
}

// fingerprint names the request by what it is; its ID is new each time it comes.
func (c *call) fingerprint() quarantine.Fingerprint {
	if c.named == nil {
		named := quarantine.Of(quarantine.Identity{
			Method: http.MethodPost, Path: c.parsed.path, Caller: c.envelope.tenant, Body: c.parsed.body,
		})
		c.named = &named
	}
	return *c.named
}

// noteBroken notes that an engine's connection broke while it was at work on the request,
// as it does when the engine ends. An engine that never said which incarnation it is cannot
// be told from the one that comes after it, and is left out.
func (c *call) noteBroken(ctx context.Context, err error) {
	at := &c.running
	if ctx.Err() != nil || at.target == nil || !isBroken(err) {
		return
	}
	if at.incarnation == 0 {
		at.incarnation = at.target.word().incarnation
	}
	if at.incarnation == 0 {
		return
	}
	now := c.proxy.clock()
	c.ended++
	name := instance(at.target.name, at.incarnation)
	event.ProxyRunBroken.Log(c.proxy.logger, "request", c.id, "fingerprint", c.fingerprint(), "class", c.envelope.class,
		"engine", name, "after_ms", (now - at.sentAt).Milliseconds(), "events", at.events, "err", err)
	at.target.noteEnd(now, at.incarnation)
	c.proxy.guard.NoteCrash(now, quarantine.Evidence{
		Fingerprint: c.fingerprint(), Replica: name, Began: at.events > 0, Ran: now - at.sentAt, Once: true,
		About: quarantine.About{Service: c.lane.service, Route: c.envelope.class, Request: c.id},
	})
}

// isBroken reports whether a connection was closed or reset by the other side. What the
// engine says itself, and silence, are other faults.
func isBroken(err error) bool {
	if errors.Is(err, upstream.ErrForeign) || errors.Is(err, upstream.ErrMalformed) || errors.Is(err, upstream.ErrEngine) {
		return false
	}
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// noteLife tells of an engine that seemed to have ended and has answered what was asked
// after that.
func (p *Proxy) noteLife(heard *endpoint, asked time.Duration) {
	if incarnation, refuted := heard.refutesEnd(asked); refuted {
		p.guard.NoteAlive(p.clock(), quarantine.Alive{Replica: instance(heard.name, incarnation), For: quarantine.Ever})
	}
	if name := instance(heard.name, heard.word().incarnation); p.guard.Active() && p.guard.RefutesCrash(name, asked) {
		p.guard.NoteAlive(p.clock(), quarantine.Alive{Replica: name, For: quarantine.Ever})
	}
}

// held reports whether the request is to go to no engine, and for how long. What has ended
// enough of them by itself, or one of as many, does not wait for the group's word.
func (c *call) held() (rest time.Duration, held bool) {
	if c.ended >= quarantine.CondemningEnds || c.ended > 0 && c.proxy.guard.HasManyCrashes(c.proxy.clock(), c.fingerprint()) {
		return guard.MinHold, true
	}
	if !c.proxy.guard.Active() {
		return 0, false
	}
	return c.proxy.guard.CheckHold(c.proxy.clock(), time.Now(), c.fingerprint(), nil)
}

// refuseHeld returns the refusal of a request under which engines end, nil for any other.
func (c *call) refuseHeld() *failure {
	rest, held := c.held()
	if !held {
		return nil
	}
	c.proxy.metrics.held.Inc()
	event.ProxyRequestHeld.Log(c.proxy.logger, "request", c.id, "fingerprint", c.fingerprint(), "class", c.envelope.class,
		"rest_ms", rest.Milliseconds())
	failed := unavailable(codeQuarantined, "engines ended under this request; it is held", rest)
	failed.final = true
	return failed
}

// noteServed clears a request that was answered whole, if anything speaks against it.
func (c *call) noteServed() {
	// Named is also one that met its first end itself: no one else knows of it yet.
	if c.named != nil || c.proxy.guard.Active() {
		c.proxy.guard.NoteServed(c.proxy.clock(), c.fingerprint())
	}
}

// noteEnd notes that the engine's incarnation seems to have ended.
func (e *endpoint) noteEnd(now time.Duration, incarnation uint64) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.endedAt, e.endedIncarnation = max(now, 1), incarnation
}

// refutesEnd reports whether an answer to what was asked then is by the incarnation that
// seemed to have ended; once for each time. One that came after it ends the question.
func (e *endpoint) refutesEnd(asked time.Duration) (incarnation uint64, refuted bool) {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.endedAt == 0 || asked <= e.endedAt || e.incarnation == 0 {
		return 0, false
	}
	incarnation, refuted = e.endedIncarnation, e.incarnation == e.endedIncarnation
	e.endedAt = 0
	return incarnation, refuted
}
