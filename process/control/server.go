package control

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest/router"
)

// Bounds of the operator server's connections.
const (
	readHeaderTimeout = 5 * time.Second
	requestTimeout    = 30 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 64 << 10
)

// operatorServer serves the operator API, health and metrics.
//
// The router is the one of go-zero's rest; the http.Server around it is ours.
// rest's own server ends by its own signal handling and knows no other planned
// stop, and its default middlewares would answer for this protocol: the timeout
// without telling "unknown" from "not accepted", the breaker and the shedding
// with refusals of their own, the body cap without naming the field, and gunzip
// would let a small body grow past the cap.
type operatorServer struct {
	member *member
	http   *http.Server
	places chan struct{} // one for each request under way
	// forwarding hands requests on to the leader.
	forwarding *http.Client
}

func newOperatorServer(m *member) (*operatorServer, error) {
	logx.Disable() // go-zero's logger would write lines of its own form
	s := &operatorServer{
		member:     m,
		places:     make(chan struct{}, m.config.Limits.MaxOperatorConnections),
		forwarding: newForwardingClient(),
	}
	routes := router.NewRouter()
	routes.SetNotFoundHandler(http.HandlerFunc(notFound))
	for _, served := range s.routes() {
		if err := routes.Handle(served.method, served.path, served.handler); err != nil {
			return nil, errors.Wrap(err, "control: operator server")
		}
	}
	s.http = &http.Server{
		Handler:           s.bounded(routes),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(log.NewStdlibAdapter(m.logger), "", 0),
	}
	return s, nil
}

// bounded refuses requests beyond the number that may be under way.
func (s *operatorServer) bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.places <- struct{}{}:
			defer func() { <-s.places }()
			next.ServeHTTP(w, r)
		default:
			writeNoQuorum(w, "too many requests are under way", "")
		}
	})
}

// route is one path of the operator server.
type route struct {
	method  string
	path    string
	handler http.HandlerFunc
}

func (s *operatorServer) routes() []route {
	return []route{
		{http.MethodPost, operatorapi.PathTransactions, s.onLeader(s.transact)},
		{http.MethodGet, operatorapi.PathObjects + "/:kind", s.onLeader(s.listObjects)},
		{http.MethodGet, operatorapi.PathObjects + "/:kind/:name", s.onLeader(s.getObject)},
		{http.MethodGet, operatorapi.PathInForce, s.onLeader(s.inForce)},
		{http.MethodGet, operatorapi.PathStatus, s.onLeader(s.status)},
		{http.MethodGet, operatorapi.PathOrders, s.onLeader(s.orders)},
		{http.MethodGet, operatorapi.PathLedger, s.onLeader(s.ledger)},
		{http.MethodPost, operatorapi.PathMembers, s.onLeader(s.changeMembers)},
		{http.MethodGet, operatorapi.PathMemberStatus, s.memberStatus},
		{http.MethodGet, operatorapi.PathHealth, s.health},
		{http.MethodGet, operatorapi.PathMetrics, promhttp.Handler().ServeHTTP},
	}
}

// serve answers requests until the server is shut down.
func (s *operatorServer) serve() {
	err := s.http.Serve(s.member.listeners.operator)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		event.OperatorRequestFailed.Log(s.member.logger, "err", err)
	}
}

// shutdown answers the requests in flight and then ends the connections.
func (s *operatorServer) shutdown(ctx context.Context) {
	if err := s.http.Shutdown(ctx); err != nil {
		s.close()
	}
	s.forwarding.CloseIdleConnections()
}

// close ends the connections at once.
func (s *operatorServer) close() {
	_ = s.http.Close()
	s.forwarding.CloseIdleConnections()
}

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
