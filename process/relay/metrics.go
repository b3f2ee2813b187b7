package relay

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/landingtrail/landingtrail/process/admin"
)

const metricsNamespace = "landingtrail_relay"

// metrics returns a registry of the relay's gauges, whose values are read on each
// scrape. acknowledged_revision is the highest one that is in force at all daemons behind
// the relay; view_confirmed is also 0 while the relay is stopping.
func (r *Relay) metrics() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		gauge("daemons", "Daemons that follow the relay.", func() float64 { return float64(r.server.Subscribers()) }),
		gauge("view_revision", "Revision of the view held.", func() float64 { return float64(r.views.Load().Version.Revision) }),
		gauge("acknowledged_revision", "Highest revision known to be in force behind the relay.", func() float64 {
			return float64(r.views.Acknowledge(r.clock()).Revision)
		}),
		gauge("view_confirmed", "1 while the relay's own view lease holds, else 0.", func() float64 {
			if r.group.canServe() {
				return 1
			}
			return 0
		}),
	)
	return registry
}

func gauge(name, help string, read func() float64) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help}, read)
}

// readiness reports whether daemons should subscribe to the relay.
func (r *Relay) readiness() admin.Readiness {
	switch {
	case r.group.stopping.Load():
		return admin.Readiness{Reason: "stopping"}
	case !r.group.canServe():
		return admin.Readiness{Reason: "the view lease has lapsed or is not there yet"}
	}
	return admin.Readiness{Ready: true}
}
