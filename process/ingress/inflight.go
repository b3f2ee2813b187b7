package ingress

import (
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
)

// What this proxy has in flight to replicas, wherever it was decided: the control group is
// told of each step, and a leader that has just begun is told of all of it.
//
// Invariant: whoever places takes these words in in the order in which the steps came
// about. So a step and its word are one under the table's lock, as are what is in flight
// and the report of it; a step taken in before a report that does not show it would count
// for nothing.

// placed is a request in flight that the control group is to be kept informed of.
type placed struct {
	ingress *Ingress
	service string
	number  uint64
	ask     placement.Ask
	answer  placement.Answer
	at      time.Duration
	step    placement.Step // 0 before the prompt is read; the table's lock guards it
}

// note tells the group how far the request has come; a nil placed tells nobody.
func (p *placed) note(step placement.Step, replica string, told int) {
	if p == nil {
		return
	}
	table := &p.ingress.inFlight
	table.lock.Lock()
	defer table.lock.Unlock()
	switch {
	case step == placement.StepRead || step == placement.StepStarted:
		p.step = step
	case replica != "" && replica == p.answer.Reader:
		p.answer.Reader = "" // it goes on at its generator
	default:
		delete(table.requests, p)
	}
	p.ingress.placer.NotePlaced(feed.PlaceNote{
		Service: p.service,
		Number:  p.number,
		Note:    placement.Note{Step: step, Replica: replica, Told: told},
	})
}

// track keeps a request among those in flight until it is noted as over.
func (s *session) track(ask placement.Ask, answer placement.Answer, number uint64) *placed {
	decided := &placed{
		ingress: s.ingress, service: s.upstream.service, number: number,
		ask: ask, answer: answer, at: s.ingress.now(),
	}
	s.ingress.inFlight.add(decided)
	return decided
}

// trackOwn does so for a plan that this proxy has made itself: a board that comes is to
// count it as well.
func (s *session) trackOwn(chosen *plan) {
	if s.ingress.placer == nil || chosen.target == nil {
		return
	}
	answer := placement.Answer{Generator: chosen.target.name, Unread: chosen.uncachedTokens, Estimate: chosen.estimate}
	if chosen.prefiller != nil {
		answer.Reader = chosen.prefiller.name
	}
	chosen.tracked = s.track(s.placementAsk(), answer, s.ingress.numbers.Add(1))
}

// inFlightTable holds the placed requests that are in flight. One lock is enough: it is
// held for a few steps of each request, and for a report when another board begins.
type inFlightTable struct {
	lock     sync.Mutex
	requests map[*placed]struct{}
}

func (t *inFlightTable) add(p *placed) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.requests == nil {
		t.requests = map[*placed]struct{}{}
	}
	t.requests[p] = struct{}{}
}

// byService adds what is in flight now to the services' messages; the lock is held.
func (t *inFlightTable) byService(all map[string]feed.InFlight, now time.Duration) {
	for p := range t.requests {
		if all[p.service].Requests == nil {
			all[p.service] = feed.InFlight{Service: p.service, Requests: map[uint64]placement.Placed{}}
		}
		all[p.service].Requests[p.number] = placement.Placed{
			Ask: p.ask, Answer: p.answer, Age: now - p.at, Step: p.step,
		}
	}
}

// reportInFlight tells who has just begun to place requests what is in flight, of a
// service of which nothing is as well: its board may know requests that ended while
// another one was told.
func (i *Ingress) reportInFlight(to groupReporter) {
	all := map[string]feed.InFlight{}
	for _, opened := range i.upstreams.all() {
		all[opened.service] = feed.InFlight{Service: opened.service}
	}
	i.inFlight.lock.Lock()
	defer i.inFlight.lock.Unlock()
	i.inFlight.byService(all, i.now())
	for _, told := range all {
		to.ReportInFlight(told)
	}
}
