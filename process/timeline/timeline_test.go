package timeline

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/process/event"
	"github.com/shoenig/test/must"
)

var noon = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// logLine formats a daemon log line with a time in milliseconds after noon.
func logLine(milliseconds int, node string, kind event.Event, rest string) string {
	when := noon.Add(time.Duration(milliseconds) * time.Millisecond)
	return fmt.Sprintf("level=info time=%s node=%s event=%d name=%s %s\n", when.Format(time.RFC3339Nano), node, kind.Number, kind.Name, rest)
}

func TestPhasesOfAnOutage(t *testing.T) {
	log := logLine(0, "core-1", event.ControlStarted, "") +
		logLine(400, "core-2", event.ControlStarted, "") +
		logLine(100, "edge-1", event.IngressStarted, "") +
		logLine(500, "core-2", event.ControlLeads, "term=7") +
		logLine(700, "edge-2", event.FeedServed, "") +
		logLine(600, "edge-1", event.FeedServed, "") +
		logLine(900, "edge-1", event.FeedServed, "") +
		logLine(800, "core-2", event.KeptAsked, "replica=r-1") +
		logLine(850, "core-2", event.KeptAsked, "replica=r-2") +
		logLine(1000, "core-2", event.BoardShows, "read_ms=900") +
		logLine(2000, "core-2", event.BoardShows, "read_ms=250") +
		logLine(3000, "core-2", event.BoardShows, "read_ms=200") +
		logLine(4000, "core-2", event.BoardShows, "read_ms=190") +
		logLine(4000, "core-1", event.BoardShows, "read_ms=5000") +
		"truncated\n"
	var reader Reader
	must.NoError(t, reader.Read(strings.NewReader(log), "log"))
	timeline := reader.Timeline()
	must.Eq(t, 1, timeline.Skipped)
	must.SliceLen(t, 1, timeline.Leaderships)
	leadership := timeline.Leaderships[0]
	must.Eq(t, "core-2", leadership.Leader)
	must.Eq(t, "7", leadership.Term)
	atMillisecond := func(milliseconds int) time.Time { return noon.Add(time.Duration(milliseconds) * time.Millisecond) }
	must.Eq(t, []Phase{
		{"members start", 2, atMillisecond(0), atMillisecond(400), atMillisecond(400)},
		{"proxies start", 1, atMillisecond(100), atMillisecond(100), atMillisecond(100)},
		{"leader serves proxies", 2, atMillisecond(600), atMillisecond(700), atMillisecond(700)},
		{"kept parts are known", 2, atMillisecond(800), atMillisecond(850), atMillisecond(850)},
	}, leadership.Phases)
	// The median of the leader's backlogs is 250 ms, so up to 500 ms is normal.
	must.Eq(t, atMillisecond(2000), leadership.BacklogNormalAt)
	must.Eq(t, 900*time.Millisecond, leadership.MaxBacklog)
}

// Events during a leadership must not count for another one.
func TestEventsAreAssignedToTheirLeadership(t *testing.T) {
	log := logLine(0, "core-1", event.ControlLeads, "term=1") +
		logLine(100, "edge-1", event.FeedServed, "") +
		logLine(30_000, "core-2", event.ControlLeads, "term=2") +
		logLine(30_200, "edge-1", event.FeedServed, "")
	var reader Reader
	must.NoError(t, reader.Read(strings.NewReader(log), "log"))
	timeline := reader.Timeline()
	must.SliceLen(t, 2, timeline.Leaderships)
	for _, leadership := range timeline.Leaderships {
		must.SliceLen(t, 1, leadership.Phases)
		must.Eq(t, 1, leadership.Phases[0].Count)
	}
}
