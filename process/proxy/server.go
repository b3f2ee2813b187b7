package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
	"github.com/zeromicro/go-zero/rest/router"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/process/admin"
	"github.com/landingtrail/landingtrail/process/event"
)

// server is an HTTP server on go-zero's rest package. The timeout, body limit, circuit breaker, load
// shedding, access log, metrics and signal handling that rest enables by default are off: a stream
// may outlast any timeout, the proxy has its own response for oversized bodies, and the queue of each
// service decides what to shed.
type server struct {
	http *http.Server
	addr net.Addr
}

// restConf returns a rest configuration with all middleware disabled.
func restConf(name, address string) (rest.RestConf, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return rest.RestConf{}, errors.Wrap(ErrConfig, err.Error())
	}
	portNumber, err := strconv.Atoi(port)
	if err != nil {
		return rest.RestConf{}, errors.Wrap(ErrConfig, err.Error())
	}
	conf := admin.RestConf(name)
	conf.Host, conf.Port = host, portNumber
	return conf, nil
}

// prefixRouter routes all paths under a prefix, with any method, to one handler. rest's own router
// cannot express that; it routes all other paths.
type prefixRouter struct {
	httpx.Router
	prefix  string
	handler http.HandlerFunc
}

// ServeHTTP implements http.Handler.
func (r *prefixRouter) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if r.prefix != "" && strings.HasPrefix(request.URL.Path, r.prefix) {
		r.handler(w, request)
		return
	}
	r.Router.ServeHTTP(w, request)
}

// listen starts a server and returns once it listens on the address. It also redirects the log of
// rest, which is global to the process, to the proxy's logger.
func (p *Proxy) listen(name, address string, routes *prefixRouter, addRoutes func(*rest.Server)) (*server, error) {
	conf, err := restConf(name, address)
	if err != nil {
		return nil, err
	}
	srv, err := rest.NewServer(conf, rest.WithRouter(routes))
	if err != nil {
		return nil, errors.Wrap(err, "create HTTP server")
	}
	logx.SetWriter(&logWriter{logger: p.logger})
	routes.SetNotFoundHandler(http.HandlerFunc(serveNotFound))
	routes.SetNotAllowedHandler(http.HandlerFunc(serveNotAllowed))
	addRoutes(srv)
	started := &server{}
	bound := make(chan net.Addr, 1)
	failed := make(chan error, 1)
	go started.start(srv, p.config.Timeouts, bound, failed)
	select {
	case started.addr = <-bound:
		return started, nil
	case err := <-failed:
		return nil, err
	}
}

// start serves until the HTTP server is shut down. rest then waits for its own stop signal, which is
// never sent, so the goroutine stays until the process exits. rest panics if it cannot listen.
func (s *server) start(srv *rest.Server, timeouts Timeouts, bound chan<- net.Addr, failed chan<- error) {
	defer func() {
		if cause := recover(); cause != nil {
			failed <- errors.Errorf("listen: %v", cause)
		}
	}()
	srv.StartWithOpts(func(httpServer *http.Server) {
		s.http = httpServer
		httpServer.ReadHeaderTimeout = timeouts.ReadHeader
		httpServer.ReadTimeout = 0
		httpServer.WriteTimeout = 0
		httpServer.IdleTimeout = timeouts.Idle
		httpServer.BaseContext = reportAddress(bound)
	})
}

func serveNotFound(w http.ResponseWriter, _ *http.Request) {
	notFoundFailure(codeNotFound, "no such path").write(w)
}

func serveNotAllowed(w http.ResponseWriter, _ *http.Request) {
	failed := notFoundFailure(codeMethodNotAllowed, "the path does not take this method")
	failed.status = http.StatusMethodNotAllowed
	failed.write(w)
}

// newHTTPRouter returns rest's own HTTP router; it is unrelated to the router of requests to engines.
func newHTTPRouter() httpx.Router { return router.NewRouter() }

// listenCallers starts the HTTP server for callers.
func (p *Proxy) listenCallers() (*server, error) {
	routes := &prefixRouter{Router: newHTTPRouter(), prefix: servicesPrefix, handler: p.serveService}
	return p.listen("landingtrail-proxy", p.config.ListenAddress, routes, func(srv *rest.Server) {
		srv.AddRoutes([]rest.Route{
			{Method: http.MethodPost, Path: engineapi.PathChatCompletions, Handler: p.serveCompletion},
			{Method: http.MethodPost, Path: engineapi.PathCompletions, Handler: p.serveCompletion},
		}, rest.WithSSE(), rest.WithTimeout(0))
		srv.AddRoute(rest.Route{Method: http.MethodGet, Path: engineapi.PathModels, Handler: p.serveModels})
	})
}

// logWriter writes rest's alerts, errors, severe errors and stack traces as ProxyServerLog events and
// drops the other levels.
type logWriter struct{ logger log.Logger }

func (w *logWriter) Alert(v any)                 { event.ProxyServerLog.Log(w.logger, "message", fmt.Sprint(v)) }
func (w *logWriter) Close() error                { return nil }
func (w *logWriter) Debug(any, ...logx.LogField) {}
func (w *logWriter) Error(v any, _ ...logx.LogField) {
	event.ProxyServerLog.Log(w.logger, "message", fmt.Sprint(v))
}
func (w *logWriter) Info(any, ...logx.LogField) {}
func (w *logWriter) Severe(v any)               { event.ProxyServerLog.Log(w.logger, "message", fmt.Sprint(v)) }
func (w *logWriter) Slow(any, ...logx.LogField) {}
func (w *logWriter) Stack(v any)                { event.ProxyServerLog.Log(w.logger, "message", fmt.Sprint(v)) }
func (w *logWriter) Stat(any, ...logx.LogField) {}
