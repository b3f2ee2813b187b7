// Package admin serves a daemon's health and metrics over HTTP by go-zero's
// rest, with everything that rest adds of its own taken off.
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

// Paths that are served.
const (
	PathHealth  = "/healthz" // 200 while the process serves at all
	PathReady   = "/readyz"  // 200 while it can do its work
	PathMetrics = "/metrics"
)

// ErrListen is returned when the address cannot be listened on.
var ErrListen = errors.New("admin: listen")

// never is longer than any process lives. go-zero ends the process a few
// seconds after SIGTERM; a daemon ends when its planned stop is done, so that
// timer is put out of reach.
const neverElapses = 10 * 365 * 24 * time.Hour

const (
	requestTimeout = 5 * time.Second
	idleTimeout    = time.Minute
	// maxHeaderBytes bounds what a request may make the daemon hold.
	maxHeaderBytes = 16 << 10
)

// RestConf returns settings of go-zero's rest without its timeout, breaker,
// shedding, body cap, logs, traces and metrics, and with its end of the process
// after a signal out of reach. A server that wants one of them turns it on.
func RestConf(name string) rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     name,
			Mode:     service.ProMode,
			Shutdown: proc.ShutdownConf{WrapUpTime: neverElapses, WaitTime: 2 * neverElapses},
		},
	}
}

// Readiness is the body of PathHealth and PathReady.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// Server is one listener.
type Server struct {
	http     *http.Server
	listener net.Listener
	stopped  chan struct{}
}

// Listen serves the registry's metrics and the readiness on the address, an IP
// and a port, until Close.
func Listen(name, address string, registry *prometheus.Registry, ready func() Readiness, logger log.Logger) (*Server, error) {
	logx.Disable() // go-zero's logger would write lines of its own form
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

// answer writes the readiness; judged, an unready daemon answers 503.
func readinessHandler(ready func() Readiness, judged bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		state := ready()
		w.Header().Set("Content-Type", "application/json")
		if judged && !state.Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_ = json.NewEncoder(w).Encode(state) // the caller may have gone
	}
}

// Addr returns where the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close stops the server at once. Nothing of a caller's goes by it.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.stopped
}
