package proxy

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/request/attempt"
)

// Types of errors, as OpenAI's clients know them.
const (
	typeInvalid     = "invalid_request_error"
	typeRateLimit   = "rate_limit_error"
	typeUnavailable = "service_unavailable"
	typeServer      = "server_error"
)

// Codes of errors. The documented answer to each kind of request that cannot
// be served stands beside it.
const (
	codeBadRequest       = "bad_request"         // 400
	codeKeyRequired      = "key_required"        // 400: marked, but without Idempotency-Key
	codeUnknownClass     = "unknown_class"       // 400
	codeUnknownModel     = "unknown_model"       // 404
	codeUnknownService   = "unknown_service"     // 404
	codeNotFound         = "not_found"           // 404: no such path
	codeMethod           = "method_not_allowed"  // 405
	codeClassRefused     = "class_refused"       // 403: no intent serves the class
	codeBodyTooLarge     = "body_too_large"      // 413
	codeRateLimited      = "rate_limited"        // 429: the tenant's bucket is empty
	codeQueueFull        = "queue_full"          // 503
	codeOverloaded       = "overloaded"          // 503: request bodies fill their memory
	codeNoEngine         = "no_engine"           // 503: none admits now
	codeQuarantined      = "quarantined"         // 503: engines ended under it
	codeControlLost      = "control_lost"        // 503: the view lease has lapsed
	codeStopping         = "stopping"            // 503: a planned stop leaves it no time
	codeNoQuorum         = "no_quorum"           // 503: a marked request could not be claimed
	codeDeadlineShort    = "deadline_too_short"  // 504: it cannot be met
	codeDeadlineExceeded = "deadline_exceeded"   // 504
	codeKeyConflict      = "key_conflict"        // 409: the key was used with another body
	codeKeyRunning       = "key_running"         // 409: the key's run has no known outcome
	codeKeyDone          = "key_done"            // 409: it ran, the answer was not kept
	codeUpstream         = "upstream_failed"     // 502
	codeCancelled        = "cancelled"           // 499: the caller went away
	codeAnswerTooLarge   = "answer_too_large"    // 502: a whole answer past the bound
	codeInternal         = "internal_error"      // 500
	codeEngineRefused    = "refused_by_upstream" // the engine's own status
)

const contentTypeJSON = "application/json"

// statusClientClosed is the customary status for a caller that went away.
const statusClientClosed = 499

// failure is a final answer other than what was asked for.
type failure struct {
	status     int
	kind       string // the error object's type
	code       string
	message    string
	ran        attempt.Ran
	retryAfter time.Duration // 0 when asking again makes no sense
	// final says that no other engine need be asked.
	final bool
	// free says that asking another engine costs none of the retry budget.
	free bool
}

func invalid(code, message string) *failure {
	return &failure{status: http.StatusBadRequest, kind: typeInvalid, code: code, message: message, ran: attempt.RanNo}
}

func unavailable(code, message string, retryAfter time.Duration) *failure {
	return &failure{
		status:     http.StatusServiceUnavailable,
		kind:       typeUnavailable,
		code:       code,
		message:    message,
		ran:        attempt.RanNo,
		retryAfter: max(retryAfter, time.Second),
	}
}

func (f *failure) body() engineapi.ErrorBody {
	return engineapi.ErrorBody{Error: engineapi.ErrorDetail{
		Message: f.message,
		Type:    f.kind,
		Code:    f.code,
		Ran:     string(f.ran),
	}}
}

func (f *failure) encode() []byte {
	encoded, err := json.Marshal(f.body())
	if err != nil {
		panic(err) // a type of ours that cannot be encoded
	}
	return encoded
}

// write answers with the failure. It must be called before the status is sent.
func (f *failure) write(w http.ResponseWriter) {
	header := w.Header()
	body := append(f.encode(), '\n')
	header.Set("Content-Type", contentTypeJSON)
	// With its length the answer is whole for the caller before the handler ends.
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if f.retryAfter > 0 {
		seconds := int(math.Ceil(f.retryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(f.status)
	_, _ = w.Write(body)                      // the caller may be gone
	_ = http.NewResponseController(w).Flush() // a test's writer may have none
}
