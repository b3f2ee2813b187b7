package control

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/guard"
	"github.com/landingtrail/landingtrail/request/quarantine/parts"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/state"
	"github.com/landingtrail/landingtrail/version/view"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

var partCourses = flag.Int("parts.courses", 12, "courses of prompt parts that are played at each small size")

// Times of a course of prompt parts.
const (
	partCourseFor    = 24 * time.Second
	partFatalFrom    = 3 * time.Second
	partTouch        = 3 * time.Second // from the fifth crash until every proxy must know the part
	partReviewEvery  = 100 * time.Millisecond
	partLateAllowed  = 3
	partKnownCrashes = 5
	partDeadline     = 4 * time.Second
	partTrialWait    = time.Second           // for which a request waits while a part of it is on trial
	partTrialPoll    = 20 * time.Millisecond // between two checks in that time
)

// partCourse plays, in virtual time, proxies whose requests share prompt parts, one of which crashes each
// replica that begins to answer a request with it.
type partCourse struct {
	partScenario
	random  *rand.Rand
	now     time.Duration
	machine *state.Machine
	term    uint64
	index   uint64
	leader  *quarantineTracker
	leadsAt time.Duration // when the next leader begins, 0 while there is one
	reviews time.Duration // when the next review is due
	proxies []*partProxy
	running []*partReplica
	downs   []time.Duration // when replicas are back
	events  map[time.Duration][]func()
	names   int

	crashes      map[string]int           // by fatal part
	fifthAt      map[string]time.Duration // of those with so many crashes
	late         map[string]int           // sends later than partTouch after the fifth crash, by proxies in touch
	anyLate      int                      // the same by all proxies
	unsteadyAt   time.Duration            // when the last leader was lost
	soundRefused int                      // by a hold or a trial of a part
	soundLater   int                      // sound requests from twice partTouch after the fifth crash
	soundBegun   int                      // of these, begun at the first attempt
	heldAt       time.Duration
	held         map[string]bool // parts that were held
	history      []string        // what happened
	// reports counts the reports to the leader, reportedParts the parts in them.
	reports, reportedParts int
}

// partScenario is what a course plays.
type partScenario struct {
	name                    string
	proxyCount, replicas    int
	soundRate, fatalRate    float64       // requests a second
	slow                    time.Duration // longest time from the send of a request until it is begun
	back                    time.Duration // longest time until a crashed replica is back
	otherCrashes            bool
	rack                    bool
	kills, newLeaders       bool
	killAll                 bool // proxies and leader, right after the fifth crash
	fatal                   []string
	callers                 int
	fatalFirst, withoutMore bool // the fatal part is the first one, or the only one
}

type partProxy struct {
	course *partCourse
	name   string
	guard  *guard.Guard
	born   time.Duration
}

type partReplica struct {
	name string
	runs []*partRun
	up   bool
}

type partRun struct {
	proxy   *partProxy
	guard   *guard.Guard
	request *partRequest
	replica *partReplica
	sentAt  time.Duration
	beganAt time.Duration
	events  int
	attempt int
}

// isOver reports whether the run has ended, with its replica or before.
func (r *partRun) isOver() bool { return !r.replica.up || !slices.Contains(r.replica.runs, r) }

// end ends the run with a whole answer.
func (r *partRun) end() {
	r.replica.runs = slices.DeleteFunc(slices.Clone(r.replica.runs), func(other *partRun) bool { return other == r })
}

type partRequest struct {
	parts  []string
	caller string
	fatal  string // the part that is fatal, empty for none
	bornAt time.Duration
}

func (p *partProxy) Connected() bool                     { return p.course.leadsAt == 0 }
func (p *partProxy) ReportCrashes(feed.CrashReport) bool { return true }
func (p *partProxy) ReportParts(report parts.Report) bool {
	if p.course.leadsAt > 0 {
		return false
	}
	p.course.countReport(report)
	delay := time.Duration(1+p.course.random.IntN(4)) * courseStep
	p.course.after(delay, func() { p.course.leader.addPartReport(report, p.course.now) })
	return true
}

// ClaimPartTrial asks the leader, if there is one.
func (p *partProxy) ClaimPartTrial(_ context.Context, claim parts.TrialClaim) (granted bool, err error) {
	if p.course.leadsAt > 0 {
		return false, feed.ErrNotCharged
	}
	return p.course.leader.claimPartTrial(claim, p.course.machine.View().Quarantines[claim.Part.String()], p.course.now), nil
}

func (p *partProxy) ReturnPartTrial(claim parts.TrialClaim) bool {
	p.course.leader.returnPartTrial(claim)
	return true
}

func (c *partCourse) countReport(report parts.Report) {
	c.reports++
	for _, crash := range report.Crashes {
		c.reportedParts += len(crash.Parts)
	}
	for _, start := range report.Starts {
		c.reportedParts += len(start.Parts)
	}
}

func newPartCourse(seed uint64, scenario partScenario) *partCourse {
	c := &partCourse{
		partScenario: scenario, random: rand.New(rand.NewPCG(seed, 11)), machine: state.New(), term: 1, leader: newQuarantineTracker(),
		events: map[time.Duration][]func(){}, held: map[string]bool{},
		crashes: map[string]int{}, fifthAt: map[string]time.Duration{}, late: map[string]int{}, unsteadyAt: -partTouch,
	}
	c.apply(state.Command{Kind: state.CommandReplaceIngress, ReplaceIngress: &state.ReplaceIngress{Spec: api.IngressSpec{Generation: 1}}})
	for i := range c.proxyCount {
		proxy := &partProxy{course: c, name: fmt.Sprintf("p-%03d", i)}
		c.startProxy(proxy)
		c.proxies = append(c.proxies, proxy)
	}
	var listed state.Observe
	for _, proxy := range c.proxies {
		listed.Put = append(listed.Put, api.Object{Proxy: &api.Proxy{Metadata: api.Metadata{Name: proxy.name}}})
	}
	c.apply(state.Command{Kind: state.CommandObserve, Observe: &listed})
	for range c.replicas {
		c.addReplica()
	}
	return c
}

func (c *partCourse) note(format string, values ...any) {
	c.history = append(c.history, fmt.Sprintf("%v ", c.now)+fmt.Sprintf(format, values...))
}

func (c *partCourse) wall() time.Time { return time.Unix(1_700_000_000, 0).Add(c.now) }

// after calls a function once a time has passed.
func (c *partCourse) after(delay time.Duration, call func()) {
	at := (c.now + max(delay, courseStep)).Truncate(courseStep)
	c.events[at] = append(c.events[at], call)
}

func (c *partCourse) apply(command state.Command) {
	c.index++
	c.machine.Apply(c.term, c.index, command)
	current := c.machine.View()
	for _, proxy := range c.proxies {
		c.deliver(proxy, current)
	}
}

// deliver lets a proxy follow a view once it has arrived there: the more proxies, the later.
func (c *partCourse) deliver(proxy *partProxy, current *view.View) {
	delay := 40*time.Millisecond + time.Duration(c.random.Int64N(int64(time.Duration(1+c.proxyCount)*time.Millisecond)))
	to := proxy.guard
	c.after(delay, func() { to.Follow(current, c.now) })
}

// startProxy starts a new process of a proxy, which has the record before its first send.
func (c *partCourse) startProxy(proxy *partProxy) {
	proxy.guard, proxy.born = guard.New(proxy.name), c.now
	proxy.guard.SetReporter(proxy)
	proxy.guard.SetTrialGranter(proxy)
	proxy.guard.Follow(c.machine.View(), c.now)
}

func (c *partCourse) addReplica() {
	c.names++
	c.running = append(c.running, &partReplica{name: fmt.Sprint("r-", c.names), up: true})
}

func (c *partCourse) play() {
	faultAt := partFatalFrom
	sound, fatal := 0.0, 0.0
	for ; c.now < partCourseFor; c.now += courseStep {
		for _, call := range c.events[c.now] {
			call()
		}
		delete(c.events, c.now)
		c.lead()
		c.restoreReplicas()
		if c.now >= faultAt {
			c.strike()
			faultAt += 500*time.Millisecond + time.Duration(c.random.Int64N(int64(2*time.Second)))
		}
		for sound += c.soundRate * courseStep.Seconds(); sound >= 1; sound-- {
			c.send(c.soundRequest(), 1)
		}
		if c.now < partFatalFrom {
			continue
		}
		for fatal += c.fatalRate * courseStep.Seconds(); fatal >= 1; fatal-- {
			c.send(c.fatalRequest(), 1)
		}
	}
}

func (c *partCourse) zipf(prefix string, count int) string {
	value := c.random.Float64()
	return fmt.Sprint(prefix, int(float64(count)*value*value*value))
}

func (c *partCourse) caller() string { return fmt.Sprint("caller-", c.random.IntN(max(c.callers, 1))) }

func (c *partCourse) soundRequest() *partRequest {
	return &partRequest{parts: []string{c.zipf("first-", 5), c.zipf("second-", 300), c.zipf("third-", 3000)}, caller: c.caller(), bornAt: c.now}
}

func (c *partCourse) fatalRequest() *partRequest {
	fatal := c.fatal[c.random.IntN(len(c.fatal))]
	request := &partRequest{parts: []string{c.zipf("first-", 5), fatal, c.zipf("third-", 3000)}, caller: c.caller(), fatal: fatal, bornAt: c.now}
	if c.fatalFirst {
		request.parts[0], request.parts[1] = request.parts[1], request.parts[0]
	}
	if c.withoutMore {
		request.parts = []string{fatal}
	}
	return request
}

func (r *partRequest) run() parts.Run {
	run := parts.Run{Service: "s", Caller: parts.CallerKey(r.caller)}
	for _, id := range r.parts {
		run.Parts = append(run.Parts, parts.KeyOf("s", "m", id))
	}
	return run
}

// send sends a request through a proxy, unless the proxy holds it.
func (c *partCourse) send(request *partRequest, attempt int) {
	proxy := c.proxies[c.random.IntN(len(c.proxies))]
	c.sendFrom(proxy, request, attempt)
}

func (c *partCourse) sendFrom(proxy *partProxy, request *partRequest, attempt int) {
	isLater := request.fatal == "" && attempt == 1 && (c.isInTouch(proxy) || c.heldAt > 0) && c.isDecided(c.now-2*partTouch)
	if isLater {
		c.soundLater++
	}
	c.sendUnlessHeld(proxy, request, attempt, isLater, c.now+partTrialWait)
}

// isInTouch reports whether a proxy has run beside a steady group for partTouch.
func (c *partCourse) isInTouch(proxy *partProxy) bool {
	return c.now >= max(proxy.born, c.unsteadyAt)+partTouch
}

// sendUnlessHeld sends a request, or refuses it. While a part of it is on trial it waits until the given time, as
// the ingress does.
func (c *partCourse) sendUnlessHeld(proxy *partProxy, request *partRequest, attempt int, isLater bool, until time.Duration) {
	hold, held := guard.Hold{}, false
	if proxy.guard.PartsActive() {
		hold, held = proxy.guard.CheckParts(c.now, c.wall(), request.run(), request, attempt > 1)
	}
	if held && hold.Basis == guard.BasisPartTrial && attempt == 1 && proxy.guard.ClaimPartTrial(context.Background(), c.now, request.run(), request) {
		hold, held = proxy.guard.CheckParts(c.now, c.wall(), request.run(), request, attempt > 1)
	}
	switch {
	case held && hold.Basis == guard.BasisPartTrial && c.now < until:
		of := proxy.guard
		c.after(partTrialPoll, func() {
			if of == proxy.guard { // otherwise the proxy was killed
				c.sendUnlessHeld(proxy, request, attempt, isLater, until)
			}
		})
		return
	case held:
		if request.fatal == "" {
			c.soundRefused++
		}
		return
	}
	var up []*partReplica
	for range 4 {
		if candidate := c.running[c.random.IntN(len(c.running))]; candidate.up {
			up = append(up, candidate)
		}
	}
	if len(up) == 0 {
		proxy.guard.EndPartTrial(request.run(), request, false)
		return
	}
	run := &partRun{proxy: proxy, guard: proxy.guard, request: request, replica: up[0], sentAt: c.now, attempt: attempt}
	if fifthAt, found := c.fifthAt[request.fatal]; found && c.now >= fifthAt+partTouch {
		c.anyLate++
		if c.isInTouch(proxy) {
			c.late[request.fatal]++
			c.note("%s sends %v to %s", proxy.name, request.parts, run.replica.name)
		}
	}
	run.replica.runs = append(run.replica.runs, run)
	wait := 40*time.Millisecond + time.Duration(c.random.Int64N(int64(c.slow)))
	c.after(wait, func() { c.begin(run, isLater) })
}

// begin begins to answer a request.
func (c *partCourse) begin(run *partRun, isLater bool) {
	if run.isOver() {
		return
	}
	run.beganAt = c.now
	if run.request.fatal != "" {
		c.after(80*time.Millisecond, func() { c.crash(run.replica) })
		return
	}
	if isLater {
		c.soundBegun++
	}
	run.events = 1
	c.after(time.Duration(30+c.random.IntN(120))*time.Millisecond, func() {
		if run.isOver() {
			return
		}
		run.events = 2
		if run.guard.PartsActive() {
			run.guard.NotePartStart(c.now, parts.Start{Run: run.request.run(), Age: c.now - run.beganAt})
		}
	})
	c.after(time.Duration(300+c.random.IntN(1000))*time.Millisecond, func() {
		if !run.isOver() {
			run.end()
			run.guard.EndPartTrial(run.request.run(), run.request, false)
		}
	})
}

// crash ends a replica with all its runs, which their proxies notice.
func (c *partCourse) crash(replica *partReplica) {
	if !replica.up {
		return
	}
	replica.up = false
	fatal := map[string]bool{}
	for _, run := range replica.runs {
		if run.request.fatal != "" && run.beganAt > 0 {
			fatal[run.request.fatal] = true
		}
	}
	c.note("%s crashes under %v", replica.name, fatal)
	for part := range fatal {
		if c.crashes[part]++; c.crashes[part] == partKnownCrashes {
			c.fifthAt[part] = c.now
			if c.killAll {
				c.after(courseStep, c.killEverything)
			}
		}
	}
	brokenAt := c.now
	for _, run := range replica.runs {
		c.after(time.Duration(1+c.random.IntN(8))*courseStep, func() { c.noteBroken(run, brokenAt) })
	}
	c.downs = append(c.downs, c.now+c.back/4+time.Duration(c.random.Int64N(int64(c.back))))
}

// isDecided reports whether all fatal parts had caused the fifth crash by a time.
func (c *partCourse) isDecided(by time.Duration) bool {
	for _, part := range c.fatal {
		if fifthAt, found := c.fifthAt[part]; !found || fifthAt > by {
			return false
		}
	}
	return true
}

func (c *partCourse) noteBroken(run *partRun, brokenAt time.Duration) {
	if run.guard != run.proxy.guard {
		return // its proxy was killed
	}
	begun := run.events >= 2
	run.guard.NotePartCrash(c.now, parts.Crash{
		Run: run.request.run(), Replica: run.replica.name, UniqueName: true, Begun: begun, MayBeAlive: begun,
		RunTime: brokenAt - run.sentAt, Age: c.now - brokenAt,
	})
	if run.attempt == 1 && c.now < run.request.bornAt+partDeadline {
		c.sendFrom(run.proxy, run.request, 2)
	}
}

func (c *partCourse) restoreReplicas() {
	var left []time.Duration
	for _, backAt := range c.downs {
		if c.now < backAt {
			left = append(left, backAt)
			continue
		}
		for i, replica := range c.running {
			if !replica.up {
				c.names++
				c.running[i] = &partReplica{name: fmt.Sprint("r-", c.names), up: true}
				break
			}
		}
	}
	c.downs = left
}

// lead reviews the record, or begins the next leader's term once it is due.
func (c *partCourse) lead() {
	if c.leadsAt > 0 && c.now >= c.leadsAt {
		c.leadsAt = 0
		c.term++
		c.note("leader of term %d", c.term)
		for _, proxy := range c.proxies {
			proxy.guard.ReportAll(c.now)
		}
	}
	if c.leadsAt > 0 || c.now < c.reviews {
		return
	}
	c.reviews = c.now + partReviewEvery
	changes, _ := c.leader.review(c.term, c.machine.View(), c.now, c.wall())
	for _, object := range changes.Put {
		spec := object.Quarantine.Spec
		c.note("record %s %s %v, together %v", c.partOf(object.Quarantine.Name), spec.State, spec.Replicas, spec.Weak)
		if object.Quarantine.Spec.State == api.QuarantinePartHeld {
			c.held[c.partOf(object.Quarantine.Name)] = true
			if c.heldAt == 0 {
				c.heldAt = c.now
			}
		}
	}
	if len(changes.Put)+len(changes.Removed) > 0 {
		c.apply(state.Command{Kind: state.CommandObserve, Observe: &changes})
	}
}

// partOf returns the fatal part with the given key, or else the key.
func (c *partCourse) partOf(key string) string {
	for _, id := range c.fatal {
		if parts.KeyOf("s", "m", id).String() == key {
			return id
		}
	}
	return key
}

func (c *partCourse) strike() {
	if c.otherCrashes {
		c.crash(c.running[c.random.IntN(len(c.running))])
	}
	if c.rack && c.random.IntN(4) == 0 {
		first := c.random.IntN(len(c.running))
		for i := range len(c.running) / 4 {
			c.crash(c.running[(first+i)%len(c.running)])
		}
	}
	if c.kills && c.random.IntN(2) == 0 {
		for _, proxy := range c.proxies {
			if c.random.IntN(3) == 0 {
				c.startProxy(proxy)
			}
		}
	}
	if c.newLeaders && c.random.IntN(2) == 0 {
		c.loseLeader()
	}
}

func (c *partCourse) loseLeader() {
	c.unsteadyAt = c.now
	c.note("no leader")
	c.leader = newQuarantineTracker()
	c.leadsAt = c.now + 200*time.Millisecond + time.Duration(c.random.Int64N(int64(time.Second)))
}

// killEverything kills all proxies and members; only the record is left.
func (c *partCourse) killEverything() {
	c.loseLeader()
	for _, proxy := range c.proxies {
		c.startProxy(proxy)
	}
}

// partScenarios returns what is played at each size.
func partScenarios() []partScenario {
	small := partScenario{name: "small", proxyCount: 3, replicas: 6, soundRate: 65, fatalRate: 25, slow: 100 * time.Millisecond, back: 800 * time.Millisecond, fatal: []string{"fatal"}}
	slow := small
	slow.name, slow.slow, slow.back = "slow", 1500*time.Millisecond, 5*time.Second
	middle := small
	middle.name, middle.proxyCount, middle.replicas, middle.soundRate, middle.fatalRate = "80 proxies", 80, 140, 700, 40
	large := small
	large.name, large.proxyCount, large.replicas, large.soundRate, large.fatalRate = "300 proxies", 300, 1000, 2500, 60
	var all []partScenario
	for _, size := range []partScenario{small, slow, middle, large} {
		calm, disturbed := size, size
		disturbed.name += ", crashes, racks, kills and new leaders"
		disturbed.otherCrashes, disturbed.rack, disturbed.kills, disturbed.newLeaders = true, true, true, true
		killed := size
		killed.name += ", all killed after the fifth"
		killed.killAll = true
		all = append(all, calm, disturbed, killed)
	}
	two := small
	two.name, two.fatal = "two fatal parts", []string{"fatal", "fatal-too"}
	first := small
	first.name, first.fatalFirst = "first part fatal", true
	only := small
	only.name, only.withoutMore = "only part", true
	tenants := middle
	tenants.name, tenants.callers = "80 callers", 80
	return append(all, two, first, only, tenants)
}

// Guards against a prompt part that crashes replicas in requests of which no two are alike, at any size,
// through kills, new leaders and crashes of other causes, and against sound parts that are held.
func TestPartsThatCrashReplicasAreHeldThroughFaults(t *testing.T) {
	for _, scenario := range partScenarios() {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			count := *partCourses
			if scenario.proxyCount > 3 {
				count = max(1, *partCourses/6)
			}
			worst, refused, begun, later, heldSound, anyLate, reports, reportedParts := 0, 0, 0, 0, 0, 0, 0, 0
			var longest time.Duration
			for seed := range uint64(count) {
				c := newPartCourse(seed, scenario)
				c.play()
				must.MapNotEmpty(t, c.crashes, must.Sprintf("seed %d", seed))
				for part, late := range c.late {
					test.LessEq(t, partLateAllowed, late, test.Sprintf("seed %d: late sends of %s, %d crashed", seed, part, c.crashes[part]))
					worst = max(worst, late)
				}
				if c.soundLater >= 20 {
					test.GreaterEq(t, c.soundLater/2, c.soundBegun, test.Sprintf("seed %d: sound requests begun of %d", seed, c.soundLater))
				}
				anyLate, refused, begun, later = anyLate+c.anyLate, refused+c.soundRefused, begun+c.soundBegun, later+c.soundLater
				reports, reportedParts = max(reports, c.reports), max(reportedParts, c.reportedParts)
				if len(c.held) > len(scenario.fatal) {
					heldSound++
				}
				if t.Failed() {
					t.Log(strings.Join(c.history, "\n"))
					return
				}
				if fifthAt, found := c.fifthAt[scenario.fatal[0]]; found && c.heldAt > 0 {
					longest = max(longest, c.heldAt-fifthAt)
				}
			}
			t.Logf("%d courses: at most %d late sends (%d by proxies in touch or not); held at most %v after the fifth; sound: %d refused, %d of %d begun later; %d courses held a sound part; at most %d reports with %d parts",
				count, worst, anyLate, longest, refused, begun, later, heldSound, reports, reportedParts)
		})
	}
}
