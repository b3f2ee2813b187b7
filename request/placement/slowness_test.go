package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// slowReads plays reads, each after the last, of which each reader takes its own time for
// a token, and returns how many of the last hundred each was given.
func slowReads(b *Board, from time.Duration, count int, perToken map[string]time.Duration) (time.Duration, map[string]int) {
	now, given := from, map[string]int{}
	busy := map[string]time.Duration{}
	type reading struct {
		number uint64
		reader string
		until  time.Duration
	}
	var under []reading
	for i := range count {
		now += 60 * ms
		for len(under) > 0 {
			next := 0
			for j := range under {
				if under[j].until < under[next].until {
					next = j
				}
			}
			if under[next].until > now {
				break
			}
			b.Note(under[next].until, key(under[next].number), Note{Step: StepRead})
			b.Note(under[next].until, key(under[next].number), Note{Step: StepEnded})
			under = append(under[:next], under[next+1:]...)
		}
		asked := urgent(4_000, 0)
		asked.Deadline = time.Minute
		number := uint64(from/ms)*1_000 + uint64(i)
		answer := b.Place(now, key(number), asked)
		if answer.Reader == "" {
			b.Note(now, key(number), Note{Step: StepEnded})
			continue
		}
		if i >= count-100 {
			given[answer.Reader]++
		}
		busy[answer.Reader] = max(busy[answer.Reader], now+25*ms) + 4_000*perToken[answer.Reader]
		under = append(under, reading{number, answer.Reader, busy[answer.Reader]})
	}
	for _, left := range under {
		b.Note(left.until, key(left.number), Note{Step: StepRead})
		b.Note(left.until, key(left.number), Note{Step: StepEnded})
		now = max(now, left.until)
	}
	return now, given
}

// A replica that takes three times as long gets less to read, and as much as the other
// one again once it has recovered.
func TestSlowReplicaGetsLess(t *testing.T) {
	b := newTestBoard()
	even := map[string]time.Duration{"read-1": 25 * time.Microsecond, "read-2": 25 * time.Microsecond}
	now, given := slowReads(b, 0, 200, even)
	must.Between(t, 40, given["read-1"], 60)
	now, given = slowReads(b, now, 200, map[string]time.Duration{"read-1": 75 * time.Microsecond, "read-2": 25 * time.Microsecond})
	must.Less(t, given["read-2"]/2, given["read-1"])
	must.Greater(t, 2*b.paceOf(now, b.replicas["read-2"]), b.paceOf(now, b.replicas["read-1"]))
	now, given = slowReads(b, now, 200, even)
	must.Less(t, 5*b.paceOf(now, b.replicas["read-2"])/4, b.paceOf(now, b.replicas["read-1"]))
	must.Between(t, 35, given["read-1"], 65)
}

// One read that waited for something else says little, and is forgotten.
func TestSlownessIsForgotten(t *testing.T) {
	var s slowness
	must.Eq(t, 1.0, s.factor(0))
	s.learn(0, time.Second, 100*ms)
	must.Between(t, 2.0, s.factor(0), mostSlowness)
	must.Between(t, 1.0, s.factor(5*slownessMemory), 1.1)
}
