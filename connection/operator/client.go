// Package operator is the client of the control group's operator API. It tries every
// member, follows leader hints, and resends with the same operation ID if a response was
// lost. A call has one of four outcomes: a response, a change that was definitely not
// accepted, an unknown outcome, or a request that was refused.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/connection/singleuse"
)

// Errors of a Client.
var (
	// ErrNotAccepted reports that no member accepted the request: nothing has changed.
	ErrNotAccepted = errors.New("no member took the request; nothing was changed")
	// ErrOutcomeUnknown reports that the request may have been accepted: resend it
	// with the same operation ID.
	ErrOutcomeUnknown = errors.New("outcome unknown; resend with the same operation ID")
	// ErrNoMembers reports a configuration without member addresses.
	ErrNoMembers = errors.New("operator: no member addresses")
)

// RefusedError is a member's response that the request is invalid or cannot be executed
// now; nothing has changed.
type RefusedError struct {
	Status int
	Body   operatorapi.Error
}

// Error returns the code and the message of the refusal.
func (e *RefusedError) Error() string {
	return "operator: " + string(e.Body.Code) + ": " + e.Body.Message
}

// Default values of Config.
const (
	DefaultAttemptTimeout = 5 * time.Second
	DefaultTimeout        = 20 * time.Second
)

// Limits of the client.
const (
	maxResponseBytes = 64 << 20
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = time.Second
)

// Config configures a Client.
type Config struct {
	// Members holds the operator addresses (IP and port) of the group.
	Members []string
	// AttemptTimeout limits one request to one member, Timeout the whole call
	// including its resends. Zero selects the default; negative values are not supported.
	AttemptTimeout time.Duration
	Timeout        time.Duration
	// MaxRounds limits how often each member is tried in one call; 0 leaves it to Timeout.
	MaxRounds int
}

// Client sends requests to the control group. It is safe for concurrent use.
type Client struct {
	config   Config
	order    *memberOrder
	services map[string]httpc.Service
	// http never retries by itself, since a membership change must not be sent twice.
	http *http.Client
}

// New returns a client for the members in config.
func New(config Config) (*Client, error) {
	if len(config.Members) == 0 {
		return nil, ErrNoMembers
	}
	if config.AttemptTimeout == 0 {
		config.AttemptTimeout = DefaultAttemptTimeout
	}
	if config.Timeout == 0 {
		config.Timeout = DefaultTimeout
	}
	client := &Client{
		config:   config,
		order:    newMemberOrder(config.Members),
		services: map[string]httpc.Service{},
		http:     singleuse.NewClient((&net.Dialer{Timeout: config.AttemptTimeout / dialTimeoutDivisor}).DialContext),
	}
	for _, address := range config.Members {
		client.services[address] = httpc.NewServiceWithClient(address, client.http)
	}
	return client, nil
}

// dialTimeoutDivisor divides the attempt timeout to get the dial timeout. The dial times out
// before the attempt does: a dial that failed is certain to have sent nothing, so another
// member can be tried.
const dialTimeoutDivisor = 2

// service returns the client for one member. A leader hint may name an address that is
// not in the configuration; a new service is created for each request to it.
func (c *Client) service(address string) httpc.Service {
	if known, ok := c.services[address]; ok {
		return known
	}
	return httpc.NewServiceWithClient(address, c.http)
}

// request is one call, which may take several attempts.
type request struct {
	method string
	path   string
	body   []byte
	// resendable allows another attempt after a lost response. Reads, transactions with
	// an operation ID, dry runs, the addition of a member and its departure may be resent;
	// other membership changes may not.
	resendable bool
}

// memberResponse is the response to one attempt.
type memberResponse struct {
	status int
	body   []byte
	// retryAfter is the delay that the member requested.
	retryAfter time.Duration
}

// attemptOutcome classifies the effect of a request after one attempt.
type attemptOutcome uint8

const (
	outcomeFinal       attemptOutcome = iota + 1 // the response is final
	outcomeNotAccepted                           // certainly without effect
	outcomeUnknown                               // it may have had an effect
)

// roundTrip sends the request once to one member.
func (c *Client) roundTrip(ctx context.Context, address string, call request) (memberResponse, attemptOutcome, error) {
	attempt, cancel := context.WithTimeout(ctx, c.config.AttemptTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(attempt, call.method, "http://"+address+call.path, bytes.NewReader(call.body))
	if err != nil {
		return memberResponse{}, outcomeNotAccepted, errors.Wrap(err, "operator: build request")
	}
	if call.body != nil {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	var connected atomic.Bool
	response, err := c.service(address).DoRequest(traceConnection(httpRequest, &connected))
	if err != nil {
		return memberResponse{}, failureOutcome(connected.Load()), errors.Wrap(err, address)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return memberResponse{}, outcomeUnknown, errors.Wrap(err, address+": answer cut short")
	}
	received := memberResponse{status: response.StatusCode, body: body, retryAfter: retryAfter(response)}
	return c.classify(address, received)
}

// classify classifies a response as final or as a failed attempt. In the second case it
// prefers the leader named in the response for the next attempt.
func (c *Client) classify(address string, received memberResponse) (memberResponse, attemptOutcome, error) {
	if received.status < http.StatusInternalServerError {
		if !json.Valid(received.body) {
			return received, outcomeUnknown, errors.Errorf("%s: the answer is not JSON", address)
		}
		return received, outcomeFinal, nil
	}
	body := decodeError(received)
	c.order.prefer(body.Leader)
	failure := errors.Errorf("%s: %s: %s", address, body.Code, body.Message)
	if received.status == http.StatusServiceUnavailable && body.Code == operatorapi.ErrorNoQuorum {
		return received, outcomeNotAccepted, failure
	}
	return received, outcomeUnknown, failure
}

// traceConnection returns a copy of the request that sets connected as soon as a connection
// is available to write it to.
func traceConnection(request *http.Request, connected *atomic.Bool) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	return request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
}

// failureOutcome classifies a request that got no response. It certainly had no effect
// only if it never had a connection, whatever ended the attempt.
func failureOutcome(connected bool) attemptOutcome {
	if connected {
		return outcomeUnknown
	}
	return outcomeNotAccepted
}

// callWithRetries makes attempts until one gets a final response or the time is up. Once the outcome
// of an attempt is unknown, the request as a whole is unknown until a final response,
// since a later refusal says nothing about an earlier attempt.
func (c *Client) callWithRetries(ctx context.Context, call request) (memberResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	overall := outcomeNotAccepted
	var failed failures
	delay := newBackoff()
	for round := 1; ; round++ {
		for _, address := range c.order.ordered() {
			received, outcome, err := c.roundTrip(ctx, address, call)
			if outcome == outcomeFinal {
				c.order.prefer(address)
				return received, nil
			}
			failed.add(address, err, ctx.Err() != nil)
			if outcome == outcomeUnknown {
				overall = outcomeUnknown
			}
			if overall == outcomeUnknown && !call.resendable {
				return memberResponse{}, callError(overall, &failed)
			}
			delay.applyRetryAfter(received.retryAfter)
			if ctx.Err() != nil {
				return memberResponse{}, callError(overall, &failed)
			}
		}
		if round == c.config.MaxRounds || !delay.sleep(ctx) {
			return memberResponse{}, callError(overall, &failed)
		}
	}
}

// callError returns the error of a call that got no final response.
func callError(overall attemptOutcome, failed *failures) error {
	if overall == outcomeUnknown {
		return errors.Wrap(ErrOutcomeUnknown, failed.String())
	}
	return errors.Wrap(ErrNotAccepted, failed.String())
}

// decodeError decodes the error body of a response. Without one, it returns an internal
// error with the text of the HTTP status.
func decodeError(received memberResponse) operatorapi.Error {
	var body operatorapi.Error
	if err := json.Unmarshal(received.body, &body); err != nil || body.Code == "" {
		body.Code = operatorapi.ErrorInternal
		body.Message = http.StatusText(received.status)
	}
	return body
}
