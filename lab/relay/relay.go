// Package relay is a plain HTTP relay, which knows nothing of engines, views or
// claims: the measure for what the data path costs.
package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/lab/platform/labhttp"
)

const (
	stopTimeout        = 5 * time.Second
	maxIdleConnections = 256
)

// Run relays every request to the target until ctx ends. It is the standard
// library's reverse proxy, which passes each piece of an answer on as it comes.
func Run(ctx context.Context, listen, target string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	defer transport.CloseIdleConnections()
	to := &url.URL{Scheme: "http", Host: target}
	relay := &httputil.ReverseProxy{
		Rewrite:       func(request *httputil.ProxyRequest) { request.SetURL(to) },
		Transport:     transport,
		FlushInterval: -1,
	}
	return labhttp.Serve(ctx, listener, relay, stopTimeout, nil)
}
