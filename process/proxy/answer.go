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

// Error types of the OpenAI API.
const (
	typeInvalid     = "invalid_request_error"
	typeRateLimit   = "rate_limit_error"
	typeUnavailable = "service_unavailable"
	typeServer      = "server_error"
)

// Error codes, each with its usual HTTP status and its cause.
const (
	codeBadRequest       = "bad_request"         // 400
	codeKeyRequired      = "key_required"        // 400: at-most-once request without Idempotency-Key
	codeUnknownClass     = "unknown_class"       // 400
	codeUnknownModel     = "unknown_model"       // 404
	codeUnknownService   = "unknown_service"     // 404
	codeNotFound         = "not_found"           // 404: no such path
	codeMethodNotAllowed = "method_not_allowed"  // 405
	codeClassRefused     = "class_refused"       // 403: the class exists, but no engine serves it
	codeBodyTooLarge     = "body_too_large"      // 413
	codeRateLimited      = "rate_limited"        // 429: the tenant's bucket is empty
	codeQueueFull        = "queue_full"          // 503
	codeOverloaded       = "overloaded"          // 503: request bodies use up their memory limit
	codeNoEngine         = "no_engine"           // 503: no engine or backend accepts requests now
	codeQuarantined      = "quarantined"         // 503: engines crashed while running the request
	codeControlLost      = "control_lost"        // 503: the view lease has expired
	codeStopping         = "stopping"            // 503: a planned stop would interrupt the request before its deadline
	codeNoQuorum         = "no_quorum"           // 503: an at-most-once request could not be claimed
	codeDeadlineTooShort = "deadline_too_short"  // 504: the deadline cannot be met
	codeDeadlineExceeded = "deadline_exceeded"   // 504
	codeKeyConflict      = "key_conflict"        // 409: the key was used with another body
	codeKeyRunning       = "key_running"         // 409: the run with this key has no known outcome
	codeKeyDone          = "key_done"            // 409: the request ran, but its response was not stored
	codeUpstream         = "upstream_failed"     // 502
	codeCancelled        = "cancelled"           // 499: the caller disconnected
	codeAnswerTooLarge   = "answer_too_large"    // 502: a buffered response exceeds the size limit
	codeInternal         = "internal_error"      // 500
	codeEngineRefused    = "refused_by_upstream" // the status that the engine returned
)

const contentTypeJSON = "application/json"

// statusCallerGone is the status that nginx introduced for a client that closed its connection before
// the response.
const statusCallerGone = 499

// failure is an error response to the caller. Its ran tells whether the request ran: yes, no or
// unknown.
type failure struct {
	status     int
	errorType  string // the type field of the error object
	code       string
	message    string
	runState   attempt.Ran
	retryAfter time.Duration // 0 omits the Retry-After header, since a retry is pointless
	// final means that no other engine or backend is tried.
	final bool
	// budgetExempt means that trying another engine does not count against the
	// retry budget.
	budgetExempt bool
}

// invalidFailure returns the failure of a request that is itself at fault.
func invalidFailure(code, message string) *failure {
	return &failure{status: http.StatusBadRequest, errorType: typeInvalid, code: code, message: message, runState: attempt.RanNo}
}

// unavailableFailure returns the failure of a request that did not run and may be sent again later,
// after at least a second.
func unavailableFailure(code, message string, retryAfter time.Duration) *failure {
	return &failure{
		status:     http.StatusServiceUnavailable,
		errorType:  typeUnavailable,
		code:       code,
		message:    message,
		runState:   attempt.RanNo,
		retryAfter: max(retryAfter, time.Second),
	}
}

func (f *failure) errorBody() engineapi.ErrorBody {
	return engineapi.ErrorBody{Error: engineapi.ErrorDetail{
		Message: f.message,
		Type:    f.errorType,
		Code:    f.code,
		Ran:     string(f.runState),
	}}
}

func (f *failure) encode() []byte {
	encoded, err := json.Marshal(f.errorBody())
	if err != nil {
		panic(err) // programming error: the type always encodes
	}
	return encoded
}

// write sends the failure as the response. It must be called before the status
// is sent.
func (f *failure) write(w http.ResponseWriter) {
	header := w.Header()
	body := append(f.encode(), '\n')
	header.Set("Content-Type", contentTypeJSON)
	// With a Content-Length the caller has the complete response before the
	// handler returns.
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if f.retryAfter > 0 {
		seconds := int(math.Ceil(f.retryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(f.status)
	_, _ = w.Write(body)                      // the caller may have disconnected
	_ = http.NewResponseController(w).Flush() // a writer in a test may not support it
}
