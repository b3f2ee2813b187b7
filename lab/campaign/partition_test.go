package campaign

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/request/reach"
	"github.com/shoenig/test/must"
)

// Times of the model: of a request, of a failed send on reset links, from a failure to the result of the new
// connections that follow it, and between two rounds of these while partitioned.
const (
	partitionServed  = 40 * time.Millisecond
	partitionBroken  = 2 * time.Millisecond
	partitionRound   = 12 * time.Millisecond
	partitionRetried = 200 * time.Millisecond
	partitionPlayed  = 30 * time.Second
)

// partitionModel plays proxies, the leader's board and replicas in virtual time. Proxies decide by a reach.Tracker
// whether a failure is the replica's, and report only such failures.
type partitionModel struct {
	random  *rand.Rand
	now     time.Duration
	events  timedEvents
	board   *placement.Board
	proxies []*modelProxy
	number  uint64
	down    map[string]bool // replicas that have failed for everybody
}

// modelProxy is one proxy.
type modelProxy struct {
	name    string
	tracker *reach.Tracker
	cut     bool
	cutAt   time.Duration // when the last change of cut was
	// served and made count the requests that arrived while it was not cut, a second after the last change.
	served, made int
}

// timedEvent is something that happens at a time.
type timedEvent struct {
	at     time.Duration
	number uint64
	do     func()
}

// timedEvents is a heap of events, the earliest first.
type timedEvents []timedEvent

func (e timedEvents) Len() int      { return len(e) }
func (e timedEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *timedEvents) Push(x any)   { *e = append(*e, x.(timedEvent)) }

func (e timedEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}

func (e *timedEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newPartitionModel(proxies, replicas int, seed uint64) *partitionModel {
	m := &partitionModel{random: rand.New(rand.NewPCG(seed, uint64(proxies))), board: placement.NewBoard(), down: map[string]bool{}}
	var entries []placement.Replica
	for i := range replicas {
		entries = append(entries, placement.Replica{Name: fmt.Sprintf("r-%03d", i), Zone: "a", Slots: 64})
	}
	m.board.SetReplicas(placement.ServiceParameters{}, entries)
	for i := range proxies {
		m.proxies = append(m.proxies, &modelProxy{name: fmt.Sprintf("p-%03d", i), tracker: reach.NewTracker()})
	}
	return m
}

func (m *partitionModel) after(pause time.Duration, do func()) {
	m.number++
	heap.Push(&m.events, timedEvent{at: m.now + pause, number: m.number, do: do})
}

// play runs all events until the given time.
func (m *partitionModel) play(until time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= until {
		next := heap.Pop(&m.events).(timedEvent)
		m.now = next.at
		next.do()
	}
	m.now = until
}

// arrive sends a request through a random proxy that the directory names, and the next one after it.
func (m *partitionModel) arrive(interval time.Duration) {
	m.after(interval, func() { m.arrive(interval) })
	proxy := m.proxies[m.random.IntN(len(m.proxies))]
	if proxy.tracker.State() == reach.Partitioned {
		return // refused at once; callers go elsewhere
	}
	judged := !proxy.cut && m.now-proxy.cutAt > time.Second
	if judged {
		proxy.made++
	}
	m.number++
	key := placement.Key{Daemon: proxy.name, Number: m.number}
	answer := m.board.Place(m.now, key, placement.Request{PromptTokens: 500, Zone: "a", Objective: 500 * time.Millisecond, Deadline: 5 * time.Second})
	if answer.Generator == "" {
		return
	}
	if proxy.cut || m.down[answer.Generator] {
		m.after(partitionBroken, func() { m.fail(proxy, key, answer.Generator) })
		return
	}
	if judged {
		proxy.served++
	}
	m.after(partitionServed, func() {
		proxy.tracker.RecordData(m.now)
		m.board.RecordProgress(m.now, key, placement.ProgressReport{Step: placement.StepStarted})
		m.board.RecordProgress(m.now, key, placement.ProgressReport{Step: placement.StepEnded})
	})
}

// fail ends a request whose replica gave no response, and reports whose fault it was once that is known.
func (m *partitionModel) fail(proxy *modelProxy, key placement.Key, replica string) {
	proxy.tracker.RecordFailure(m.now, reach.NoConnection)
	began := m.now
	m.after(partitionRound, func() {
		if proxy.tracker.State() == reach.Uncertain {
			m.endRound(proxy, began)
		}
		report := placement.ProgressReport{Step: placement.StepUnreachable, Replica: replica}
		if proxy.tracker.State() == reach.Partitioned {
			report = placement.ProgressReport{Step: placement.StepEnded}
		}
		m.board.RecordProgress(m.now, key, report)
	})
}

// endRound records the result of new connections to several replicas.
func (m *partitionModel) endRound(proxy *modelProxy, began time.Duration) {
	if !proxy.cut { // at most one replica has failed for everybody
		proxy.tracker.RecordConnection(m.now, m.now)
		return
	}
	if proxy.tracker.RecordFailedRound(m.now, began) {
		m.retry(proxy)
	}
}

func (m *partitionModel) retry(proxy *modelProxy) {
	m.after(partitionRetried, func() {
		if !proxy.cut {
			proxy.tracker.RecordConnection(m.now, m.now)
			return
		}
		m.retry(proxy)
	})
}

// cut partitions a share of the proxies or, with false, ends that for all.
func (m *partitionModel) cut(share float64) {
	order := m.random.Perm(len(m.proxies))
	for i, index := range order {
		proxy := m.proxies[index]
		if cut := float64(i) < share*float64(len(order)); cut != proxy.cut {
			proxy.cut, proxy.cutAt = cut, m.now
		}
	}
}

// Guards against partitioned proxies, single ones or nearly all, whose reports keep the others off sound replicas,
// through partitions that follow each other and replicas that fail meanwhile.
func TestPartitionedProxiesTakeNoReplicaFromTheOthers(t *testing.T) {
	for _, proxies := range []int{3, 30, 300} {
		t.Run(fmt.Sprint(proxies), func(t *testing.T) {
			for seed := range uint64(6) {
				m := newPartitionModel(proxies, 9, seed)
				m.arrive(time.Second / time.Duration(100+proxies))
				m.play(2 * time.Second)
				for m.now < partitionPlayed {
					m.cut([]float64{0, 1 / float64(proxies), 0.34, 0.67}[m.random.IntN(4)])
					if failed := fmt.Sprintf("r-%03d", m.random.IntN(9)); m.random.IntN(3) == 0 {
						m.down = map[string]bool{failed: true}
					} else {
						clear(m.down)
					}
					m.play(m.now + time.Duration(1000+m.random.IntN(4000))*time.Millisecond)
				}
				made, served := 0, 0
				for _, proxy := range m.proxies {
					made, served = made+proxy.made, served+proxy.served
				}
				must.Greater(t, 500, made)
				must.GreaterEq(t, 0.95*float64(made), float64(served), must.Sprint("seed ", seed))
			}
		})
	}
}
