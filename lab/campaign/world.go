package campaign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/landingtrail/landingtrail/process/raft"
	"github.com/landingtrail/landingtrail/request/router"
	"github.com/landingtrail/landingtrail/version/api"
)

const (
	memberCount = 3
	proxyCount  = 3
	relayCount  = 2
	engineCount = 9

	// warmUp is when the first fault may strike, faultsEnd when the last may,
	// runEnd when everything must have recovered.
	warmUp       = 22 * time.Second
	faultsEnd    = 70 * time.Second
	loadEnd      = 75 * time.Second
	runEnd       = 220 * time.Second
	meanFaultGap = 2500 * time.Millisecond
	// disturbance is how long after a fault a request may still suffer from it.
	disturbance = 15 * time.Second

	clockDrift       = 200e-6
	wallClockOrigin  = 1_700_000_000_000 // milliseconds
	wallClockSkew    = 3 * time.Second
	decimalPortStart = 20000
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// world is one simulated deployment.
type world struct {
	scheduler
	seed         uint64
	random       *rand.Rand
	network      *network
	oracle       *oracle
	members      []*member
	relays       []*relayHost // of every other seed
	proxies      []*proxyHost
	engines      []*engineHost
	engineIndex  map[string]*engineHost
	operatorHost *process
	operators    *operators
	replaced     map[raft.MemberID]*member // lost identities and who bears their names now
	counts       map[string]int
	names        int
	lastPaused   map[*proxyHost]time.Duration
	disturbedAt  time.Duration // end of the last fault
	sentOrders   []sentOrder
}

func newWorld(seed uint64) *world {
	w := &world{
		seed:        seed,
		random:      rand.New(rand.NewPCG(seed, 1)),
		engineIndex: map[string]*engineHost{},
		replaced:    map[raft.MemberID]*member{},
		counts:      map[string]int{},
		lastPaused:  map[*proxyHost]time.Duration{},
		disturbedAt: -disturbance,
	}
	w.network = newNetwork(w, rand.New(rand.NewPCG(seed, 2)))
	w.oracle = newOracle(w)
	operator := w.newProcess("operator")
	w.operatorHost = &operator
	w.operatorHost.start()
	for i := range engineCount {
		host := newEngineHost(w, fmt.Sprintf("engine-%d", i), zones[i%len(zones)])
		w.engines = append(w.engines, host)
		w.engineIndex[host.name] = host
	}
	w.foundMembers()
	w.startRelays()
	for i := range proxyCount {
		p := &proxyHost{process: w.newProcess(fmt.Sprintf("proxy-%d", i)), zone: zones[i], router: router.New(router.Config{}), target: i % relayCount}
		p.random = rand.New(rand.NewPCG(seed, uint64(100+i)))
		p.boot()
		w.proxies = append(w.proxies, p)
	}
	return w
}

// startRelays puts relays between the members and the proxies of odd seeds;
// those of even seeds follow the members themselves.
func (w *world) startRelays() {
	if w.seed%2 == 0 {
		return
	}
	for i := range relayCount {
		relay := &relayHost{process: w.newProcess(fmt.Sprintf("relay-%d", i))}
		relay.boot()
		w.relays = append(w.relays, relay)
	}
}

func (w *world) relayed() bool { return len(w.relays) > 0 }

func (w *world) foundMembers() {
	var founding raft.Configuration
	for i := range memberCount {
		founding.Voters = append(founding.Voters, raft.MemberID(i+1))
	}
	for i := range memberCount {
		m := &member{
			process:  w.newProcess(fmt.Sprintf("control-%d", i)),
			id:       raft.MemberID(i + 1),
			disk:     &disk{},
			random:   rand.New(rand.NewPCG(w.seed, uint64(200+i))),
			founding: founding,
		}
		w.members = append(w.members, m)
	}
	for _, m := range w.members {
		m.boot()
		w.leadForever(m)
	}
}

// leadForever runs the leader's duties while the process is up, over all its starts.
func (w *world) leadForever(m *member) {
	w.after(reconcileInterval, func() {
		if m.up && m.pausedUntil <= w.now {
			m.lead()
		}
		w.leadForever(m)
	})
}

func (w *world) newProcess(name string) process {
	return process{
		world:  w,
		name:   name,
		rate:   1 + clockDrift*(2*w.random.Float64()-1),
		origin: time.Duration(w.random.Int64N(int64(time.Hour))),
	}
}

// wallClock is a member's wall clock in milliseconds; wall clocks differ by seconds.
func (w *world) wallClock(p *process) int64 {
	skew := time.Duration(checksum([]byte(p.name)) % uint64(wallClockSkew))
	return wallClockOrigin + (w.now + skew).Milliseconds()
}

func (w *world) strike(kind string) { w.counts[kind]++ }

func (w *world) freshName(base string) string {
	w.names++
	return fmt.Sprintf("%s-%d", base, w.names)
}

func (w *world) addressOf(engine string) string {
	index := slices.IndexFunc(w.engines, func(h *engineHost) bool { return h.name == engine })
	return fmt.Sprintf("127.0.0.1:%d", decimalPortStart+index)
}

func (w *world) engineByName(name string) *engineHost { return w.engineIndex[name] }

func (w *world) memberByID(id raft.MemberID) *member {
	for _, m := range w.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// indexOf returns the member's index, or noHint.
func (w *world) indexOf(id raft.MemberID) int {
	return slices.IndexFunc(w.members, func(m *member) bool { return m.id == id })
}

func (w *world) leader() *member {
	for _, m := range w.members {
		if m.pausedUntil <= w.now && m.leads() {
			return m
		}
	}
	return nil
}

func (w *world) replacementOf(id raft.MemberID) *member { return w.replaced[id] }

func (w *world) platformList() []string {
	var leaving []string
	for _, h := range w.engines {
		if h.leaving {
			leaving = append(leaving, h.name)
		}
	}
	return leaving
}

// disturb notes a fault that lasts for the given time.
func (w *world) disturb(length time.Duration) {
	w.disturbedAt = max(w.disturbedAt, w.now+length)
}

// disturbed reports whether a fault could still bear on a request that began then.
func (w *world) disturbed(since time.Duration) bool { return since <= w.disturbedAt+disturbance }

func (w *world) wasPaused(p *proxyHost, since time.Duration) bool {
	until, paused := w.lastPaused[p]
	return paused && until >= since
}

// run plays the schedule and checks the rules.
func (w *world) run(faults []Fault) {
	w.operators = &operators{world: w, random: rand.New(rand.NewPCG(w.seed, 3))}
	w.after(3*time.Second, func() {
		w.submit(api.Transaction{OperationID: "found", Writes: w.objects(), AllowBroad: true}, 0, func(api.TransactionResult) {})
	})
	w.after(warmUp/2, func() {
		w.operators.start(loadEnd)
		made := &callers{world: w, random: rand.New(rand.NewPCG(w.seed, 4))}
		made.start(loadEnd)
	})
	for _, fault := range faults {
		w.after(fault.At, func() { w.inject(fault) })
	}
	w.runUntil(runEnd)
	w.oracle.finish()
}
