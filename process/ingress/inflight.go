package ingress

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
)

// What this proxy has in flight to replicas, wherever it was decided: the control group is
// told of each step, and a leader that has just begun is told of all of it.

// placed is a request in flight that the control group is to be kept informed of.
type placed struct {
	ingress *Ingress
	service string
	number  uint64
	ask     placement.Ask
	answer  placement.Answer
	at      time.Duration
	step    atomic.Uint32 // placement.Step, 0 before the prompt is read
}

// note tells the group how far the request has come; a nil placed tells nobody.
func (p *placed) note(step placement.Step, replica string, told int) {
	if p == nil {
		return
	}
	switch {
	case step == placement.StepRead || step == placement.StepStarted:
		p.step.Store(uint32(step))
	case replica != "" && replica == p.answer.Reader:
		p.ingress.inFlight.readElsewhere(p)
	default:
		p.ingress.inFlight.remove(p)
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
		ingress: s.ingress, service: s.lane.service, number: number,
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
	answer := placement.Answer{Generator: chosen.target.name, Unread: chosen.uncached, Estimate: chosen.estimate}
	if chosen.reader != nil {
		answer.Reader = chosen.reader.name
	}
	chosen.placed = s.track(s.ask(), answer, s.ingress.numbers.Add(1))
}

// inFlightTable holds the placed requests that are in flight. One lock is enough: it is
// held for a map's change, twice a request.
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

func (t *inFlightTable) remove(p *placed) {
	t.lock.Lock()
	defer t.lock.Unlock()
	delete(t.requests, p)
}

// readElsewhere keeps a request that its reader has not read: it goes on at its generator.
func (t *inFlightTable) readElsewhere(p *placed) {
	t.lock.Lock()
	defer t.lock.Unlock()
	p.answer.Reader = ""
}

// byService returns what is in flight now.
func (t *inFlightTable) byService(now time.Duration) map[string]feed.InFlight {
	t.lock.Lock()
	defer t.lock.Unlock()
	all := map[string]feed.InFlight{}
	for p := range t.requests {
		if all[p.service].Requests == nil {
			all[p.service] = feed.InFlight{Service: p.service, Requests: map[uint64]placement.Placed{}}
		}
		all[p.service].Requests[p.number] = placement.Placed{
			Ask: p.ask, Answer: p.answer, Age: now - p.at, Step: placement.Step(p.step.Load()),
		}
	}
	return all
}

// reportInFlight tells who has just begun to place requests what is in flight.
func (i *Ingress) reportInFlight(to groupReporter) {
	for _, told := range i.inFlight.byService(i.now()) {
		to.ReportInFlight(told)
	}
}
