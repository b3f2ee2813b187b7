package proxy

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/request/attempt"
	"github.com/landingtrail/landingtrail/request/prefix"
	"github.com/landingtrail/landingtrail/version/api"
)

// Request headers, and HeaderRequestID, which is set on responses.
const (
	HeaderIdempotencyKey = "Idempotency-Key"       // identifies a request across retries by the caller
	HeaderRepeatPolicy   = "Landingtrail-Repeat"   // "never": the request must run at most once
	HeaderDeadline       = "Landingtrail-Deadline" // time left in milliseconds
	HeaderClass          = "Landingtrail-Class"    // default: the class of the lowest priority
	HeaderTenant         = "Landingtrail-Tenant"   // default: DefaultTenant
	// HeaderRequestID is set on the response to every request that passed validation. It has the
	// request ID that the proxy and the engines use.
	HeaderRequestID = "Landingtrail-Request"
)

// DefaultTenant is the tenant of requests without HeaderTenant.
const DefaultTenant = "default"

const repeatNever = "never"

// maxHeaderValueBytes is the maximum length of a key, class or tenant in bytes.
const maxHeaderValueBytes = 256

// maxDeadline is the longest deadline that a caller can set; longer ones are shortened to it.
const maxDeadline = 24 * time.Hour

// requestHeaders has the values of a request's headers.
type requestHeaders struct {
	tenant     string
	class      string // "" if not set
	key        string
	atMostOnce bool
	timeLeft   time.Duration // 0 if not set
}

func parseHeaders(header http.Header) (requestHeaders, *failure) {
	headers := requestHeaders{
		tenant: header.Get(HeaderTenant),
		class:  header.Get(HeaderClass),
		key:    header.Get(HeaderIdempotencyKey),
	}
	headers.tenant = cmp.Or(headers.tenant, DefaultTenant)
	for _, value := range []string{headers.tenant, headers.class, headers.key} {
		if len(value) > maxHeaderValueBytes {
			return headers, invalidFailure(codeBadRequest, "a header value is longer than "+strconv.Itoa(maxHeaderValueBytes)+" bytes")
		}
	}
	switch header.Get(HeaderRepeatPolicy) {
	case "":
	case repeatNever:
		headers.atMostOnce = true
	default:
		return headers, invalidFailure(codeBadRequest, HeaderRepeatPolicy+` must be "never"`)
	}
	timeLeft, failed := parseDeadline(header.Get(HeaderDeadline))
	headers.timeLeft = timeLeft
	return headers, failed
}

func parseDeadline(value string) (time.Duration, *failure) {
	if value == "" {
		return 0, nil
	}
	milliseconds, err := strconv.ParseInt(value, 10, 64)
	if err != nil || milliseconds < 0 {
		return 0, invalidFailure(codeBadRequest, HeaderDeadline+" must be a number of milliseconds")
	}
	if milliseconds == 0 {
		return 0, deadlineTooShort("no time is left", 0)
	}
	return min(time.Duration(milliseconds), maxDeadline/time.Millisecond) * time.Millisecond, nil
}

func deadlineTooShort(message string, retryAfter time.Duration) *failure {
	return &failure{
		status:     http.StatusGatewayTimeout,
		errorType:  typeUnavailable,
		code:       codeDeadlineTooShort,
		message:    message,
		runState:   attempt.RanNo,
		retryAfter: retryAfter,
	}
}

// applyClass takes missing values of the headers from the class and the configured defaults. It
// returns a failure if an at-most-once request has no key.
func (p *Proxy) applyClass(headers *requestHeaders, class *api.Class) *failure {
	if class != nil {
		headers.class = class.Name
		headers.atMostOnce = headers.atMostOnce || class.Spec.RepeatNever
		if headers.timeLeft == 0 {
			headers.timeLeft = time.Duration(class.Spec.DeadlineMilliseconds) * time.Millisecond
		}
	}
	headers.timeLeft = cmp.Or(headers.timeLeft, p.config.Timeouts.Deadline)
	if headers.atMostOnce && headers.key == "" {
		return invalidFailure(codeKeyRequired, "a request that must run at most once needs the header "+HeaderIdempotencyKey)
	}
	return nil
}

// completionRequest is a parsed model request.
type completionRequest struct {
	path         string
	chat         bool
	body         []byte // always with "stream": true
	request      engineapi.CompletionRequest
	promptTokens int      // estimated: one for each word
	blocks       []uint64 // hashes of the prompt's leading blocks, as in a cacheIndex
}

// defaultOutputTokens is the assumed length of a response without max_tokens.
const defaultOutputTokens = 256

func parseCompletion(path string, body []byte) (*completionRequest, *failure) {
	parsed := &completionRequest{path: path, chat: path == engineapi.PathChatCompletions, body: body}
	if err := json.Unmarshal(body, &parsed.request); err != nil {
		return nil, invalidFailure(codeBadRequest, "the body is no valid request: "+err.Error())
	}
	switch {
	case parsed.request.Model == "":
		return nil, invalidFailure(codeBadRequest, "model must not be empty")
	case parsed.chat && len(parsed.request.Messages) == 0:
		return nil, invalidFailure(codeBadRequest, "messages must not be empty")
	case !parsed.chat && parsed.request.Prompt == "":
		return nil, invalidFailure(codeBadRequest, "prompt must not be empty")
	case parsed.request.MaxTokens < 0:
		return nil, invalidFailure(codeBadRequest, "max_tokens must not be negative")
	}
	words := prefix.Words(prefix.Text(&parsed.request))
	parsed.promptTokens = len(words)
	parsed.blocks = prefix.Blocks(parsed.request.Model, words)
	if !parsed.request.Stream {
		streamed, err := withStream(body)
		if err != nil {
			return nil, invalidFailure(codeBadRequest, "the body is no valid request: "+err.Error())
		}
		parsed.body = streamed
	}
	return parsed, nil
}

// outputTokens returns the maximum length of the response, or an assumed one if none is set.
func (c *completionRequest) outputTokens() int {
	if c.request.MaxTokens > 0 {
		return c.request.MaxTokens
	}
	return defaultOutputTokens
}

// withStream returns the body with "stream" set to true and everything else unchanged. Engines stream
// buffered responses too: only a stream allows stalls to be detected, broken responses to be resumed
// and each part to be verified as one of this run.
func withStream(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.WithStack(err)
	}
	fields["stream"] = json.RawMessage("true")
	encoded, err := json.Marshal(fields)
	return encoded, errors.WithStack(err)
}
