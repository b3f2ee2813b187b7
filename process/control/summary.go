package control

import (
	"context"
	"time"

	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/placement"
)

// summaryInterval is the time between two lines of the log on the boards: an outage
// of a second shows, at a few hundred bytes a second.
const summaryInterval = time.Second

// logPlacementSummaries writes what the boards of this member show until ctx ends. A member
// whose boards place nothing writes nothing.
func (g *group) logPlacementSummaries(ctx context.Context) {
	for pause.For(ctx, summaryInterval) {
		for service, shown := range g.desk.summaries(monotonic()) {
			event.BoardShows.Log(g.logger, placementSummaryFields(service, shown)...)
		}
	}
}

func placementSummaryFields(service string, shown placement.Summary) []any {
	return []any{
		"service", service, "in_flight", shown.InFlight, "late_percent", int(100 * shown.Late),
		"cold", shown.Cold, "suspect", shown.Suspect, "handover_ms", shown.Handover.Milliseconds(),
		"readers", shown.Readers.Replicas, "read_ms", shown.Readers.Mean.Milliseconds(), "read_most_ms", shown.Readers.Most.Milliseconds(),
		"read_start_ms", shown.Readers.Start.Milliseconds(), "read_ns_token", shown.Readers.PerToken.Nanoseconds(),
		"generators", shown.Generators.Replicas, "running", shown.Generators.Running,
		"direct_ms", shown.Generators.Mean.Milliseconds(), "direct_most_ms", shown.Generators.Most.Milliseconds(),
		"direct_start_ms", shown.Generators.Start.Milliseconds(), "direct_ns_token", shown.Generators.PerToken.Nanoseconds(),
		"placed", shown.Answers.Placed, "split", shown.Answers.Split, "fetched", shown.Answers.Fetched,
		"deferred", shown.Answers.Deferred, "waits", shown.Answers.Waits, "refused", shown.Answers.Refused,
		"unread", shown.Answers.Unread,
	}
}
