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

// servicesPrefix begins the paths of plain back ends; a back end sees what
// follows the service's name.
const servicesPrefix = "/services/"

// backendCall is one request for a plain back end.
type backendCall struct {
	proxy    *Proxy
	lane     *lane
	id       string
	request  *http.Request
	target   string // path and query as the back end sees them
	body     *heldBody
	envelope envelope
	priority int
	endsAt   time.Duration // by the proxy's clock
	life     *attempt.Life
	claim    *claim
	excluded map[string]bool
	writer   http.ResponseWriter
	sent     bool
	kept     *recorded // the answer of a claimed run while it is small enough
}

// splitService parts "/services/{service}/rest" into the service and "/rest".
func splitService(path string) (service, rest string, found bool) {
	after, found := strings.CutPrefix(path, servicesPrefix)
	if !found {
		return "", "", false
	}
	service, rest, _ = strings.Cut(after, "/")
	return service, "/" + rest, service != ""
}

// serveService answers every method of /services/{service}/….
func (p *Proxy) serveService(w http.ResponseWriter, r *http.Request) {
	p.prepare(w)
	made, failed := p.newBackendCall(w, r)
	if failed != nil {
		failed.write(w)
		return
	}
	defer made.body.release()
	started := time.Now()
	failed = made.serve(r.Context())
	p.metrics.ended(made.lane.service, made.envelope.class, failed, time.Since(started))
	if failed == nil {
		return
	}
	if made.sent {
		// The status is out and the rest is missing: only a broken connection
		// tells the caller so.
		panic(http.ErrAbortHandler)
	}
	failed.write(w)
}

func (p *Proxy) newBackendCall(w http.ResponseWriter, r *http.Request) (*backendCall, *failure) {
	service, rest, found := splitService(r.URL.EscapedPath())
	if !found {
		return nil, notFound(codeNotFound, "no such path")
	}
	read, failed := readEnvelope(r.Header)
	if failed != nil {
		return nil, failed
	}
	s := p.standing()
	if failed := p.refuseLost(&s, api.ServiceBackend); failed != nil {
		return nil, failed
	}
	lane := p.lanes.find(service)
	if lane == nil || lane.kind == api.ServiceModel {
		return nil, notFound(codeUnknownService, "no such service")
	}
	class, failed := s.catalog.backendClass(read.class, service)
	if failed != nil {
		return nil, failed
	}
	if failed := p.settle(&read, class); failed != nil {
		return nil, failed
	}
	body, failed := p.readBody(w, r, &p.backendBodies)
	if failed != nil {
		return nil, failed
	}
	if failed := p.refuseLate(read.left); failed != nil {
		body.release()
		return nil, failed
	}
	if r.URL.RawQuery != "" {
		rest += "?" + r.URL.RawQuery
	}
	made := &backendCall{
		proxy:    p,
		lane:     lane,
		id:       p.newID(),
		request:  r,
		target:   rest,
		body:     body,
		envelope: read,
		endsAt:   p.clock() + read.left,
		excluded: map[string]bool{},
		writer:   w,
	}
	if class != nil {
		made.priority = class.Spec.Priority
	}
	made.life = attempt.New(attempt.Policy{Once: read.never || !safeMethod(r.Method), Attempts: p.config.Limits.Attempts})
	w.Header().Set(HeaderRequest, made.id)
	return made, nil
}

// safeMethod reports whether a request may be run again after an unknown
// outcome without being told so by its caller.
func safeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// backendClass returns the class that a caller named, the service's class of
// the lowest priority if none was named, or nil if the service has no class.
func (c *catalog) backendClass(name, service string) (*api.Class, *failure) {
	if name == "" {
		if classes := c.classOrder[service]; len(classes) > 0 {
			return classes[0], nil
		}
		return nil, nil
	}
	class := c.view.Classes[name]
	if class == nil || class.Spec.Service != service {
		return nil, invalid(codeUnknownClass, "no such class of the service")
	}
	return class, nil
}

func (c *backendCall) serve(ctx context.Context) *failure {
	defer c.proxy.running.add(&entry{
		id:      c.id,
		service: c.lane.service,
		class:   c.envelope.class,
		tenant:  c.envelope.tenant,
		started: time.Now(),
		life:    c.life,
	})()
	release, failed := c.proxy.admit(ctx, c.lane, limit.Ticket{
		Class:    c.envelope.class,
		Priority: c.priority,
		Tenant:   c.envelope.tenant,
		Deadline: time.Now().Add(c.left()),
		Gate:     c.life,
	})
	if failed != nil {
		return failed
	}
	defer release()
	c.lane.budget.Deposit()
	if c.envelope.never {
		ctx = context.WithoutCancel(ctx)
		answer := c.proxy.claimRun(ctx, &c.envelope, hashBody(c.request.Method, c.request.URL.RequestURI(), c.body.data))
		if answer.granted == nil {
			return c.answerClaimed(answer)
		}
		c.claim = answer.granted
		c.kept = &recorded{}
	}
	ctx, cancel := context.WithTimeout(ctx, c.left())
	defer cancel()
	failed = c.run(ctx)
	c.settle(failed)
	return failed
}

func (c *backendCall) settle(failed *failure) {
	if c.claim == nil {
		return
	}
	if c.life.Done() {
		c.proxy.settleClaim(c.claim, api.RunCompleted, c.kept)
		return
	}
	c.proxy.settleClaim(c.claim, outcomeOf(failed.ran), nil)
}

func (c *backendCall) answerClaimed(answer claimed) *failure {
	c.life.GiveUp()
	if answer.failed != nil {
		return answer.failed
	}
	header := c.writer.Header()
	header.Set("Landingtrail-Replayed", "true")
	if answer.answer.ContentType != "" {
		header.Set("Content-Type", answer.answer.ContentType)
	}
	c.sent = true
	c.writer.WriteHeader(answer.answer.Status)
	_, _ = c.writer.Write(answer.answer.Body) // the caller may be gone
	return nil
}

// keep adds to the answer that is kept with the claim while it is small.
func (c *backendCall) keep(part []byte) {
	if c.kept == nil {
		return
	}
	if len(c.kept.Body)+len(part) > state.MaxAnswerBytes {
		c.kept = nil
		return
	}
	c.kept.Body = append(c.kept.Body, part...)
}

// relayBufferBytes is how much of an answer is copied at once.
const relayBufferBytes = 32 << 10

// relay copies an answer's body to the caller. With a claim it goes on when
// the caller has gone, so that the answer can be kept. An answer of unknown
// length may be a stream: each part goes on as it comes.
func (c *backendCall) relay(response *http.Response) error {
	streamed := response.ContentLength < 0
	controller := http.NewResponseController(c.writer)
	buffer := make([]byte, relayBufferBytes)
	gone := false
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 || err == io.EOF {
			c.passHead(response)
		}
		if count > 0 && !gone {
			c.keep(buffer[:count])
			_ = controller.SetWriteDeadline(time.Now().Add(c.proxy.config.Timeouts.Write)) // a test's writer may have none
			if _, failed := c.writer.Write(buffer[:count]); failed != nil {
				gone = true
			}
			if streamed {
				_ = controller.Flush() // the next write tells whether the caller has gone
			}
		}
		if gone && c.claim == nil {
			return errCaller
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
