package proxy

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// bodyBudget bounds the bytes of request bodies that are held at once. Each
// type of service has its own, so that model work cannot use up that of frames
// and lookups.
type bodyBudget struct {
	limit int64
	held  atomic.Int64
}

// take reserves size bytes; false when they do not fit.
func (b *bodyBudget) take(size int64) bool {
	if b.held.Add(size) <= b.limit {
		return true
	}
	b.held.Add(-size)
	return false
}

func (b *bodyBudget) give(size int64) { b.held.Add(-size) }

// heldBody is a request's body and what it has reserved.
type heldBody struct {
	data     []byte
	budget   *bodyBudget
	reserved int64
}

// release gives the reservation back. It must be called once.
func (h *heldBody) release() { h.budget.give(h.reserved) }

// readBody reads a body up to the bound. A body of unknown length reserves the
// bound until it is read.
func (p *Proxy) readBody(w http.ResponseWriter, r *http.Request, budget *bodyBudget) (*heldBody, *failure) {
	limit := p.config.Limits.BodyBytes
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = limit
	}
	if !budget.take(reserved) {
		return nil, unavailable(codeOverloaded, "too many bytes of request bodies are held", time.Second)
	}
	data, failed := p.readAll(w, r, limit)
	if failed != nil {
		budget.give(reserved)
		return nil, failed
	}
	budget.give(reserved - int64(len(data)))
	return &heldBody{data: data, budget: budget, reserved: int64(len(data))}, nil
}

func (p *Proxy) readAll(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *failure) {
	deadline := time.Now().Add(p.config.Timeouts.ReadBody)
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline) // without it the server's own limits hold
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var past *http.MaxBytesError
	switch {
	case errors.As(err, &past):
		return nil, tooLarge(limit)
	case err != nil:
		return nil, invalid(codeBadRequest, "the body was cut short")
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

func tooLarge(limit int64) *failure {
	refused := invalid(codeBodyTooLarge, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	refused.status = http.StatusRequestEntityTooLarge
	return refused
}
