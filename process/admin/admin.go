// Package admin serves a daemon's health and metrics over HTTP. It uses go-zero's rest package
// with its built-in middleware disabled.
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

// neverElapses exceeds the lifetime of any process. go-zero ends the process a few seconds
// after SIGTERM, while a daemon exits only after its planned stop, so this disables that timer.
const neverElapses = 10 * 365 * 24 * time.Hour

const (
	requestTimeout = 5 * time.Second
	idleTimeout    = time.Minute
	// maxHeaderBytes limits the memory that request headers may use.
	maxHeaderBytes = 16 << 10
)

// RestConf returns go-zero rest settings without timeout, circuit breaker, load shedding, body
// limit, logs, traces and metrics, and without the exit after a signal. A server that needs one
// of them enables it.
func RestConf(name string) rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     name,
			Mode:     service.ProMode,
			Shutdown: proc.ShutdownConf{WrapUpTime: neverElapses, WaitTime: 2 * neverElapses},
		},
	}
}

// Readiness is the response body of PathHealth and PathReady.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// Server is an HTTP server for health and metrics.
type Server struct {
	http     *http.Server
	listener net.Listener
	stopped  chan struct{}
}

// Listen serves the registry's metrics and the readiness state on address, an IP and port,
// until Close.
func Listen(name, address string, registry *prometheus.Registry, ready func() Readiness, logger log.Logger) (*Server, error) {
	logx.Disable() // go-zero's logger uses a different line format
	routes, err := rest.NewServer(RestConf(name))
	if err != nil {
		return nil, errors.Wrap(err, "admin: server")
	}
	routes.AddRoutes([]rest.Route{
		{Method: http.MethodGet, Path: PathHealth, Handler: readinessHandler(ready, false)},
		{Method: http.MethodGet, Path: PathReady, Handler: readinessHandler(ready, true)},
		{Method: http.MethodGet, Path: PathMetrics, Handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP},
	})
	built, err := rest.NewServerless(routes)
	if err != nil {
		return nil, errors.Wrap(err, "admin: server")
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(ErrListen, err.Error())
	}
	s := &Server{listener: listener, stopped: make(chan struct{}), http: &http.Server{
		Handler:           http.HandlerFunc(built.Serve),
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

// readinessHandler writes the readiness state as JSON. With statusFromReadiness, it responds
// 503 if the daemon is not ready.
func readinessHandler(ready func() Readiness, statusFromReadiness bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		state := ready()
		w.Header().Set("Content-Type", "application/json")
		if statusFromReadiness && !state.Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_ = json.NewEncoder(w).Encode(state) // the client may have disconnected
	}
}

// Addr returns the listening address.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close stops the server and its open connections immediately; no client traffic uses it.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.stopped
}
