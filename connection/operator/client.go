// Package operator is the client of the control group's operator API. It tries
// every member, follows the leader's hint and resends under the same operation
// ID when an answer was lost, so that a caller learns one of four things: the
// answer, that the change was surely not accepted, that its outcome is unknown,
// or that the request itself is at fault.
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
	// ErrNotAccepted says that no member accepted the request: nothing has changed.
	ErrNotAccepted = errors.New("no member took the request; nothing was changed")
	// ErrOutcomeUnknown says that the request may have been accepted: resend it
	// with the same operation ID.
	ErrOutcomeUnknown = errors.New("outcome unknown; resend with the same operation ID")
	// ErrNoMembers says that the client was given no address.
	ErrNoMembers = errors.New("operator: no member addresses")
)

// RefusedError is a member's own word that the request is at fault or cannot be
// carried out now; nothing has changed.
type RefusedError struct {
	Status int
	Body   operatorapi.Error
}

// Error words the refusal.
func (e *RefusedError) Error() string {
	return "operator: " + string(e.Body.Code) + ": " + e.Body.Message
}

// Defaults of a Config.
const (
	DefaultAttemptTimeout = 5 * time.Second
	DefaultTimeout        = 20 * time.Second
)

// Bounds of the client itself.
const (
	maxAnswerBytes = 64 << 20
	firstBackoff   = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// Config is what a Client is made with.
type Config struct {
	// Members holds the operator addresses (IP and port) of the group.
	Members []string
	// AttemptTimeout bounds one request to one member, Timeout the whole call
	// with its resends. Zero takes the default.
	AttemptTimeout time.Duration
	Timeout        time.Duration
}

// Client asks the control group. It is safe for use by several goroutines.
type Client struct {
	config   Config
	order    *memberOrder
	services map[string]httpc.Service
	// http sends nothing again by itself, which a membership change would not survive.
	http *http.Client
}

// New returns a client of the members in config.
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
		http:     singleuse.NewClient((&net.Dialer{Timeout: config.AttemptTimeout / dialShare}).DialContext),
	}
	for _, address := range config.Members {
		client.services[address] = httpc.NewServiceWithClient(address, client.http)
	}
	return client, nil
}

// dialShare is the part of an attempt's time that its connection may take to
// stand. It ends before the attempt does: then nothing was sent, for sure, and
// another member can be asked.
const dialShare = 2

// service returns the client of one member. A leader's hint may name an
// address that is not in the configuration; it gets no breaker of its own.
func (c *Client) service(address string) httpc.Service {
	if known, ok := c.services[address]; ok {
		return known
	}
	return httpc.NewServiceWithClient(address, c.http)
}

// request is one call on its way through attempts.
type request struct {
	method string
	path   string
	body   []byte
	// resend allows another attempt after a lost answer. Reads, writes with an
	// operation ID and the addition of a member may be sent again, other membership
	// changes may not.
	resend bool
}

// answer is what one attempt brought.
type answer struct {
	status int
	body   []byte
	// retryAfter is the pause that the member asked for.
	retryAfter time.Duration
}

// fate is what is known of a request after one attempt.
type fate uint8

const (
	answered    fate = iota + 1 // an answer that settles the request
	notAccepted                 // surely without effect
	unknown                     // it may have had its effect
)

// roundTrip makes one attempt at one member.
func (c *Client) roundTrip(ctx context.Context, address string, call request) (answer, fate, error) {
	attempt, cancel := context.WithTimeout(ctx, c.config.AttemptTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(attempt, call.method, "http://"+address+call.path, bytes.NewReader(call.body))
	if err != nil {
		return answer{}, notAccepted, errors.Wrap(err, "operator: build request")
	}
	if call.body != nil {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	var connected atomic.Bool
	response, err := c.service(address).DoRequest(tellConnected(httpRequest, &connected))
	if err != nil {
		return answer{}, fateOfFailure(connected.Load()), errors.Wrap(err, address)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, unknown, errors.Wrap(err, address+": answer cut short")
	}
	received := answer{status: response.StatusCode, body: body, retryAfter: retryAfter(response)}
	return c.judge(address, received)
}

// judge tells an answer that settles the request from one that asks for another attempt.
func (c *Client) judge(address string, received answer) (answer, fate, error) {
	if received.status < http.StatusInternalServerError {
		if !json.Valid(received.body) {
			return received, unknown, errors.Errorf("%s: the answer is not JSON", address)
		}
		return received, answered, nil
	}
	body := decodeError(received)
	c.order.prefer(body.Leader)
	failure := errors.Errorf("%s: %s: %s", address, body.Code, body.Message)
	if received.status == http.StatusServiceUnavailable && body.Code == operatorapi.ErrorNoQuorum {
		return received, notAccepted, failure
	}
	return received, unknown, failure
}

// tellConnected returns the request, of which connected is true once it has a connection
// to be written on.
func tellConnected(request *http.Request, connected *atomic.Bool) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	return request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
}

// fateOfFailure tells whether a request that brought no answer can have had an effect:
// only without a connection it surely had none, whatever ended the attempt.
func fateOfFailure(connected bool) fate {
	if connected {
		return unknown
	}
	return notAccepted
}

// do makes attempts until one settles the request or the time is up. Once an
// attempt's outcome is unknown, only an answer settles the request: that a
// later attempt was not accepted says nothing of the earlier one.
func (c *Client) do(ctx context.Context, call request) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	worst := notAccepted
	var failed failures
	wait := newBackoff()
	for {
		for _, address := range c.order.list() {
			received, known, err := c.roundTrip(ctx, address, call)
			if known == answered {
				c.order.prefer(address)
				return received, nil
			}
			failed.add(address, err, ctx.Err() != nil)
			if known == unknown {
				worst = unknown
			}
			if worst == unknown && !call.resend {
				return answer{}, giveUp(worst, &failed)
			}
			wait.ask(received.retryAfter)
			if ctx.Err() != nil {
				return answer{}, giveUp(worst, &failed)
			}
		}
		if !wait.sleep(ctx) {
			return answer{}, giveUp(worst, &failed)
		}
	}
}

func giveUp(worst fate, failed *failures) error {
	if worst == unknown {
		return errors.Wrap(ErrOutcomeUnknown, failed.String())
	}
	return errors.Wrap(ErrNotAccepted, failed.String())
}

// decodeError reads the error body of an answer, as far as there is one.
func decodeError(received answer) operatorapi.Error {
	var body operatorapi.Error
	if err := json.Unmarshal(received.body, &body); err != nil || body.Code == "" {
		body.Code = operatorapi.ErrorInternal
		body.Message = http.StatusText(received.status)
	}
	return body
}
