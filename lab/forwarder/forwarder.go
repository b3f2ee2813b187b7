// Package forwarder is a plain HTTP forwarder, which knows nothing of engines, views or
// claims: the measure for what the data path costs.
package forwarder

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

// Run forwards every request to the target until ctx ends. It is the standard
// library's reverse proxy, which passes each piece of an answer on as it comes.
func Run(ctx context.Context, listen, target string) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	defer transport.CloseIdleConnections()
	to := &url.URL{Scheme: "http", Host: target}
	forwarder := &httputil.ReverseProxy{
		Rewrite:       func(request *httputil.ProxyRequest) { request.SetURL(to) },
		Transport:     transport,
		FlushInterval: -1,
	}
	return labhttp.Serve(ctx, listener, forwarder, stopTimeout, nil)
}
