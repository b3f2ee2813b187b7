package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const metricsNamespace = "landingtrail_proxy"

// metrics are the metrics of one proxy. Each proxy has its own registry, so that several can run in
// one process.
type metrics struct {
	registry           *prometheus.Registry
	requests           *prometheus.CounterVec
	duration           *prometheus.HistogramVec
	retries            prometheus.Counter
	resumes            prometheus.Counter
	refusals           prometheus.Counter
	broken             prometheus.Counter // interrupted streams
	held               prometheus.Counter // quarantined requests that were refused
	splitFailures      prometheus.Counter // failed KV cache transfers
	unmatchedResponses prometheus.Counter // responses that do not belong to their request
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace,
			Name:      "requests_total",
			Help:      "Requests by service, class, status and what the caller was told of the run.",
		}, []string{"service", "class", "status", "ran"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: metricsNamespace,
			Name:      "request_seconds",
			Help:      "Time from a request's arrival to its end.",
			Buckets:   prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"service", "class"}),
		retries:            newCounter("retries_total", "Further tries of requests after a failure."),
		resumes:            newCounter("resumes_total", "Streams that were taken up again."),
		refusals:           newCounter("engine_refusals_total", "Explicit refusals before admission by back ends."),
		broken:             newCounter("broken_streams_total", "Streams that ended without their terminal event."),
		held:               newCounter("held_total", "Requests that went to no engine, since engines end under them."),
		splitFailures:      newCounter("split_failures_total", "Hand-overs of KV cache that failed."),
		unmatchedResponses: newCounter("foreign_answers_total", "Answers of back ends that are not proven to be of the request that they came to."),
	}
	m.registry.MustRegister(m.requests, m.duration, m.retries, m.resumes,
		m.refusals, m.broken, m.held, m.splitFailures, m.unmatchedResponses)
	return m
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help})
}

// registerViewGauges adds the gauges of the proxy's view.
func (m *metrics) registerViewGauges(p *Proxy) {
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: metricsNamespace,
			Name:      "view_confirmed",
			Help:      "1 while the view's lease holds, else 0.",
		}, func() float64 {
			if p.viewState().valid {
				return 1
			}
			return 0
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: metricsNamespace,
			Name:      "view_revision",
			Help:      "Revision of the view in force.",
		}, func() float64 { return float64(p.views.Load().Version.Revision) }),
	)
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// observeEnd records the end of a request that passed validation.
func (m *metrics) observeEnd(service, class string, failed *failure, elapsed time.Duration) {
	status, ran := http.StatusOK, "yes"
	if failed != nil {
		status, ran = failed.status, string(failed.runState)
	}
	m.requests.WithLabelValues(service, class, strconv.Itoa(status), ran).Inc()
	m.duration.WithLabelValues(service, class).Observe(elapsed.Seconds())
}
