// Package singleuse makes HTTP clients that open a connection for each call.
//
// On a kept connection an answer is known as a call's own only by its place: the
// next that comes. One answer too many of the other side, once the next call was
// written, is then taken for the answer to it, and each later one stands a place
// behind. The first answer on a new connection can belong to no other call. So
// these clients are for protocols whose answers do not name what they answer.
package singleuse

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// maxHeaderBytes bounds the head of an answer.
	maxHeaderBytes = 64 << 10
	// dialTimeout bounds the opening of a connection where the caller does not.
	dialTimeout = 5 * time.Second
)

// Dial opens the connection of one call.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client whose connections dial opens; nil uses a net.Dialer.
// A dial must end by itself: it goes on when its call is given up.
// Each call says that its connection ends with it. A server that answers before it has
// read a long body may reset the connection then, so long bodies are not for these clients.
// The client sends no call again by itself, follows no redirect, since a call is
// meant for the address that it was given, and uses no proxy.
func NewClient(dial Dial) *http.Client {
	if dial == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		dial = dialer.DialContext
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dial,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		CheckRedirect: refuseRedirect,
	}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
