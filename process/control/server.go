package control

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/process/admin"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest"
)

// Limits of the operator server's connections.
const (
	readHeaderTimeout = 5 * time.Second
	requestTimeout    = 30 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 64 << 10
)

// operatorServer serves the operator API, health checks and metrics.
//
// It uses the routes and middleware of go-zero but its own http.Server, because the server of
// package rest shuts down by its own signal handling and supports no other planned stop.
type operatorServer struct {
	member *member
	http   *http.Server
	slots  chan struct{} // one per concurrent request
	// forwarding forwards requests to the leader.
	forwarding *http.Client
}

// restConf keeps go-zero's panic recovery and disables everything else:
//   - the timeout, since each handler bounds its own wait and distinguishes unknown outcomes from
//     refusals;
//   - the circuit breaker, load shedding and connection limit, whose refusals are not responses of
//     this API;
//   - the body limit, which the handlers apply to return their own error;
//   - gunzip, which would let a small body grow beyond the limit;
//   - logs, traces and metrics, since the daemon has its own.
func restConf() rest.RestConf {
	conf := admin.RestConf("landingtrail-control")
	conf.Middlewares = rest.MiddlewaresConf{Recover: true}
	return conf
}

func newOperatorServer(m *member) (*operatorServer, error) {
	logx.Disable() // go-zero's log lines have a different format
	routes, err := rest.NewServer(restConf(),
		rest.WithNotFoundHandler(http.HandlerFunc(notFound)),
		rest.WithNotAllowedHandler(http.HandlerFunc(methodNotAllowed)),
	)
	if err != nil {
		return nil, errors.Wrap(err, "control: create operator server")
	}
	s := &operatorServer{
		member:     m,
		slots:      make(chan struct{}, m.config.Limits.MaxOperatorConnections),
		forwarding: newMemberClient(),
	}
	routes.AddRoutes(s.routes())
	built, err := rest.NewServerless(routes)
	if err != nil {
		return nil, errors.Wrap(err, "control: create operator server")
	}
	s.http = &http.Server{
		Handler:           s.limitRequests(http.HandlerFunc(built.Serve)),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(log.NewStdlibAdapter(m.logger), "", 0),
	}
	return s, nil
}

// limitRequests refuses requests beyond the limit of concurrent requests. The error code is that of
// a missing quorum, after which clients retry.
func (s *operatorServer) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
			next.ServeHTTP(w, r)
		default:
			writeNoQuorum(w, "too many requests are under way", "")
		}
	})
}

func (s *operatorServer) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: operatorapi.PathTransactions, Handler: s.onLeader(s.transact)},
		{Method: http.MethodGet, Path: operatorapi.PathObjects + "/:kind", Handler: s.onLeader(s.listObjects)},
		{Method: http.MethodGet, Path: operatorapi.PathObjects + "/:kind/:name", Handler: s.onLeader(s.getObject)},
		{Method: http.MethodGet, Path: operatorapi.PathInForce, Handler: s.onLeader(s.inForce)},
		{Method: http.MethodGet, Path: operatorapi.PathStatus, Handler: s.onLeader(s.status)},
		{Method: http.MethodGet, Path: operatorapi.PathOrders, Handler: s.onLeader(s.orders)},
		{Method: http.MethodGet, Path: operatorapi.PathLedger, Handler: s.onLeader(s.ledger)},
		{Method: http.MethodPost, Path: operatorapi.PathIngress, Handler: s.onLeader(s.replaceIngress)},
		{Method: http.MethodGet, Path: operatorapi.PathIngress, Handler: s.onLeader(s.readIngress)},
		{Method: http.MethodGet, Path: operatorapi.PathUsage, Handler: s.onLeader(s.usage)},
		{Method: http.MethodGet, Path: operatorapi.PathQuotas, Handler: s.onLeader(s.quotas)},
		{Method: http.MethodDelete, Path: operatorapi.PathQuarantine + "/:name", Handler: s.onLeader(s.release)},
		{Method: http.MethodPost, Path: operatorapi.PathMembers, Handler: s.onLeader(s.changeMembers)},
		{Method: http.MethodGet, Path: operatorapi.PathMemberStatus, Handler: s.memberStatus},
		{Method: http.MethodGet, Path: operatorapi.PathHealth, Handler: s.health},
		{Method: http.MethodGet, Path: operatorapi.PathMetrics, Handler: s.member.metrics.handler().ServeHTTP},
	}
}

// serve accepts requests until the server is shut down.
func (s *operatorServer) serve() {
	err := s.http.Serve(s.member.listeners.operator)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		event.OperatorRequestFailed.Log(s.member.logger, "err", err)
	}
}

// shutdown completes the requests in flight and then closes the connections.
func (s *operatorServer) shutdown(ctx context.Context) {
	if err := s.http.Shutdown(ctx); err != nil {
		s.close()
	}
}

// close ends all connections without waiting for their requests.
func (s *operatorServer) close() {
	_ = s.http.Close()
}

// health responds with an error until the member has joined its group.
func (s *operatorServer) health(w http.ResponseWriter, _ *http.Request) {
	if s.member.group.Load() == nil {
		writeError(w, http.StatusServiceUnavailable, operatorapi.Error{Code: operatorapi.ErrorNoQuorum, Message: "the member has not found its group yet"})
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, http.StatusNotFound, operatorapi.Error{Code: operatorapi.ErrorNotFound, Message: "no such path: " + r.URL.Path})
}

func methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	writeError(w, http.StatusMethodNotAllowed, operatorapi.Error{
		Code:    operatorapi.ErrorWrongMethod,
		Message: r.URL.Path + " does not take " + r.Method,
	})
}
