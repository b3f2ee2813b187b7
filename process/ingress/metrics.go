package ingress

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const metricsNamespace = "landingtrail_ingress"

// metrics holds the counters and histograms of the ingress. No label names a replica, because
// replicas come and go and would increase the number of time series; the log names them.
type metrics struct {
	registry            *prometheus.Registry
	requests            *prometheus.CounterVec
	latency             *prometheus.HistogramVec
	firstEvent          *prometheus.HistogramVec
	attempts            *prometheus.CounterVec
	choices             *prometheus.CounterVec
	prefills            *prometheus.CounterVec
	prefillSeconds      *prometheus.HistogramVec
	retriesRefused      *prometheus.CounterVec
	unmatchedResponses  *prometheus.CounterVec
	brokenConnections   *prometheus.CounterVec
	quarantinedRequests *prometheus.CounterVec
	announcements       *prometheus.CounterVec
	withheldSends       *prometheus.CounterVec
	unknownFields       *prometheus.CounterVec
	limitGrants         *prometheus.CounterVec
	ramps               *prometheus.CounterVec
	ramping             *prometheus.GaugeVec
	endlessAnswers      *prometheus.CounterVec
	invalidAnswers      *prometheus.CounterVec
	stalledAnswers      *prometheus.CounterVec
}

func newMetrics() *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	m.requests = m.counter("requests_total", "Requests that ended, by route and outcome.", "route", "outcome")
	m.latency = m.histogram("request_seconds", "Time from arrival to the end of the answer.", "route")
	m.firstEvent = m.histogram("first_event_seconds", "Time from arrival to the first event of a stream.", "route")
	m.attempts = m.counter("attempts_total", "Attempts that ended, by what came of them.", "service", "verdict")
	m.choices = m.counter("choices_total", "Replicas chosen for prompts, by the group or by this proxy alone.", "service", "by")
	m.prefills = m.counter("prefills_total", "Prompts read apart from the replica that makes the tokens.", "service", "outcome")
	m.prefillSeconds = m.histogram("prefill_seconds", "Time of a read that succeeded.", "service")
	m.retriesRefused = m.counter("retries_refused_total", "Retries that the shared budget did not allow.", "service")
	m.unmatchedResponses = m.counter("foreign_answers_total", "Answers that name another request than the one that was asked, or none.", "service", "stage")
	m.brokenConnections = m.counter("broken_total", "Attempts whose replica closed or reset the connection while it was at work, as one that ends does.", "service", "stage")
	m.quarantinedRequests = m.counter("held_total", "Requests that went to no replica, since replicas end under them.", "service")
	m.announcements = m.counter("replica_asks_total", "Answers that ask for a pause, or say that their replica leaves.", "service", "stage")
	m.withheldSends = m.counter("withheld_total", "Sends to a chosen replica that had asked for a pause, or said that it leaves, meanwhile.", "service", "stage")
	m.limitGrants = m.counter("limit_grants_total", "Requests for replicas with a limit, by outcome and who decided.", "service", "outcome", "by")
	m.endlessAnswers = m.counter("endless_answers_total", "Answers that were cut off because their replica sends bytes without end.", "service", "stage")
	m.invalidAnswers = m.counter("invalid_answers_total", "Answers with a status, a field name or a content encoding that HTTP or the caller does not allow.", "service", "stage")
	m.stalledAnswers = m.counter("stalled_answers_total", "Answers that were ended because their callers did not read them.", "route")
	m.unknownFields = m.counter("unknown_fields_total", "Answers of replicas with a field that this program does not know, by its name.", "field")
	m.ramps = m.counter("ramps_total", "Ramps of replicas that have started or recovered, by why they began.", "service", "reason")
	m.ramping = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: metricsNamespace, Name: "replicas_ramping", Help: "Replicas whose requests in flight from this proxy a ramp limits.",
	}, []string{"service"})
	m.registry.MustRegister(m.ramping)
	return m
}

func (m *metrics) counter(name, help string, labels ...string) *prometheus.CounterVec {
	created := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}, labels)
	m.registry.MustRegister(created)
	return created
}

// histogram registers a histogram with buckets from 10 ms to 10 s.
func (m *metrics) histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	created := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: metricsNamespace, Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(0.01, 2, 11),
	}, labels)
	m.registry.MustRegister(created)
	return created
}

// Label values: who chose a replica, and whether a prefill succeeded.
const (
	chosenByGroup = "group"
	chosenByProxy = "proxy"

	limitGranted = "granted"
	limitRefused = "refused"

	prefillSucceeded = "read"
	prefillFailed    = "failed"
)

// observe counts a request that ended. Its latency is recorded unless it was refused, in which
// case route is empty.
func (m *metrics) observe(route, outcome string, took time.Duration) {
	m.requests.WithLabelValues(route, outcome).Inc()
	if route != "" {
		m.latency.WithLabelValues(route).Observe(took.Seconds())
	}
}

// outcomeOf returns the outcome label for a status; 0 stands for an answer that was cut.
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
