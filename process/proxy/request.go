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

// Headers of callers.
const (
	HeaderKey      = "Idempotency-Key"       // names a request
	HeaderRepeat   = "Landingtrail-Repeat"   // "never": run at most once
	HeaderDeadline = "Landingtrail-Deadline" // milliseconds left
	HeaderClass    = "Landingtrail-Class"
	HeaderTenant   = "Landingtrail-Tenant"
	// HeaderRequest is on every answer: the name under which the proxy and the
	// engines know the request.
	HeaderRequest = "Landingtrail-Request"
)

// DefaultTenant is the tenant of requests that name none.
const DefaultTenant = "default"

const repeatNever = "never"

// maxHeaderValue bounds the key, class and tenant that are kept.
const maxHeaderValue = 256

// maxDeadline bounds the deadline that a caller may give.
const maxDeadline = 24 * time.Hour

// envelope is what the headers of a request say.
type envelope struct {
	tenant string
	class  string // "" if not given
	key    string
	never  bool
	left   time.Duration // 0 if not given
}

func readEnvelope(header http.Header) (envelope, *failure) {
	read := envelope{
		tenant: header.Get(HeaderTenant),
		class:  header.Get(HeaderClass),
		key:    header.Get(HeaderKey),
	}
	read.tenant = cmp.Or(read.tenant, DefaultTenant)
	for _, value := range []string{read.tenant, read.class, read.key} {
		if len(value) > maxHeaderValue {
			return read, invalid(codeBadRequest, "a header value is longer than "+strconv.Itoa(maxHeaderValue)+" bytes")
		}
	}
	switch header.Get(HeaderRepeat) {
	case "":
	case repeatNever:
		read.never = true
	default:
		return read, invalid(codeBadRequest, HeaderRepeat+` must be "never"`)
	}
	left, fault := readDeadline(header.Get(HeaderDeadline))
	read.left = left
	return read, fault
}

func readDeadline(given string) (time.Duration, *failure) {
	if given == "" {
		return 0, nil
	}
	milliseconds, err := strconv.ParseInt(given, 10, 64)
	if err != nil || milliseconds < 0 {
		return 0, invalid(codeBadRequest, HeaderDeadline+" must be a number of milliseconds")
	}
	if milliseconds == 0 {
		return 0, deadlineShort("no time is left", 0)
	}
	return min(time.Duration(milliseconds), maxDeadline/time.Millisecond) * time.Millisecond, nil
}

func deadlineShort(message string, retryAfter time.Duration) *failure {
	return &failure{
		status:     http.StatusGatewayTimeout,
		kind:       typeUnavailable,
		code:       codeDeadlineShort,
		message:    message,
		ran:        attempt.RanNo,
		retryAfter: retryAfter,
	}
}

// settle brings the envelope and its class together.
func (p *Proxy) settle(read *envelope, class *api.Class) *failure {
	if class != nil {
		read.class = class.Name
		read.never = read.never || class.Spec.RepeatNever
		if read.left == 0 {
			read.left = time.Duration(class.Spec.DeadlineMilliseconds) * time.Millisecond
		}
	}
	read.left = cmp.Or(read.left, p.config.Timeouts.Deadline)
	if read.never && read.key == "" {
		return invalid(codeKeyRequired, "a request that must run at most once needs the header "+HeaderKey)
	}
	return nil
}

// completion is a parsed model request.
type completion struct {
	path         string
	chat         bool
	body         []byte // with "stream": true
	request      engineapi.CompletionRequest
	promptTokens int
	blocks       []uint64
}

// defaultOutputTokens is the expected length of an answer without max_tokens.
const defaultOutputTokens = 256

func parseCompletion(path string, body []byte) (*completion, *failure) {
	parsed := &completion{path: path, chat: path == engineapi.PathChatCompletions, body: body}
	if err := json.Unmarshal(body, &parsed.request); err != nil {
		return nil, invalid(codeBadRequest, "the body is no valid request: "+err.Error())
	}
	switch {
	case parsed.request.Model == "":
		return nil, invalid(codeBadRequest, "model must not be empty")
	case parsed.chat && len(parsed.request.Messages) == 0:
		return nil, invalid(codeBadRequest, "messages must not be empty")
	case !parsed.chat && parsed.request.Prompt == "":
		return nil, invalid(codeBadRequest, "prompt must not be empty")
	case parsed.request.MaxTokens < 0:
		return nil, invalid(codeBadRequest, "max_tokens must not be negative")
	}
	words := prefix.Words(prefix.Text(&parsed.request))
	parsed.promptTokens = len(words)
	parsed.blocks = prefix.Blocks(parsed.request.Model, words)
	if !parsed.request.Stream {
		streamed, err := withStream(body)
		if err != nil {
			return nil, invalid(codeBadRequest, "the body is no valid request: "+err.Error())
		}
		parsed.body = streamed
	}
	return parsed, nil
}

func (c *completion) outputTokens() int {
	if c.request.MaxTokens > 0 {
		return c.request.MaxTokens
	}
	return defaultOutputTokens
}

// withStream returns the body with "stream": true and all else as it was. Also
// whole answers are streamed from the engine: only so can a stall be seen, a
// broken answer be taken up again and each part be verified.
func withStream(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.WithStack(err)
	}
	fields["stream"] = json.RawMessage("true")
	encoded, err := json.Marshal(fields)
	return encoded, errors.WithStack(err)
}
