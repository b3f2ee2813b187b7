package proxy

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// bodyBudget limits the memory used by request bodies. Each type of service has
// its own, so that model requests cannot exhaust the memory for requests to
// plain backends.
type bodyBudget struct {
	limit    int64
	reserved atomic.Int64
}

// reserve reserves size bytes and reports whether they fit.
func (b *bodyBudget) reserve(size int64) bool {
	if b.reserved.Add(size) <= b.limit {
		return true
	}
	b.reserved.Add(-size)
	return false
}

func (b *bodyBudget) release(size int64) { b.reserved.Add(-size) }

// requestBody is the body of a request and its reservation in the budget.
type requestBody struct {
	data     []byte
	budget   *bodyBudget
	reserved int64
}

// release returns the reservation to the budget. It must be called exactly once.
func (b *requestBody) release() { b.budget.release(b.reserved) }

// readBody reads a body up to the size limit. A body of unknown length reserves
// the limit until it has been read.
func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request, budget *bodyBudget) (*requestBody, *failure) {
	limit := p.config.Limits.BodyBytes
	if r.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = limit
	}
	if !budget.reserve(reserved) {
		return nil, unavailableFailure(codeOverloaded, "too many bytes of request bodies are held", time.Second)
	}
	data, failed := p.readAll(w, r, limit)
	if failed != nil {
		budget.release(reserved)
		return nil, failed
	}
	budget.release(reserved - int64(len(data)))
	return &requestBody{data: data, budget: budget, reserved: int64(len(data))}, nil
}

// readAll reads a body up to the size limit, within Timeouts.ReadBody.
func (p *Proxy) readAll(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *failure) {
	deadline := time.Now().Add(p.config.Timeouts.ReadBody)
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline) // if unsupported, the server's own limits apply
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var maxBytesErr *http.MaxBytesError
	switch {
	case errors.As(err, &maxBytesErr):
		return nil, bodyTooLarge(limit)
	case err != nil:
		return nil, invalidFailure(codeBadRequest, "the body was cut short")
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

func bodyTooLarge(limit int64) *failure {
	failed := invalidFailure(codeBodyTooLarge, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	failed.status = http.StatusRequestEntityTooLarge
	return failed
}
