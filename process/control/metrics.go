package control

import (
	"math"
	"net/http"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/quota"
	"github.com/landingtrail/landingtrail/request/ratelimit"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const metricsNamespace = "landingtrail_control"

// metrics holds the metrics of one member; in tests a process may run several members.
type metrics struct {
	registry           *prometheus.Registry
	ordersOpened       prometheus.Counter
	ordersClosed       *prometheus.CounterVec
	ordersSent         prometheus.Counter
	ordersFailed       prometheus.Counter
	transactions       *prometheus.CounterVec
	claims             *prometheus.CounterVec
	proposalError      *prometheus.CounterVec
	placements         *prometheus.CounterVec
	charges            *prometheus.CounterVec
	limitCharges       *prometheus.CounterVec
	loans              *prometheus.CounterVec
	placementTime      *prometheus.HistogramVec
	expectedFirstToken *prometheus.HistogramVec
	replicaFactor      *prometheus.HistogramVec
	foreignEntries     prometheus.Gauge
	ramps              *prometheus.CounterVec
	ramping            prometheus.Gauge
}

func newMetrics() *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	m.ordersOpened = m.counter("orders_opened_total", "Orders committed by this member as leader.")
	m.ordersSent = m.counter("orders_sent_total", "Orders and voids sent to engines, resends included.")
	m.ordersFailed = m.counter("orders_unanswered_total", "Orders and voids that brought no answer.")
	m.ordersClosed = m.counterVec("orders_closed_total", "Orders closed by this member as leader.", "reason")
	m.transactions = m.counterVec("transactions_total", "Transactions answered by this member as leader.", "code")
	m.claims = m.counterVec("claims_total", "At-most-once claims answered by this member as leader.", "code")
	m.proposalError = m.counterVec("proposals_failed_total", "Commands that brought no result.", "outcome")
	m.charges = m.counterVec("quota_charges_total", "Requests charged to the quotas of tenants.", "outcome")
	m.loans = m.counterVec("retry_loans_total", "Retries that proxies asked for beyond their own budgets.", "outcome")
	m.limitCharges = m.counterVec("limit_charges_total", "Requests that proxies asked to send to replicas with a limit.", "outcome")
	m.placements = m.counterVec("placements_total", "Requests that proxies asked this member to place.", "outcome")
	m.placementTime = m.histogram("placing_seconds", "Time of one decision where a request goes.", placementTimeBuckets, "service")
	m.expectedFirstToken = m.histogram("placed_first_token_seconds", "Expected time to the first token of placed requests.", expectedFirstTokenBuckets, "service")
	m.replicaFactor = m.histogram("replica_time_factor", "Factors on the estimated times at each replica, observed every second, by its role.", replicaFactorBuckets, "role")
	m.foreignEntries = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: metricsNamespace, Name: "fleet_foreign_entries", Help: "Entries of the list that name no replica, as last read by this member as leader.",
	})
	m.ramps = m.counterVec("ramps_total", "Ramps of replicas that have started or recovered, by why they began.", "reason")
	m.ramping = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: metricsNamespace, Name: "replicas_ramping", Help: "Replicas whose requests in flight a ramp limits, as far as this member places requests.",
	})
	m.registry.MustRegister(m.foreignEntries, m.ramping)
	return m
}

func (m *metrics) counter(name, help string) prometheus.Counter {
	created := prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help})
	m.registry.MustRegister(created)
	return created
}

func (m *metrics) counterVec(name, help, label string) *prometheus.CounterVec {
	created := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}, []string{label})
	m.registry.MustRegister(created)
	return created
}

func (m *metrics) histogram(name, help string, buckets []float64, label string) *prometheus.HistogramVec {
	created := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: metricsNamespace, Name: name, Help: help, Buckets: buckets,
	}, []string{label})
	m.registry.MustRegister(created)
	return created
}

// Histogram buckets: from 4 µs to 4 ms for placement decisions, from 10 ms to 10 s for expected
// times to the first token, and from 0.4 to 5 for the factors of replicas.
var (
	placementTimeBuckets      = prometheus.ExponentialBuckets(4e-6, 4, 6)
	expectedFirstTokenBuckets = prometheus.ExponentialBuckets(0.01, 2, 11)
	replicaFactorBuckets      = []float64{0.4, 0.5, 0.6, 0.8, 1, 1.25, 1.6, 2, 2.5, 3.5, 5}
)

// Outcomes of placement requests.
const (
	outcomePlaced    = "placed"
	outcomeNoReplica = "no_replica"
	outcomeWaits     = "waits"
	outcomeDeferred  = "deferred"
	outcomeRefused   = "refused"
	outcomeUnknown   = "unknown_service"
)

// observeFactors records the factors of the replicas of one service.
func (m *metrics) observeFactors(summary *placement.Summary) {
	for role, load := range map[api.EngineRole]*placement.RoleLoad{api.RolePrefill: &summary.Readers, api.RoleDecode: &summary.Generators} {
		for _, factor := range load.Factors {
			m.replicaFactor.WithLabelValues(string(role)).Observe(factor)
		}
	}
}

// observeCharge counts one charge to a tenant's quota.
func (m *metrics) observeCharge(grant quota.Grant) {
	outcome := outcomeRefused
	if grant.Granted {
		outcome = outcomeGranted
	}
	m.charges.WithLabelValues(outcome).Inc()
}

// observeLimitCharge counts one request for a replica with a limit.
func (m *metrics) observeLimitCharge(reply ratelimit.Reply) {
	m.limitCharges.WithLabelValues(grantOutcome(reply.Granted)).Inc()
}

// observeLoan counts one request for a retry of the common reserve.
func (m *metrics) observeLoan(granted bool) {
	m.loans.WithLabelValues(grantOutcome(granted)).Inc()
}

func grantOutcome(granted bool) string {
	if granted {
		return outcomeGranted
	}
	return outcomeRefused
}

// outcomeGranted is the outcome of a charge that the quota covers.
const outcomeGranted = "granted"

// observePlacement counts one placement decision and, if the service is known, records its duration
// and the expected time to the first token.
func (m *metrics) observePlacement(service string, answer placement.Answer, known bool, took time.Duration) {
	switch {
	case !known:
		m.placements.WithLabelValues(outcomeUnknown).Inc()
		return
	case answer.Wait > 0:
		m.placements.WithLabelValues(outcomeWaits).Inc()
	case answer.Refused:
		m.placements.WithLabelValues(outcomeRefused).Inc()
	case answer.Generator == "":
		m.placements.WithLabelValues(outcomeNoReplica).Inc()
	default:
		outcome := outcomePlaced
		if answer.Deferred {
			outcome = outcomeDeferred
		}
		m.placements.WithLabelValues(outcome).Inc()
		m.expectedFirstToken.WithLabelValues(service).Observe(answer.Estimate.Seconds())
	}
	m.placementTime.WithLabelValues(service).Observe(took.Seconds())
}

func (m *metrics) gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help}, read))
}

// registerGauges registers the gauges of a started member.
func (m *metrics) registerGauges(started *member) {
	status := func() raft.Status { return started.replica.Status() }
	m.gauge("leader", "1 while this member leads with everything applied, else 0.", func() float64 {
		if started.group.Load().Leadership().Leads {
			return 1
		}
		return 0
	})
	m.gauge("term", "The member's term.", func() float64 { return float64(status().Term) })
	m.gauge("commit_index", "The highest log index known to be committed.", func() float64 { return float64(status().Commit) })
	m.gauge("applied_index", "The highest log index applied.", func() float64 { return float64(status().Applied) })
	m.gauge("subscribers", "Connections to the member's feed.", func() float64 { return float64(started.feed.Subscribers()) })
	leaderGauge := func(read func() int) func() float64 {
		return func() float64 {
			if !started.group.Load().Leadership().Leads {
				return math.NaN()
			}
			return float64(read())
		}
	}
	daemons := func() feed.Daemons { return started.feed.Daemons(started.machine.view().Version.Revision) }
	m.gauge("further_losses", "Voters that can be lost without losing the quorum; only the leader knows.", leaderGauge(func() int {
		return started.faultTolerance(status()).furtherLosses
	}))
	m.gauge("daemons_leased", "Daemons that hold a view lease; only the leader knows.", leaderGauge(func() int { return daemons().Leased }))
	m.gauge("daemons_behind", "Daemons that hold a lease on an older revision; only the leader knows.", leaderGauge(func() int {
		return len(daemons().Behind)
	}))
	m.gauge("open_orders", "Engines with an open order.", func() float64 { return float64(openOrders(started.machine.view())) })
	m.gauge("dropped_messages", "Messages of other members that found no room.", func() float64 {
		return float64(started.replica.DroppedMessages())
	})
}

func openOrders(currentView *view.View) int {
	open := 0
	for _, engine := range currentView.Engines {
		if engine.Status.OpenOrder != nil {
			open++
		}
	}
	return open
}

// handler serves the metrics.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
