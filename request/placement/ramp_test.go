package placement

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/rampup"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// rampFleet is a service in virtual time whose generators read the prompts themselves, one at a time, and then
// run the requests beside each other.
type rampFleet struct {
	board     *Board
	now       time.Duration
	events    rampEvents
	servers   map[string]*rampServer
	names     []string
	number    uint64
	order     int
	refused   int // requests that the board refused or placed nowhere
	failed    int
	proxyZone string
	deadline  time.Duration
	fixed     time.Duration // of a read
}

// rampServer is a replica of a rampFleet.
type rampServer struct {
	name     string
	behavior rampBehavior
	// readUntil is when the prompts placed there will have been read.
	readUntil time.Duration
	inFlight  int
	most      int // largest inFlight
	placed    []time.Duration
	firstGood time.Duration // first token reported; 0 for none
}

// rampBehavior is how a replica answers.
type rampBehavior uint8

const (
	rampHealthy  rampBehavior = iota
	rampSilent                // gives no answer
	rampSlow                  // takes ten times as long
	rampRefusing              // refuses each request
)

const (
	rampSlots      = 16
	rampPrompt     = 200                    // tokens
	rampRead       = 10 * time.Millisecond  // time in which a replica reads a prompt
	rampFixed      = 60 * time.Millisecond  // time of a read besides
	rampGeneration = 100 * time.Millisecond // time from the first token to the end
	rampTimeout    = 1200 * time.Millisecond
)

type rampEvent struct {
	at    time.Duration
	order int
	do    func()
}

type rampEvents []rampEvent

func (e rampEvents) Len() int { return len(e) }
func (e rampEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e rampEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *rampEvents) Push(x any)   { *e = append(*e, x.(rampEvent)) }
func (e *rampEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newRampFleet(replicas int) *rampFleet {
	f := &rampFleet{board: NewBoard(), servers: map[string]*rampServer{}, proxyZone: "a", deadline: 6 * time.Second, fixed: rampFixed}
	var entries []Replica
	for i := range replicas {
		name := fmt.Sprintf("replica-%03d", i)
		f.names = append(f.names, name)
		f.servers[name] = &rampServer{name: name}
		entries = append(entries, f.entry(name, 1))
	}
	f.board.SetReplicas(ServiceParameters{KVTokens: 400_000, BytesPerToken: 18_432, LinkMbps: 370_000}, entries)
	return f
}

func (f *rampFleet) entry(name string, born int64) Replica {
	return Replica{Name: name, Zone: "a", Role: RoleDecode, Slots: rampSlots, Born: born}
}

func (f *rampFleet) at(when time.Duration, do func()) {
	f.order++
	heap.Push(&f.events, rampEvent{at: when, order: f.order, do: do})
}

// run executes events until the given time, with requests at the given share of what all replicas but the given
// number can serve.
func (f *rampFleet) run(until time.Duration, load float64, without int) {
	perSecond := load * float64(len(f.names)-without) / rampRead.Seconds()
	pause := time.Duration(float64(time.Second) / perSecond)
	for next := f.now; next < until; next += pause {
		f.at(next, f.place)
	}
	for f.events.Len() > 0 && f.events[0].at < until {
		event := heap.Pop(&f.events).(rampEvent)
		f.now = event.at
		event.do()
	}
	f.now = until
}

// restart replaces a replica by a new process that behaves as given.
func (f *rampFleet) restart(name string, behavior rampBehavior) *rampServer {
	f.servers[name] = &rampServer{name: name, behavior: behavior}
	f.board.Put(f.entry(name, int64(f.now)+2))
	return f.servers[name]
}

func (f *rampFleet) place() {
	f.number++
	number := f.number
	answer := f.board.Place(f.now, key(number), Request{PromptTokens: rampPrompt, Zone: f.proxyZone, Deadline: f.deadline})
	if answer.Generator == "" {
		f.refused++
		return
	}
	server := f.servers[answer.Generator]
	server.inFlight++
	server.most = max(server.most, server.inFlight)
	server.placed = append(server.placed, f.now)
	report := func(step Step) {
		f.board.RecordProgress(f.now, key(number), ProgressReport{Step: step, Replica: server.name, ReportedSlowness: 1})
	}
	end := func(step Step) func() {
		return func() {
			server.inFlight--
			if step != StepEnded {
				f.failed++
			}
			report(step)
		}
	}
	read, fixed := rampRead, f.fixed
	switch server.behavior {
	case rampSilent:
		f.at(f.now+rampTimeout, end(StepFailed))
		return
	case rampRefusing:
		f.at(f.now+time.Millisecond, end(StepRefused))
		return
	case rampSlow:
		read, fixed = 10*read, 10*fixed
	}
	server.readUntil = max(server.readUntil, f.now) + read
	started := server.readUntil + fixed
	f.at(started, func() {
		if server.firstGood == 0 {
			server.firstGood = f.now
		}
		report(StepStarted)
	})
	f.at(started+rampGeneration, end(StepEnded))
}

// placedIn returns how many requests were placed on the replica in a period.
func (s *rampServer) placedIn(from, until time.Duration) int {
	count := 0
	for _, at := range s.placed {
		if at >= from && at < until {
			count++
		}
	}
	return count
}

// meanPlacedIn returns the mean of placedIn over the replicas, without the first few.
func (f *rampFleet) meanPlacedIn(from, until time.Duration, without int) float64 {
	total := 0
	for _, name := range f.names[without:] {
		total += f.servers[name].placedIn(from, until)
	}
	return float64(total) / float64(len(f.names)-without)
}

// Guards against a restarted replica that is left idle although it is healthy.
func TestHealthyReplicaReachesHalfOfItsShareWithinASecond(t *testing.T) {
	for _, load := range []float64{0.3, 0.5, 0.8, 0.95} {
		for _, replicas := range []int{3, 8, 90} {
			f := newRampFleet(replicas)
			f.run(3*time.Second, load, 0)
			server := f.restart(f.names[0], rampHealthy)
			f.run(6*time.Second, load, 0)
			must.Positive(t, server.firstGood)
			window := 200 * ms
			from := server.firstGood + time.Second - window
			share := float64(server.placedIn(from, from+window)) / f.meanPlacedIn(from, from+window, 1)
			t.Logf("%d replicas, load %.2f: first good answer after %v, share %.2f in the last 200 ms of the second after it", replicas, load, server.firstGood-3*time.Second, share)
			must.Greater(t, 0.5, share)
		}
	}
}

// Guards against a replica that appears idle, because it gives no answers or slow ones, and gets more requests than
// it has slots.
func TestUnhealthyReplicaHasNoMoreRequestsThanSlotsInItsFirstSecond(t *testing.T) {
	for _, behavior := range []rampBehavior{rampSilent, rampSlow, rampRefusing} {
		for _, load := range []float64{0.5, 0.95, 1.1} {
			f := newRampFleet(8)
			f.run(3*time.Second, load, 1)
			server := f.restart(f.names[0], behavior)
			f.run(4*time.Second, load, 1)
			t.Logf("behavior %d, load %.2f: at most %d in flight, %d placed", behavior, load, server.most, len(server.placed))
			must.LessEq(t, rampSlots, server.most)
		}
	}
}

// Guards against many replicas that return at once and, while they look idle, get all requests.
func TestReplicasThatReturnAtOnceDoNotStarveTheOthers(t *testing.T) {
	for _, behavior := range []rampBehavior{rampHealthy, rampSilent, rampSlow} {
		f := newRampFleet(90)
		const returning, load = 30, 0.6
		f.run(3*time.Second, load, returning)
		before := f.meanPlacedIn(2*time.Second, 3*time.Second, returning)
		failedBefore := f.failed
		for _, name := range f.names[:returning] {
			f.restart(name, behavior)
		}
		f.run(6*time.Second, load, returning)
		for from := 3 * time.Second; from < 6*time.Second; from += 200 * ms {
			share := f.meanPlacedIn(from, from+200*ms, returning) / (before / 5)
			t.Logf("behavior %d, from %v: others get %.2f of before", behavior, from, share)
			must.Greater(t, 0.5, share)
		}
		most := 0
		for _, name := range f.names[:returning] {
			most = max(most, f.servers[name].most)
		}
		t.Logf("behavior %d: at most %d in flight on a returned replica, %d requests failed, %d refused", behavior, most, f.failed-failedBefore, f.refused)
		must.LessEq(t, rampSlots, most)
		if behavior != rampHealthy {
			must.LessEq(t, 2, most, must.Sprint("the others have free slots"))
		}
	}
}

// Guards against a service whose only replica gets no requests because of its ramp.
func TestLastReplicaIsUsedBeyondItsRamp(t *testing.T) {
	f := newRampFleet(1)
	f.run(time.Second, 0.3, 0)
	server := f.restart(f.names[0], rampSilent)
	f.run(2*time.Second, 0.3, 0)
	must.Eq(t, 0, f.refused)
	must.GreaterEq(t, 30, len(server.placed))
	server.behavior = rampHealthy
	f.run(6*time.Second, 0.3, 0)
	must.Eq(t, 0, f.refused)
	must.False(t, f.board.replicas[server.name].ramp.IsActive())
}

// Guards against a change of leader that limits all replicas.
func TestReplicasOfTheFirstListHaveNoRamp(t *testing.T) {
	f := newRampFleet(4)
	f.run(time.Second, 0.5, 0)
	must.True(t, f.board.ReportsSlowness())
	must.Eq(t, 0, f.board.Summarize(f.now).Ramping)
	f.board.Put(f.entry("replica-new", 1))
	must.Eq(t, 1, f.board.Summarize(f.now).Ramping)
	changes, ramping := f.board.TakeRampChanges(f.now)
	must.Eq(t, 1, ramping)
	must.Eq(t, map[rampup.Reason]int{rampup.Started: 1}, changes.Begun)
	first := NewBoard()
	first.enableSpeedFactors()
	first.SetReplicas(testParameters, []Replica{f.entry("replica-first", 1)})
	must.Eq(t, 0, first.Summarize(0).Ramping)
}

// Guards against ramps in services whose replicas do not report their slowness.
func TestNoRampWithoutReportedSlowness(t *testing.T) {
	b := newTestBoard()
	b.Put(Replica{Name: "decode-3", Zone: "a", Role: RoleDecode, Slots: 64})
	placeAndFail(b, 0, 10*ms, 1, "decode-1")
	b.RecordProgress(20*ms, key(9), ProgressReport{Step: StepRefused, Replica: "decode-2"})
	must.Eq(t, 0, b.Summarize(20*ms).Ramping)
	must.Eq(t, maxSuspicion, b.maxSuspicion())
}

// Guards against a member that leads again after a while and limits all replicas that have started meanwhile.
func TestReplicasListedDuringAPauseHaveNoRamp(t *testing.T) {
	f := newRampFleet(4)
	f.run(time.Second, 0.5, 0)
	f.board.Put(f.entry(f.names[0], 7))
	must.Eq(t, 1, f.board.Summarize(f.now).Ramping)
	_, ramping := f.board.TakeRampChanges(f.now)
	must.Eq(t, 1, ramping)
	_, ramping = f.board.TakeRampChanges(f.now + maxRampPause + 1)
	must.Eq(t, 0, ramping, must.Sprint("another member places requests"))
	f.board.Place(f.now+maxRampPause+1, key(1_000_000), Request{PromptTokens: 10, Zone: "a", Deadline: time.Second})
	must.Eq(t, 0, f.board.Summarize(f.now).Ramping)
}

// Guards against a replica that has recovered from a crash under many requests, and is left idle since it has failed all
// of them, or since it is tried too rarely.
func TestReplicaRecoversFromASuspicion(t *testing.T) {
	for _, load := range []float64{0.1, 0.3, 0.5} { // at 0.5, 15 of 16 slots are in use
		for _, replicas := range []int{3, 8, 30} {
			f := newRampFleet(replicas)
			f.fixed = 200 * ms
			f.run(3*time.Second, load, 1)
			server := f.servers[f.names[0]]
			server.behavior = rampSilent
			f.run(21*time.Second, load, 1)
			must.Greater(t, 0.5, f.board.replicas[server.name].failureRate)
			f.board.replicas[server.name].failureRate = 0.99
			tried := server.placedIn(16*time.Second, 21*time.Second)
			must.LessEq(t, 5, tried, must.Sprint("requests lost in 5 s"))
			server.behavior, server.firstGood = rampHealthy, 0
			f.run(27*time.Second, load, 1)
			must.Positive(t, server.firstGood)
			window := 200 * ms
			from := server.firstGood + time.Second - window
			share := float64(server.placedIn(from, from+window)) / f.meanPlacedIn(from, from+window, 1)
			t.Logf("%d replicas, load %.2f: %d lost in 5 s, first good answer after %v, share %.2f", replicas, load, tried, server.firstGood-21*time.Second, share)
			must.Less(t, maxRampSuspicion+rampTimeout+time.Second, server.firstGood-21*time.Second)
			must.Greater(t, 0.5, share)
		}
	}
}

// Guards against a replica that loses one of many requests being left with one.
func TestReplicaThatLosesOneRequestKeepsItsWork(t *testing.T) {
	f := newRampFleet(8)
	f.run(3*time.Second, 0.6, 0)
	name := f.names[0]
	for p := range f.board.replicas[name].running {
		for key, other := range f.board.inFlight {
			if other == p {
				f.board.RecordProgress(f.now, key, ProgressReport{Step: StepFailed, Replica: name})
				break
			}
		}
		break
	}
	must.Eq(t, 1, f.board.Summarize(f.now).Ramping)
	before := f.now
	f.run(before+500*ms, 0.6, 0)
	share := float64(f.servers[name].placedIn(before, f.now)) / f.meanPlacedIn(before, f.now, 1)
	must.Greater(t, 0.8, share)
}

// Guards against a request that is refused since it is late on all replicas but one, whose ramp has reached its limit.
func TestNoRequestIsRefusedBecauseOfARamp(t *testing.T) {
	b := newTestBoard()
	b.enableSpeedFactors()
	b.readTimes[RoleDecode].samples, b.readTimes[RolePrefill].samples = trustedSamples, trustedSamples
	for _, name := range []string{"prefill-1", "prefill-2", "decode-1"} {
		busy := b.replicas[name]
		p := &placedRequest{request: newRequest("p", 0, 40_000), unreadTokens: 40_000, runningOn: busy}
		busy.enqueue(0, p)
		if busy.Role == RoleDecode {
			p.unreadTokens = 20_000
			busy.running[p] = struct{}{}
		}
		b.index.move(busy)
	}
	b.Remove("decode-2")
	b.Put(Replica{Name: "decode-2", Zone: "a", Role: RoleDecode, Slots: 8, Born: 3})
	must.True(t, b.replicas["decode-2"].ramp.IsActive())
	b.recordLateness(0, &Request{PromptTokens: 200}, true) // an overload, in which late requests are deferred or refused
	for number := range uint64(6) {
		request := Request{PromptTokens: 200, Zone: "a", Objective: 20 * ms, Deadline: 700 * ms}
		answer := b.Place(0, key(number), request)
		must.False(t, answer.Refused)
		must.Eq(t, "decode-2", answer.Generator)
	}
}

// Guards against readers that have restarted getting all prompts while they look idle, and against a role that is
// needed staying unused.
func TestRestartedReaderGetsPromptsByItsRamp(t *testing.T) {
	b := newTestBoard()
	b.enableSpeedFactors()
	b.Put(Replica{Name: "prefill-1", Zone: "a", Role: RolePrefill, Slots: 64, Born: 1})
	b.Put(Replica{Name: "prefill-1", Zone: "a", Role: RolePrefill, Slots: 64, Born: 2})
	must.True(t, b.replicas["prefill-1"].ramp.IsActive())
	count := map[string]int{}
	for number := range uint64(6) {
		count[b.Place(0, key(number), newRequest(fmt.Sprint(number), 0, 12_000)).Reader]++
	}
	must.Eq(t, 1, count["prefill-1"])
	for number := range uint64(6) {
		if p := b.inFlight[key(number)]; p.answer.Reader == "prefill-1" {
			b.RecordProgress(400*ms, key(number), ProgressReport{Step: StepRead})
		}
	}
	must.Eq(t, 2, b.replicas["prefill-1"].ramp.Allowed())
	b.Remove("prefill-2")
	answer := b.Place(500*ms, key(10), newRequest("q", 0, 12_000))
	must.Eq(t, "prefill-1", answer.Reader)
}

// Guards the invariant of the index in a service with ramps: a choice from the shortlist costs no more than one among all
// replicas, and the index ranks each replica by its present state.
func TestChoiceWithRampsEqualsChoiceAmongAllReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBoard()
		var entries []Replica
		for i := range 8 {
			entries = append(entries, Replica{Name: fmt.Sprint("r-", i), Zone: "a", Role: Role(i % 2), Slots: 4, Born: 1})
		}
		b.SetReplicas(testParameters, entries)
		b.enableSpeedFactors()
		now := time.Duration(0)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * ms
			name := fmt.Sprint("r-", rapid.IntRange(0, 7).Draw(t, "replica"))
			number := uint64(rapid.IntRange(0, step).Draw(t, "number"))
			switch rapid.IntRange(0, 5).Draw(t, "operation") {
			case 0, 1:
				request := newRequest("p", 0, rapid.IntRange(100, 12_000).Draw(t, "tokens"))
				candidates := b.candidates(now, &request)
				best, found := b.chooseNow(now, &request, candidates)
				all := candidateReplicas{prefixHolders: candidates.prefixHolders}
				for _, name := range b.names {
					switch r := b.replicas[name]; {
					case !b.isUsable(now, r, &request):
					case r.Role == RoleDecode:
						all.generators = append(all.generators, r)
					default:
						all.readers = append(all.readers, r)
					}
				}
				bestOfAll, foundOfAll := b.chooseNow(now, &request, all)
				must.Eq(t, foundOfAll, found)
				must.Eq(t, bestOfAll.cost, best.cost)
				b.Place(now, key(uint64(step)), request)
			case 2:
				b.RecordProgress(now, key(number), ProgressReport{Step: StepRead, ReportedSlowness: 1})
			case 3:
				b.RecordProgress(now, key(number), ProgressReport{Step: rapid.SampledFrom([]Step{StepStarted, StepEnded}).Draw(t, "step"), ReportedSlowness: 1})
			case 4:
				b.RecordProgress(now, key(number), ProgressReport{Step: rapid.SampledFrom([]Step{StepFailed, StepRefused, StepUnreachable, StepAnsweredError, StepMisdirected}).Draw(t, "failure"), Replica: name})
			case 5:
				entry := b.replicas[name].Replica
				entry.Born = int64(step + 2)
				b.Put(entry)
			}
			for _, r := range b.replicas {
				expected := &r.position.group.healthy
				if r.isImpaired() {
					expected = &r.position.group.impaired
				}
				must.True(t, r.position.ranking == expected)
				must.Eq(t, r.ramp.IsActive(), slices.Contains(b.ramps.active, r))
			}
		}
	})
}
