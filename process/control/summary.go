package control

import (
	"context"
	"time"

	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/placement"
)

// summaryInterval is the time between two log lines on the placements of a service. It is short
// enough to show an outage of one second, and costs a few hundred bytes of log per second.
const summaryInterval = time.Second

// logPlacementSummaries logs the placement summary of each service until ctx ends. A member that
// places no requests logs nothing.
func (g *group) logPlacementSummaries(ctx context.Context) {
	for pause.Sleep(ctx, summaryInterval) {
		for service, summary := range g.boards.summaries(monotonic()) {
			event.BoardShows.Log(g.logger, placementSummaryFields(service, summary)...)
		}
	}
}

// placementSummaryFields returns the key-value pairs of a summary's log line. The read_ keys are
// times of prefill replicas and the direct_ keys times of decode replicas: the mean and the longest
// time to prefill what is queued, the time to begin with a prompt, and the time per token. Of the
// placed requests, split ones are prefilled on another replica than they run on, and fetched ones
// fetch cached prompt parts; unread is the number of their tokens still to be prefilled. memory_short
// is the number of waits and refusals for want of KV memory.
func placementSummaryFields(service string, summary placement.Summary) []any {
	return []any{
		"service", service, "in_flight", summary.InFlight, "late_percent", int(100 * summary.Late),
		"cold", summary.Cold, "suspect", summary.Suspect, "banned", summary.Banned, "isolated", summary.Isolated, "handover_ms", summary.Handover.Milliseconds(),
		"readers", summary.Readers.Replicas, "read_ms", summary.Readers.MeanBacklog.Milliseconds(), "read_most_ms", summary.Readers.MaxBacklog.Milliseconds(),
		"read_start_ms", summary.Readers.ReadOverhead.Milliseconds(), "read_ns_token", summary.Readers.PerToken.Nanoseconds(),
		"generators", summary.Generators.Replicas, "running", summary.Generators.Running,
		"direct_ms", summary.Generators.MeanBacklog.Milliseconds(), "direct_most_ms", summary.Generators.MaxBacklog.Milliseconds(),
		"direct_start_ms", summary.Generators.ReadOverhead.Milliseconds(), "direct_ns_token", summary.Generators.PerToken.Nanoseconds(),
		"placed", summary.Answers.Placed, "split", summary.Answers.Split, "fetched", summary.Answers.Fetched,
		"deferred", summary.Answers.Deferred, "waits", summary.Answers.Waits, "refused", summary.Answers.Refused,
		"unread", summary.Answers.Unread, "memory_short", summary.Answers.MemoryShort,
	}
}
