package proxy

import (
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/landingtrail/landingtrail/version/view"
)

// HTTP paths of the admin server.
const (
	PathHealth   = "/healthz"        // 200 while the process runs, also if Readiness.Ready is false
	PathReady    = "/readyz"         // 200 while the proxy accepts requests, else 503
	PathMetrics  = "/metrics"        // Prometheus metrics
	PathInFlight = "/debug/inflight" // list of InFlightRequest
)

// listenAdmin starts the HTTP server for health checks, metrics and debugging.
func (p *Proxy) listenAdmin() (*server, error) {
	routes := &prefixRouter{Router: newHTTPRouter()}
	return p.listen("landingtrail-proxy-admin", p.config.AdminAddress, routes, func(srv *rest.Server) {
		srv.AddRoutes([]rest.Route{
			{Method: http.MethodGet, Path: PathHealth, Handler: p.serveHealth},
			{Method: http.MethodGet, Path: PathReady, Handler: p.serveReady},
			{Method: http.MethodGet, Path: PathMetrics, Handler: p.metrics.handler().ServeHTTP},
			{Method: http.MethodGet, Path: PathInFlight, Handler: p.serveInFlight},
		})
	})
}

// Readiness is the response body of PathHealth and PathReady.
type Readiness struct {
	Ready    bool         `json:"ready"`
	Reason   string       `json:"reason,omitempty"` // why the proxy is not ready
	Version  view.Version `json:"version"`          // of the view
	InFlight int          `json:"inFlight"`
}

func (p *Proxy) readiness() Readiness {
	s := p.viewState()
	state := Readiness{Version: s.catalog.view.Version, InFlight: p.inFlight.count()}
	switch {
	case p.stopping.Load():
		state.Reason = "stopping"
	case s.catalog.view.Version.IsZero():
		state.Reason = "no view yet"
	case !s.valid && p.config.OnControlLoss.Model == LossRefuse && p.config.OnControlLoss.Backend == LossRefuse:
		state.Reason = "view lease has lapsed"
	default:
		state.Ready = true
	}
	return state
}

func (p *Proxy) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.readiness())
}

func (p *Proxy) serveReady(w http.ResponseWriter, _ *http.Request) {
	state := p.readiness()
	status := http.StatusOK
	if !state.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, state)
}

// InFlightRequest describes one request in the response of PathInFlight.
type InFlightRequest struct {
	ID       string           `json:"id"`
	Service  string           `json:"service"`
	Class    string           `json:"class"`
	Tenant   string           `json:"tenant"`
	State    string           `json:"state"`        // an attempt.State
	Seconds  float64          `json:"seconds"`      // since the request was validated
	Passed   int              `json:"tokensPassed"` // tokens passed on to the caller
	Attempts []InFlightRecord `json:"attempts"`
}

// InFlightRecord describes one attempt of an InFlightRequest.
type InFlightRecord struct {
	Number   uint32 `json:"number"`
	Endpoint string `json:"endpoint"`
	Open     bool   `json:"open"`     // the attempt has not ended
	Admitted bool   `json:"admitted"` // the endpoint confirmed that it accepted the request
	Refused  bool   `json:"refused"`  // the endpoint explicitly refused the request
	Resumes  int    `json:"resumes"`
}

func (p *Proxy) serveInFlight(w http.ResponseWriter, _ *http.Request) {
	list := p.inFlight.list()
	rows := make([]InFlightRequest, len(list))
	for i, request := range list {
		rows[i] = InFlightRequest{
			ID:      request.id,
			Service: request.service,
			Class:   request.class,
			Tenant:  request.tenant,
			State:   request.attempts.State().String(),
			Seconds: time.Since(request.started).Seconds(),
			Passed:  request.attempts.Forwarded(),
		}
		for _, record := range request.attempts.Attempts() {
			rows[i].Attempts = append(rows[i].Attempts, InFlightRecord{
				Number:   record.Number,
				Endpoint: record.Endpoint,
				Open:     record.Open,
				Admitted: record.Admitted,
				Refused:  record.Refused,
				Resumes:  record.Resumes,
			})
		}
	}
	writeJSON(w, http.StatusOK, rows)
}
