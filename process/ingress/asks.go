package ingress

import (
	"net/http"

	"github.com/landingtrail/landingtrail/process/event"
)

// hearAsks takes in what an answer of the replica says of further requests, whomever it
// answers: it came on a connection to the replica. Another one that answers at its address
// speaks of itself.
func (s *session) hearAsks(stage string, from *replica, status int, header http.Header) {
	reply := s.ingress.config.Dialect.Reply(status, header)
	if reply.Misdirected || reply.Asks.IsZero() {
		return
	}
	s.ingress.metrics.asks.WithLabelValues(s.lane.service, stage).Inc()
	event.ReplicaAsks.Log(s.ingress.logger, "replica", from.name, "request", s.call.ID, "stage", stage, "status", status,
		"retry_after_ms", reply.Asks.RetryAfter.Milliseconds(), "leaving", reply.Asks.Leaving)
}
