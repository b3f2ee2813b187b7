// Package orders speaks the control side of the engine protocol: state, orders,
// voids and load reports, and keeps observing a set of engines.
package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/connection/singleuse"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/pkg/errors"
)

// Errors of a Client.
var (
	// ErrUnreachable says that no whole answer came; what was sent may have
	// reached the engine.
	ErrUnreachable = errors.New("orders: no answer from the engine")
	// ErrAnswer says that the answer is none of the protocol's.
	ErrAnswer = errors.New("orders: unusable answer from the engine")
)

// maxAnswerBytes bounds the body of an answer.
const maxAnswerBytes = 1 << 20

// Client asks and orders engines. It is safe for concurrent use.
//
// It uses net/http and not go-zero's httpc: the circuit breaker of httpc counts
// the failures of all engines together, so that some silent engines would keep
// orders from the others. Each call has a connection of its own: an engine's answers
// name the engine, and not the question or order that they answer.
type Client struct {
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a Client that bounds each request by timeout.
func NewClient(timeout time.Duration) *Client {
	dialer := net.Dialer{Timeout: timeout}
	return &Client{http: singleuse.NewClient(dialer.DialContext), timeout: timeout}
}

// State asks the engine for its own account of itself.
func (c *Client) State(ctx context.Context, address string) (engineapi.State, error) {
	var answer engineapi.State
	err := c.do(ctx, http.MethodGet, address, engineapi.PathState, nil, &answer)
	return answer, err
}

// Load asks the engine for its lagging load report.
func (c *Client) Load(ctx context.Context, address string) (engineapi.Load, error) {
	var answer engineapi.Load
	err := c.do(ctx, http.MethodGet, address, engineapi.PathLoad, nil, &answer)
	return answer, err
}

// Send gives the engine an order. A refusal is an answer, not an error.
func (c *Client) Send(ctx context.Context, address string, order api.Order) (engineapi.OrderReply, error) {
	return c.reply(ctx, address, engineapi.PathOrders, order)
}

// Void asks the engine to raise its fence.
func (c *Client) Void(ctx context.Context, address string, request engineapi.VoidRequest) (engineapi.OrderReply, error) {
	return c.reply(ctx, address, engineapi.PathVoid, request)
}

func (c *Client) reply(ctx context.Context, address, path string, body any) (engineapi.OrderReply, error) {
	var answer engineapi.OrderReply
	if err := c.do(ctx, http.MethodPost, address, path, body, &answer); err != nil {
		return engineapi.OrderReply{}, err
	}
	if answer.Code == "" {
		return engineapi.OrderReply{}, errors.Wrap(ErrAnswer, "no code")
	}
	return answer, nil
}

func (c *Client) do(ctx context.Context, method, address, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := newRequest(ctx, method, address, path, body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrapf(ErrUnreachable, "%v", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return errors.Wrapf(ErrUnreachable, "%v", err)
	}
	if len(data) > maxAnswerBytes {
		return errors.Wrap(ErrAnswer, "too long")
	}
	if !carriesAnswer(response.StatusCode) {
		return errors.Wrapf(ErrAnswer, "status %d", response.StatusCode)
	}
	return errors.Wrapf(decodeAnswer(data, answer), "status %d", response.StatusCode)
}

// carriesAnswer reports whether a body of the protocol comes with the status:
// refused orders come as conflicts.
func carriesAnswer(status int) bool {
	switch status {
	case http.StatusOK, http.StatusAccepted, http.StatusBadRequest, http.StatusConflict, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

func decodeAnswer(data []byte, answer any) error {
	if err := json.Unmarshal(data, answer); err != nil {
		return errors.Wrapf(ErrAnswer, "%v", err)
	}
	return nil
}

func newRequest(ctx context.Context, method, address, path string, body any) (*http.Request, error) {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "orders: encode")
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, content)
	if err != nil {
		return nil, errors.Wrap(err, "orders: request")
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}
