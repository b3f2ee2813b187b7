// Package singleuse provides HTTP clients that open a new connection for each request.
//
// On a persistent connection a response is matched to its request only by order. If
// the server sends a second response to one request, it is taken for the response to the
// next request, and every later response is off by one.
// The first response on a new connection can belong to no other request. These
// clients are therefore meant for protocols whose responses do not identify their
// request.
package singleuse

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/landingtrail/landingtrail/connection/responsecheck"
)

const (
	// maxHeaderBytes limits the size of a response header.
	maxHeaderBytes = 64 << 10
	// dialTimeout limits connecting when the caller of NewClient passes no Dial.
	dialTimeout = 5 * time.Second
)

// Dial opens the connection for one request. It must have its own timeout; see NewClient.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that opens its connections with dial; nil uses a net.Dialer.
// dial must have its own timeout, since it continues after its request is abandoned.
//
// Each request carries "Connection: close". A server that responds before it has read
// a long body may then reset the connection, so these clients are unsuitable for long
// bodies. The client returns valid responses only; see responsecheck. It never retries a
// request, uses no proxy, and follows no redirects, since a request is meant only for the
// address it was sent to. It sets no total timeout; the request's context must limit it.
func NewClient(dial Dial) *http.Client {
	if dial == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		dial = dialer.DialContext
	}
	dialChecked := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return responsecheck.NewConn(conn), nil
	}
	return &http.Client{
		Transport: responsecheck.Transport{Transport: &http.Transport{
			DialContext:            dialChecked,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}},
		CheckRedirect: doNotFollow,
	}
}

func doNotFollow(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
