package campaign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/shoenig/test/must"
)

// What replicas ask of proxies, in virtual time: proxies with the product's own tables send
// requests where the product's own board places them, over connections that take long to
// open; replicas pause, all at once or one by one, leave in silence, and are born again under
// their names; the list lags, leaders change, proxies restart. The oracle knows what was
// asked and what arrived, and nothing else.

const (
	holdProxies   = 5
	holdReplicas  = 6
	holdTime      = 60 * time.Second
	holdRequests  = 4 * time.Millisecond // between two of them, on average
	holdAllowed   = 2                    // requests after holdSlack in a pause
	holdSlack     = 500 * time.Millisecond
	holdDrain     = 3 * time.Second
	holdTravel    = 100 * time.Millisecond // at most, of a request and of an answer
	holdDial      = 2 * time.Second        // at most
	holdLag       = 2500 * time.Millisecond
	holdFaults    = 700 * time.Millisecond // between two of them, on average
	holdLongPause = 4 * time.Second
)

// holdWorld is one run.
type holdWorld struct {
	scheduler
	random   *rand.Rand
	board    *placement.Board
	proxies  []*holdProxy
	replicas []*holdReplica
	numbers  uint64
	counts   map[string]int
	broken   []string
}

type holdProxy struct {
	name  string
	table *holdoff.Table
	life  int
}

// holdReplica is a name and the process under it.
type holdReplica struct {
	name       string
	process    *holdProcess
	pausedTill time.Duration
	leaving    bool
}

// holdProcess is what the oracle knows of one process.
type holdProcess struct {
	born    int64
	pauses  map[string][]*holdPause  // by proxy and its life
	leaving map[string]time.Duration // when it was first told
}

type holdPause struct {
	from, till time.Duration
	arrived    int
}

func newHoldWorld(seed uint64) *holdWorld {
	w := &holdWorld{random: rand.New(rand.NewPCG(seed, 9)), counts: map[string]int{}}
	for i := range holdReplicas {
		replica := &holdReplica{name: fmt.Sprintf("r%d", i)}
		w.bear(replica)
		w.replicas = append(w.replicas, replica)
	}
	for i := range holdProxies {
		proxy := &holdProxy{name: fmt.Sprintf("p%d", i)}
		w.proxies = append(w.proxies, proxy)
		w.restart(proxy)
	}
	w.lead()
	return w
}

func (w *holdWorld) draw(most time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(most)))
}

func (w *holdWorld) wall() time.Time { return time.UnixMilli(1_700_000_000_000).Add(w.now) }

func (w *holdWorld) bear(replica *holdReplica) {
	replica.process = &holdProcess{born: w.wall().UnixMilli(), pauses: map[string][]*holdPause{}, leaving: map[string]time.Duration{}}
	replica.pausedTill, replica.leaving = 0, false
}

func (w *holdWorld) restart(proxy *holdProxy) {
	proxy.life++
	proxy.table = holdoff.NewTable(holdoff.Config{LeavingGrace: holdDrain / 2})
	w.follow()
}

func (w *holdWorld) lead() {
	w.board = placement.NewBoard()
	w.follow()
}

// follow has everybody see the list as it is now, without a word of who leaves.
func (w *holdWorld) follow() {
	var listed []placement.Replica
	for _, replica := range w.replicas {
		listed = append(listed, placement.Replica{Name: replica.name, Born: replica.process.born})
		for _, proxy := range w.proxies {
			proxy.table.ObserveListed(replica.name, holdoff.Process{Address: replica.name, Born: replica.process.born}, w.now)
		}
	}
	if w.board != nil {
		w.board.SetReplicas(placement.ServiceParameters{}, listed)
	}
}

func (w *holdWorld) request() {
	w.after(w.draw(2*holdRequests), w.request)
	proxy := w.proxies[w.random.IntN(len(w.proxies))]
	var excluded []string
	for _, replica := range w.replicas {
		if proxy.table.Find(replica.name).State(w.now) == holdoff.Closed {
			excluded = append(excluded, replica.name)
		}
	}
	w.numbers++
	key := placement.Key{Daemon: proxy.name, Number: w.numbers}
	answer := w.board.Place(w.now, key, placement.Request{PromptTokens: 100, Deadline: 2 * time.Second, Excluded: excluded})
	at := slices.IndexFunc(w.replicas, func(r *holdReplica) bool { return r.name == answer.Generator })
	if at < 0 {
		w.counts["placed nowhere"]++
		return
	}
	dial := time.Duration(0)
	if w.random.IntN(10) == 0 {
		dial = w.draw(holdDial)
	}
	life, sentAt := proxy.life, w.now
	w.after(dial, func() {
		w.board.RecordProgress(w.now, key, placement.ProgressReport{Step: placement.StepEnded})
		if proxy.life == life {
			w.write(proxy, w.replicas[at], sentAt)
		}
	})
}

// write sends the request if the proxy's table permits it by now.
func (w *holdWorld) write(proxy *holdProxy, replica *holdReplica, sentAt time.Duration) {
	if !proxy.table.Find(replica.name).TryBegin(w.now) {
		w.counts["withheld"]++
		return
	}
	life := fmt.Sprintf("%s.%d", proxy.name, proxy.life)
	w.after(w.draw(holdTravel), func() { w.arrive(proxy, life, replica, sentAt) })
}

func (w *holdWorld) arrive(proxy *holdProxy, life string, replica *holdReplica, sentAt time.Duration) {
	w.counts["arrived"]++
	process := replica.process
	for _, pause := range process.pauses[life] {
		if w.now < pause.from+holdSlack || w.now >= pause.till {
			continue
		}
		if pause.arrived++; pause.arrived > holdAllowed {
			w.broken = append(w.broken, fmt.Sprintf("%v: %s asked %s for a pause from %v to %v, and got %d", w.now, replica.name, life, pause.from, pause.till, pause.arrived))
		}
	}
	if told, leaves := process.leaving[life]; leaves && sentAt > told+holdDrain {
		w.broken = append(w.broken, fmt.Sprintf("%v: %s had told %s at %v that it leaves, and got a request of %v", w.now, replica.name, life, told, sentAt))
	}
	restrictions := holdoff.Restrictions{Leaving: replica.leaving}
	if left := replica.pausedTill - w.now; left > 0 {
		restrictions.RetryAfter = left
		process.pauses[life] = append(process.pauses[life], &holdPause{from: w.now, till: w.now + left})
		w.counts["asked for a pause"]++
	}
	w.after(w.draw(holdTravel), func() { w.hear(proxy, life, replica.name, process, restrictions) })
}

func (w *holdWorld) hear(proxy *holdProxy, life, name string, process *holdProcess, restrictions holdoff.Restrictions) {
	if life != fmt.Sprintf("%s.%d", proxy.name, proxy.life) {
		return // it has restarted
	}
	if _, told := process.leaving[life]; restrictions.Leaving && !told {
		process.leaving[life] = w.now
		w.counts["told that it leaves"]++
	}
	if proxy.table.Find(name).Apply(w.now, w.wall(), restrictions) {
		w.board.RecordProgress(w.now, placement.Key{Daemon: proxy.name}, placement.ProgressReport{Step: placement.StepLeaving, Replica: name})
	}
}

// fault strikes, and the next one follows.
func (w *holdWorld) fault() {
	w.after(w.draw(2*holdFaults), w.fault)
	replica := w.replicas[w.random.IntN(len(w.replicas))]
	switch w.random.IntN(7) {
	case 0, 1:
		replica.pausedTill = w.now + w.draw(holdLongPause)
	case 2:
		till := w.now + w.draw(holdLongPause)
		for _, each := range w.replicas {
			each.pausedTill = till
		}
	case 3:
		replica.leaving = true
		w.after(holdDrain+w.draw(4*holdDrain), func() { w.bear(replica) })
	case 4:
		w.bear(replica)
	case 5:
		w.restart(w.proxies[w.random.IntN(len(w.proxies))])
	case 6:
		w.lead()
	}
	w.after(w.draw(holdLag), w.follow)
}

func playHoldOffs(seed uint64) *holdWorld {
	w := newHoldWorld(seed)
	w.request()
	w.fault()
	w.runUntil(holdTime)
	return w
}

func TestNothingIsSentWhereReplicasWantNothing(t *testing.T) {
	counts := map[string]int{}
	for seed := range uint64(testSeeds) {
		w := playHoldOffs(seed)
		for what, count := range w.counts {
			counts[what] += count
		}
		if len(w.broken) > 0 {
			t.Errorf("seed %d: %d broken, the first: %s", seed, len(w.broken), strings.Join(w.broken[:min(len(w.broken), 3)], "; "))
		}
	}
	t.Log(counts)
	for _, what := range []string{"arrived", "asked for a pause", "told that it leaves", "withheld", "placed nowhere"} {
		must.Positive(t, counts[what], must.Sprint(what))
	}
}
