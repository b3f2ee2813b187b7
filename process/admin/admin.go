// Package admin serves a daemon's health and metrics over HTTP by go-zero's
// rest, with everything that rest adds of its own taken off: its timeouts,
// breaker, shedding, metrics and signal handling.
package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

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

const (
	// never is longer than any process lives: go-zero would end the process a
	// few seconds after SIGTERM.
	never = 10 * 365 * 24 * time.Hour

	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
	// maxHeaderBytes bounds what a request may make the daemon hold.
	maxHeaderBytes = 16 << 10
)

// Readiness is the body of PathHealth and PathReady.
type Readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// Server is one listener.
type Server struct {
	http  *http.Server
	bound net.Addr
}

// Listen serves the registry's metrics and the readiness on the address, an IP
// and a port, and returns once it is bound.
func Listen(name, address string, registry *prometheus.Registry, ready func() Readiness) (*Server, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(ErrListen, err.Error())
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return nil, errors.Wrap(ErrListen, err.Error())
	}
	logx.Disable()
	made, err := rest.NewServer(rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     name,
			Mode:     service.ProMode,
			Shutdown: proc.ShutdownConf{WrapUpTime: never, WaitTime: 2 * never},
		},
		Host: host,
		Port: number,
	})
	if err != nil {
		return nil, errors.Wrap(ErrListen, err.Error())
	}
	made.AddRoutes([]rest.Route{
		{Method: http.MethodGet, Path: PathHealth, Handler: answer(ready, false)},
		{Method: http.MethodGet, Path: PathReady, Handler: answer(ready, true)},
		{Method: http.MethodGet, Path: PathMetrics, Handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP},
	})
	return start(made)
}

// answer writes the readiness; judged, an unready daemon answers 503.
func answer(ready func() Readiness, judged bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		state := ready()
		w.Header().Set("Content-Type", "application/json")
		if judged && !state.Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_ = json.NewEncoder(w).Encode(state) // the caller may have gone
	}
}

// start returns once the server listens. rest panics when it cannot.
func start(made *rest.Server) (*Server, error) {
	started := &Server{}
	bound := make(chan net.Addr, 1)
	failed := make(chan error, 1)
	go func() {
		defer func() {
			if cause := recover(); cause != nil {
				failed <- errors.Wrapf(ErrListen, "%v", cause)
			}
		}()
		made.StartWithOpts(func(configured *http.Server) {
			started.http = configured
			configured.ReadHeaderTimeout = headerTimeout
			configured.IdleTimeout = idleTimeout
			configured.MaxHeaderBytes = maxHeaderBytes
			configured.BaseContext = func(listener net.Listener) context.Context {
				bound <- listener.Addr()
				return context.Background()
			}
		})
	}()
	select {
	case started.bound = <-bound:
		return started, nil
	case err := <-failed:
		return nil, err
	}
}

// Addr returns where the server listens.
func (s *Server) Addr() net.Addr { return s.bound }

// Close stops the server at once. Nothing of a caller's goes by it.
func (s *Server) Close() { _ = s.http.Close() }
