package ingress

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the ingress's counters and histograms.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "landingtrail_ingress_requests_total", Help: "Requests that ended, by route and outcome.",
		}, []string{"route", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "landingtrail_ingress_request_seconds", Help: "Time from arrival to the end of the answer.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 11),
		}, []string{"route"}),
	}
	m.registry.MustRegister(m.requests, m.latency)
	return m
}

func (m *metrics) observe(route, outcome string, took time.Duration) {
	m.requests.WithLabelValues(route, outcome).Inc()
	if route != "" {
		m.latency.WithLabelValues(route).Observe(took.Seconds())
	}
}

// outcomeOf names an outcome by its status.
func outcomeOf(status int) string {
	switch {
	case status == 0:
		return "cut"
	case status == http.StatusOK:
		return "answered"
	case status == statusCallerGone:
		return "caller_gone"
	}
	return strconv.Itoa(status)
}
