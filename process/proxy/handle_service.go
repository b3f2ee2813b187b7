package proxy

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/request/limit"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
)

// servicesPrefix is the path prefix of requests to plain backends. It is followed
// by the name of the service and the path that the backend receives.
const servicesPrefix = "/services/"

// backendCall is the state of one request to a plain backend.
type backendCall struct {
	proxy      *Proxy
	lane       *lane
	id         string
	request    *http.Request
	targetPath string // path and query that the backend receives
	body       *requestBody
	headers    requestHeaders
	priority   int
	deadline   time.Duration // reading of the proxy's clock
	attempts   *attempt.Lifecycle
	claim      *claim
	excluded   map[string]bool
	writer     http.ResponseWriter
	headerSent bool
	recorded   *recordedResponse // the response of a claimed run, nil once it is too large
}

// splitServicePath splits "/services/{service}/rest" into the service and
// "/rest".
func splitServicePath(path string) (service, rest string, found bool) {
	after, found := strings.CutPrefix(path, servicesPrefix)
	if !found {
		return "", "", false
	}
	service, rest, _ = strings.Cut(after, "/")
	return service, "/" + rest, service != ""
}

// serveService handles all methods of /services/{service}/….
func (p *Proxy) serveService(w http.ResponseWriter, r *http.Request) {
	p.setCommonHeaders(w)
	c, failed := p.newBackendCall(w, r)
	if failed != nil {
		failed.write(w)
		return
	}
	defer c.body.release()
	started := time.Now()
	failed = c.serve(r.Context())
	p.metrics.observeEnd(c.lane.service, c.headers.class, failed, time.Since(started))
	if failed == nil {
		return
	}
	if c.headerSent {
		// The status has been sent, so only a closed connection can tell the caller
		// that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
	failed.write(w)
}

// newBackendCall validates a request against the view, reads its body, and sets the response header
// with its ID.
func (p *Proxy) newBackendCall(w http.ResponseWriter, r *http.Request) (*backendCall, *failure) {
	service, rest, found := splitServicePath(r.URL.EscapedPath())
	if !found {
		return nil, notFoundFailure(codeNotFound, "no such path")
	}
	headers, failed := parseHeaders(r.Header)
	if failed != nil {
		return nil, failed
	}
	s := p.viewState()
	if failed := p.refuseWithoutControl(&s, api.ServiceBackend); failed != nil {
		return nil, failed
	}
	lane := p.lanes.find(service)
	if lane == nil || lane.kind == api.ServiceModel {
		return nil, notFoundFailure(codeUnknownService, "no such service")
	}
	class, failed := s.catalog.backendClass(headers.class, service)
	if failed != nil {
		return nil, failed
	}
	if failed := p.applyClass(&headers, class); failed != nil {
		return nil, failed
	}
	body, failed := p.readBody(w, r, &p.backendBodies)
	if failed != nil {
		return nil, failed
	}
	if failed := p.refuseBeyondDrain(headers.timeLeft); failed != nil {
		body.release()
		return nil, failed
	}
	if r.URL.RawQuery != "" {
		rest += "?" + r.URL.RawQuery
	}
	c := &backendCall{
		proxy:      p,
		lane:       lane,
		id:         p.newID(),
		request:    r,
		targetPath: rest,
		body:       body,
		headers:    headers,
		deadline:   p.clock() + headers.timeLeft,
		excluded:   map[string]bool{},
		writer:     w,
	}
	if class != nil {
		c.priority = class.Spec.Priority
	}
	c.attempts = attempt.New(attempt.Policy{AtMostOnce: headers.atMostOnce || !safeMethod(r.Method), MaxAttempts: p.config.Limits.Attempts})
	w.Header().Set(HeaderRequestID, c.id)
	return c, nil
}

// safeMethod reports whether a request with the method may be retried after an
// unknown outcome.
func safeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// backendClass returns the class of the given name. If the name is empty, it
// returns the service's class of the lowest priority, or nil if the service has
// no classes.
func (c *catalog) backendClass(name, service string) (*api.Class, *failure) {
	if name == "" {
		if classes := c.classesByPriority[service]; len(classes) > 0 {
			return classes[0], nil
		}
		return nil, nil
	}
	class := c.view.Classes[name]
	if class == nil || class.Spec.Service != service {
		return nil, invalidFailure(codeUnknownClass, "no such class of the service")
	}
	return class, nil
}

// serve admits, claims and runs the request and sends a successful response. It returns nil after a
// complete response.
func (c *backendCall) serve(ctx context.Context) *failure {
	defer c.proxy.inFlight.add(&entry{
		id:       c.id,
		service:  c.lane.service,
		class:    c.headers.class,
		tenant:   c.headers.tenant,
		started:  time.Now(),
		attempts: c.attempts,
	})()
	release, failed := c.proxy.admit(ctx, c.lane, limit.Ticket{
		Class:    c.headers.class,
		Priority: c.priority,
		Tenant:   c.headers.tenant,
		Deadline: time.Now().Add(c.timeLeft()),
		Gate:     c.attempts,
	})
	if failed != nil {
		return failed
	}
	defer release()
	c.lane.budget.Deposit()
	if c.headers.atMostOnce {
		ctx = context.WithoutCancel(ctx)
		claimed := c.proxy.acquireClaim(ctx, &c.headers, hashRequest(c.request.Method, c.request.URL.RequestURI(), c.body.data))
		if claimed.granted == nil {
			return c.respondFromClaim(claimed)
		}
		c.claim = claimed.granted
		c.recorded = &recordedResponse{}
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeLeft())
	defer cancel()
	failed = c.run(ctx)
	c.recordOutcome(failed)
	return failed
}

// recordOutcome records the outcome of a claimed request with the control group.
func (c *backendCall) recordOutcome(failed *failure) {
	if c.claim == nil {
		return
	}
	if c.attempts.Done() {
		c.proxy.finishClaim(c.claim, api.RunCompleted, c.recorded)
		return
	}
	c.proxy.finishClaim(c.claim, outcomeFor(failed.runState), nil)
}

// respondFromClaim sends the recorded response, or returns the failure of the claim.
func (c *backendCall) respondFromClaim(claimed claimResult) *failure {
	c.attempts.GiveUp()
	if claimed.failed != nil {
		return claimed.failed
	}
	header := c.writer.Header()
	header.Set("Landingtrail-Replayed", "true")
	if claimed.response.ContentType != "" {
		header.Set("Content-Type", claimed.response.ContentType)
	}
	c.headerSent = true
	c.writer.WriteHeader(claimed.response.Status)
	_, _ = c.writer.Write(claimed.response.Body) // the caller may have disconnected
	return nil
}

// recordBody appends to the response that is stored with the claim, or drops that response if it
// becomes too large.
func (c *backendCall) recordBody(part []byte) {
	if c.recorded == nil {
		return
	}
	if len(c.recorded.Body)+len(part) > state.MaxAnswerBytes {
		c.recorded = nil
		return
	}
	c.recorded.Body = append(c.recorded.Body, part...)
}

// copyBufferBytes is the size of the buffer for copying response bodies.
const copyBufferBytes = 32 << 10

// copyBody copies a response body to the caller. For a claimed request it reads on after the caller
// has disconnected, so that the run can be recorded; the parts that follow the failed write are not
// recorded. A response of unknown length may be a stream, so each part is flushed as it arrives.
func (c *backendCall) copyBody(response *http.Response) error {
	streamed := response.ContentLength < 0
	controller := http.NewResponseController(c.writer)
	buffer := make([]byte, copyBufferBytes)
	callerGone := false
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 || err == io.EOF {
			c.sendHeader(response)
		}
		if count > 0 && !callerGone {
			c.recordBody(buffer[:count])
			_ = controller.SetWriteDeadline(time.Now().Add(c.proxy.config.Timeouts.Write)) // a writer in a test may not support it
			if _, writeErr := c.writer.Write(buffer[:count]); writeErr != nil {
				callerGone = true
			}
			if streamed {
				_ = controller.Flush() // the error also shows at the next write
			}
		}
		if callerGone && c.claim == nil {
			return errCallerGone
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
