// Package admin serves a daemon's health and metrics over HTTP. It uses go-zero's rest package with
// its built-in middleware disabled.
package admin

import (
	"encoding/json"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
)

// Paths served by a Server.
const (
	PathHealth  = "/healthz" // 200 while the process responds
	PathReady   = "/readyz"  // 200 while the daemon is ready
	PathMetrics = "/metrics"
)

// ErrListen is returned when the server cannot listen on the address.
var ErrListen = errors.New("admin: listen")

// disabledTimeout exceeds the lifetime of any process. go-zero ends the process a few seconds after
// SIGTERM, while a daemon's graceful shutdown can take longer, so this disables that timer.
const disabledTimeout = 10 * 365 * 24 * time.Hour

const (
	// requestTimeout limits reading the header, reading the request and writing the response.
	requestTimeout = 5 * time.Second
	idleTimeout    = time.Minute
	// maxHeaderBytes limits the memory that request headers may use.
	maxHeaderBytes = 16 << 10
)

// RestConf returns go-zero rest settings without timeout, circuit breaker, load shedding, body
// limit, logs, traces and metrics, and without the exit after a signal. Callers set the fields that
// they need. name is the service name in go-zero.
func RestConf(name string) rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     name,
			Mode:     service.ProMode,
			Shutdown: proc.ShutdownConf{WrapUpTime: disabledTimeout, WaitTime: 2 * disabledTimeout},
		},
	}
}

// Readiness is the response body of PathHealth and PathReady.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reason says why the daemon is not ready.
	Reason string `json:"reason,omitempty"`
}

// Server is an HTTP server for health and metrics.
type Server struct {
	http     *http.Server
	listener net.Listener
	stopped  chan struct{}
}

// Listen starts a server on address, an IP and port, and returns. Until Close, the server serves
// the registry's metrics and the readiness state. It calls ready on every health or readiness
// request, possibly concurrently, and logs connection errors to logger. The returned error wraps
// ErrListen if the server cannot listen on the address. Listen disables go-zero's logger for the
// whole process.
func Listen(name, address string, registry *prometheus.Registry, ready func() Readiness, logger log.Logger) (*Server, error) {
	logx.Disable() // go-zero's logger does not write the daemon's log format
	routes, err := rest.NewServer(RestConf(name))
	if err != nil {
		return nil, errors.Wrap(err, "admin: create go-zero server")
	}
	routes.AddRoutes([]rest.Route{
		{Method: http.MethodGet, Path: PathHealth, Handler: readinessHandler(ready, false)},
		{Method: http.MethodGet, Path: PathReady, Handler: readinessHandler(ready, true)},
		{Method: http.MethodGet, Path: PathMetrics, Handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP},
	})
	handler, err := rest.NewServerless(routes)
	if err != nil {
		return nil, errors.Wrap(err, "admin: build routes")
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(ErrListen, err.Error())
	}
	s := &Server{listener: listener, stopped: make(chan struct{}), http: &http.Server{
		Handler:           http.HandlerFunc(handler.Serve),
		ReadHeaderTimeout: requestTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(log.NewStdlibAdapter(logger), "", 0),
	}}
	go s.serve()
	return s, nil
}

func (s *Server) serve() {
	defer close(s.stopped)
	_ = s.http.Serve(s.listener) // until Close
}

// readinessHandler writes the readiness state as JSON. With failIfNotReady, it responds 503 if the
// daemon is not ready.
func readinessHandler(ready func() Readiness, failIfNotReady bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		state := ready()
		w.Header().Set("Content-Type", "application/json")
		if failIfNotReady && !state.Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_ = json.NewEncoder(w).Encode(state) // the client may have disconnected
	}
}

// Addr returns the listening address.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close stops the server and closes its connections immediately. They carry no client traffic, so
// no client request is cut off.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.stopped
}
