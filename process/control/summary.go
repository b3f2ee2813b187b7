package control

import (
	"context"
	"math"
	"time"

	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
)

// summaryInterval is the time between two log lines on the placements of a service. It is short
// enough to show an outage of one second, and costs a few hundred bytes of log per second.
const summaryInterval = time.Second

// logPlacementSummaries logs the placement summary of each service until ctx ends. A member that
// places no requests logs nothing.
func (g *group) logPlacementSummaries(ctx context.Context) {
	for pause.Sleep(ctx, summaryInterval) {
		for service, summary := range g.boards.summaries(monotonic()) {
			g.metrics.observeFactors(&summary)
			event.BoardShows.Log(g.logger, placementSummaryFields(service, summary)...)
		}
		g.logRamps(monotonic())
	}
}

// logRamps logs and counts the begins and ends of ramps since the last call.
func (g *group) logRamps(now time.Duration) {
	changes, ramping := g.boards.rampChanges(now)
	g.metrics.ramping.Set(float64(ramping))
	for service, latest := range changes {
		for reason, count := range latest.Begun {
			g.metrics.ramps.WithLabelValues(string(reason)).Add(float64(count))
		}
		for i, change := range latest.Changes {
			omitted := 0
			if i == len(latest.Changes)-1 {
				omitted = latest.Omitted
			}
			logged, outcome := event.RampBegan, []any{"limit", change.Limit}
			if change.Ended {
				logged, outcome = event.RampEnded, []any{"lasted_ms", change.Lasted.Milliseconds(), "dropped", change.Dropped}
			}
			fields := []any{"service", service, "replica", change.Replica, "role", roleName(change.Role), "reason", string(change.Reason), "age_ms", (now - change.At).Milliseconds()}
			logged.Log(g.logger, append(append(fields, outcome...), "omitted", omitted)...)
		}
	}
}

// roleName returns the name of a replica's role in logs.
func roleName(role placement.Role) string {
	if role == placement.RolePrefill {
		return string(api.RolePrefill)
	}
	return string(api.RoleDecode)
}

// placementSummaryFields returns the key-value pairs of a summary's log line. The read_ keys are
// times of prefill replicas and the direct_ keys times of decode replicas: the mean and the longest
// time to prefill what is queued, the time to begin with a prompt, and the time per token. Of the
// placed requests, split ones are prefilled on another replica than they run on, and fetched ones
// fetch cached prompt parts; unread is the number of their tokens still to be prefilled. memory_short
// is the number of waits and refusals for want of KV memory.
// The read_factor and direct_factor keys are the factors on these times at the replicas of the role, in percent, and stale_slowness is the
// number of replicas whose slowness is not known.
func placementSummaryFields(service string, summary placement.Summary) []any {
	readLeast, readMean, readMost := summary.Readers.FactorRange()
	directLeast, directMean, directMost := summary.Generators.FactorRange()
	return []any{
		"service", service, "in_flight", summary.InFlight, "late_percent", int(100 * summary.Late),
		"cold", summary.Cold, "suspect", summary.Suspect, "banned", summary.Banned, "isolated", summary.Isolated, "ramping", summary.Ramping, "handover_ms", summary.Handover.Milliseconds(),
		"readers", summary.Readers.Replicas, "read_ms", summary.Readers.MeanBacklog.Milliseconds(), "read_most_ms", summary.Readers.MaxBacklog.Milliseconds(),
		"read_start_ms", summary.Readers.ReadOverhead.Milliseconds(), "read_ns_token", summary.Readers.PerToken.Nanoseconds(),
		"generators", summary.Generators.Replicas, "running", summary.Generators.Running,
		"direct_ms", summary.Generators.MeanBacklog.Milliseconds(), "direct_most_ms", summary.Generators.MaxBacklog.Milliseconds(),
		"direct_start_ms", summary.Generators.ReadOverhead.Milliseconds(), "direct_ns_token", summary.Generators.PerToken.Nanoseconds(),
		"placed", summary.Answers.Placed, "split", summary.Answers.Split, "fetched", summary.Answers.Fetched,
		"deferred", summary.Answers.Deferred, "waits", summary.Answers.Waits, "refused", summary.Answers.Refused,
		"unread", summary.Answers.Unread, "memory_short", summary.Answers.MemoryShort,
		"read_factor_least", percent(readLeast), "read_factor", percent(readMean), "read_factor_most", percent(readMost),
		"direct_factor_least", percent(directLeast), "direct_factor", percent(directMean), "direct_factor_most", percent(directMost),
		"stale_slowness", summary.StaleSlowness,
	}
}

// percent returns a share or factor in percent.
func percent(value float64) int { return int(math.Round(100 * value)) }
