// Package orders is the client of the engine control protocol: it reads state and load
// reports, sends orders, voids them by raising the engine's fence, and polls a set of
// engines.
package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/connection/upstream"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/pkg/errors"
)

// Errors of a Client.
var (
	// ErrNoResponse reports that no complete response arrived. The request may have
	// reached the engine.
	ErrNoResponse = errors.New("orders: no complete response from the engine")
	// ErrInvalidResponse reports a response that does not conform to the protocol.
	ErrInvalidResponse = errors.New("orders: invalid response from the engine")
)

// Limits of a Client.
const (
	maxResponseBytes  = 1 << 20
	maxHeaderBytes    = 64 << 10
	idleTimeout       = 30 * time.Second
	maxIdlePerAddress = 1
)

// Client reads the state of engines and sends them orders. It is safe for concurrent use.
//
// It uses connection/upstream instead of go-zero's httpc for two reasons. The circuit
// breaker of httpc counts the failures of all engines together, so that some
// unresponsive engines would block orders to the others. And httpc does not prevent that
// the reply to one order is taken for the reply to another. Redirects are not followed, so
// that no order reaches another address.
type Client struct {
	pool    *upstream.Pool
	timeout time.Duration
}

// NewClient returns a Client that limits each request, including the dial, to timeout,
// which must be positive.
func NewClient(timeout time.Duration) *Client {
	return &Client{
		pool: upstream.NewPool(upstream.Config{
			DialTimeout:    timeout,
			IdleTimeout:    idleTimeout,
			MaxIdlePerHost: maxIdlePerAddress,
			MaxHeaderBytes: maxHeaderBytes,
		}),
		timeout: timeout,
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.Close() }

// State reads the engine's current state.
func (c *Client) State(ctx context.Context, address string) (engineapi.State, error) {
	var state engineapi.State
	err := c.roundTrip(ctx, http.MethodGet, address, engineapi.PathState, nil, &state)
	return state, err
}

// Load reads the engine's load report, which lags behind the actual load.
func (c *Client) Load(ctx context.Context, address string) (engineapi.Load, error) {
	var load engineapi.Load
	err := c.roundTrip(ctx, http.MethodGet, address, engineapi.PathLoad, nil, &load)
	return load, err
}

// Send sends an order to the engine. A refused order returns a reply with its code and no
// error; errors are ErrNoResponse and ErrInvalidResponse.
func (c *Client) Send(ctx context.Context, address string, order api.Order) (engineapi.OrderReply, error) {
	return c.post(ctx, address, engineapi.PathOrders, order)
}

// Void makes the engine raise its fence and so refuse every order whose fence is not above
// it. The reply has the engine's state; errors are those of Send.
func (c *Client) Void(ctx context.Context, address string, request engineapi.VoidRequest) (engineapi.OrderReply, error) {
	return c.post(ctx, address, engineapi.PathVoid, request)
}

func (c *Client) post(ctx context.Context, address, path string, body any) (engineapi.OrderReply, error) {
	var reply engineapi.OrderReply
	if err := c.roundTrip(ctx, http.MethodPost, address, path, body, &reply); err != nil {
		return engineapi.OrderReply{}, err
	}
	if reply.Code == "" {
		return engineapi.OrderReply{}, errors.Wrap(ErrInvalidResponse, "reply has no code")
	}
	return reply, nil
}

// roundTrip sends a request with a new call ID and decodes the response body into target.
func (c *Client) roundTrip(ctx context.Context, method, address, path string, body, target any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := newRequest(ctx, method, address, path, body)
	if err != nil {
		return err
	}
	response, err := c.pool.Do(request, upstream.Identity{RequestID: newCallID()})
	if err != nil {
		return errors.Wrapf(ErrNoResponse, "%v", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return errors.Wrapf(ErrNoResponse, "%v", err)
	}
	if len(data) > maxResponseBytes {
		return errors.Wrap(ErrInvalidResponse, "response body too large")
	}
	if !hasProtocolBody(response.StatusCode) {
		return errors.Wrapf(ErrInvalidResponse, "status %d", response.StatusCode)
	}
	return errors.Wrapf(decodeResponse(data, target), "status %d", response.StatusCode)
}

// newCallID returns a random ID that identifies one call to an engine.
func newCallID() string { return strconv.FormatUint(rand.Uint64(), 36) }

// hasProtocolBody reports whether responses with the status have a body of the protocol.
// Refused orders, for example, have status 409.
func hasProtocolBody(status int) bool {
	switch status {
	case http.StatusOK, http.StatusAccepted, http.StatusBadRequest, http.StatusConflict, http.StatusUnprocessableEntity:
		return true
	default:
		return false
	}
}

func decodeResponse(data []byte, target any) error {
	if err := json.Unmarshal(data, target); err != nil {
		return errors.Wrapf(ErrInvalidResponse, "%v", err)
	}
	return nil
}

func newRequest(ctx context.Context, method, address, path string, body any) (*http.Request, error) {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "orders: encode request body")
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, content)
	if err != nil {
		return nil, errors.Wrap(err, "orders: create request")
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}
