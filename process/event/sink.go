package event

import "github.com/landingtrail/landingtrail/process/logsink"

// SinkConfig returns what a daemon's log sink needs to know of events: which of
// them are routine, and how lines that were dropped are told of.
func SinkConfig() logsink.Config {
	return logsink.Config{
		IsRoutine: IsRoutine,
		DroppedLine: func(routine, other uint64) []any {
			return []any{"level", "warn", "event", int(LinesDropped.Number), "name", LinesDropped.Name, "routine", routine, "other", other}
		},
	}
}
