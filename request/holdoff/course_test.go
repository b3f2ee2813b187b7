package holdoff

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// simulation models a replica whose processes follow each other under one name, endpoint lists
// that show any of them in any order or none for a while, and requests that keep the Replica they
// found.
type simulation struct {
	table      *Table
	now        time.Duration
	processes  []Process  // the processes so far
	references []*Replica // kept by requests in flight
	// pauseUntil is the end of the pause that the current process has requested.
	pauseUntil time.Duration
	// listed is true once a list has shown the current process.
	listed bool
}

func (s *simulation) wallTime() time.Time { return testStart.Add(s.now) }

// restart starts the next process, at the same address or at another.
func (s *simulation) restart(moves bool) {
	s.now += time.Millisecond
	address := "a:1"
	if moves {
		address = fmt.Sprint("a:", len(s.processes)+2)
	}
	s.processes = append(s.processes, Process{Address: address, Born: s.wallTime().UnixMilli()})
	s.pauseUntil, s.listed, s.references = 0, false, nil
}

// publish makes a list show the process that is the given number of restarts behind. Requests keep
// the Replica that they found.
func (s *simulation) publish(behind int) {
	at := max(len(s.processes)-1-behind, 0)
	found := s.table.ObserveListed("r", s.processes[at], s.now)
	if at == len(s.processes)-1 {
		s.listed = true
	}
	if s.listed {
		s.references = append(s.references, found)
	}
}

// A replica must receive no request during the pause that its process has requested, once a list
// has shown that process. This must hold whatever lists show, delay or omit, and however long a
// request keeps the Replica that it found. A replica received three requests from a proxy during a
// pause of 1.395 s (soak test seed 5008, cause unknown because the logs were not kept).
//
// The simulation found two such faults: the pause of the current process ended if a list or a
// leader showed an earlier process of the name at another address, and it was lost if it was
// reported to a request that had kept a Replica which no list had shown for a minute.
func TestNothingIsSentDuringAPauseWhateverListsShow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{table: NewTable(Config{}), now: time.Hour}
		s.restart(false)
		s.publish(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s.now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "elapsed")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0: // in step 5 only time passes
				s.restart(rapid.Bool().Draw(t, "moves"))
			case 1:
				s.publish(rapid.IntRange(0, 3).Draw(t, "behind"))
			case 2:
				s.now += time.Duration(rapid.IntRange(0, 90).Draw(t, "unlisted")) * time.Second
				s.table.Forget(s.now)
			case 3:
				if len(s.references) > 0 {
					length := time.Duration(rapid.IntRange(100, 90_000).Draw(t, "pause")) * time.Millisecond
					rapid.SampledFrom(s.references).Draw(t, "received by").Apply(s.now, s.wallTime(), Restrictions{RetryAfter: length})
					s.pauseUntil = max(s.pauseUntil, s.now+length)
				}
			case 4:
				if len(s.references) > 0 {
					rapid.SampledFrom(s.references).Draw(t, "received by").Apply(s.now, s.wallTime(), Restrictions{})
				}
			}
			if s.now >= s.pauseUntil {
				continue
			}
			for _, found := range append(s.references, s.table.Find("r")) {
				must.False(t, found.TryBegin(s.now), must.Sprint("the replica has requested a pause for another ", s.pauseUntil-s.now))
			}
		}
	})
}
