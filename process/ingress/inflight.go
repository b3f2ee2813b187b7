package ingress

import (
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/request/placement"
)

// Tracking of this proxy's requests in flight, whether the control group or the proxy itself
// placed them. Each step, such as the end of the prefill or of the request, is reported to the
// control group; all requests in flight, with their last steps, are reported to a new leader.
//
// Invariant: the receiver sees these messages in the order in which the steps happened. So a step
// and its message form one critical section of the table's lock, and so do the list of requests in
// flight and its report. If a step arrived before an earlier report of the list, the report would
// undo it.

// trackedRequest is a request in flight whose progress is reported to the control group.
type trackedRequest struct {
	ingress  *Ingress
	service  string
	number   uint64
	request  placement.Request
	answer   placement.Answer
	placedAt time.Duration
	step     placement.Step // 0 before the prompt was prefilled; guarded by the table's lock
}

// report sends the request's progress to the control group, and removes the request from the table
// if it has ended. reportedRequests is the number of requests that the replica last reported. It
// does nothing for a nil trackedRequest.
func (p *trackedRequest) report(step placement.Step, replica string, reportedRequests int) {
	if p != nil {
		p.send(placement.ProgressReport{Step: step, Replica: replica, ReportedRequests: reportedRequests})
	}
}

// reportAnswer is like report for a step that ends with an answer of a replica, and includes what
// the replica reported of itself. replicaName is empty if the step names no replica.
func (p *trackedRequest) reportAnswer(step placement.Step, replicaName string, from *replica) {
	if p == nil {
		return
	}
	note := placement.ProgressReport{Step: step, Replica: replicaName}
	if step == placement.StepRead || step == placement.StepStarted {
		note.ReportedRequests = from.reportedRequests()
	}
	// Without a name in the report, the control group takes the replica that it chose as its origin.
	if replicaName == from.name || from.name == p.answer.Reader && step == placement.StepRead || from.name == p.answer.Generator && step == placement.StepStarted {
		note.ReportedSlowness = from.reportedSlowness(p.ingress.now())
	}
	p.send(note)
}

// send sends a report, and updates the table with it.
func (p *trackedRequest) send(note placement.ProgressReport) {
	table := &p.ingress.inFlight
	table.lock.Lock()
	defer table.lock.Unlock()
	switch {
	case note.Step == placement.StepRead || note.Step == placement.StepStarted:
		p.step = note.Step
	case note.Replica != "" && note.Replica == p.answer.Reader:
		p.answer.Reader = "" // only the prefill has failed; the request continues on the decode replica
	default:
		delete(table.requests, p)
	}
	p.ingress.placer.RecordProgress(feed.PlacementProgress{Service: p.service, Number: p.number, Note: note})
}

// track adds a request to those in flight until its end is noted.
func (s *session) track(request placement.Request, answer placement.Answer, number uint64) *trackedRequest {
	tracked := &trackedRequest{
		ingress: s.ingress, service: s.upstream.service, number: number,
		request: request, answer: answer, placedAt: s.ingress.now(),
	}
	s.ingress.inFlight.add(tracked)
	return tracked
}

// trackLocal tracks a request that this proxy placed itself, so that the placement board of the
// next member that places requests counts it too.
func (s *session) trackLocal(chosen *plan) {
	if s.ingress.placer == nil || chosen.target == nil {
		return
	}
	answer := placement.Answer{Generator: chosen.target.name, UnreadTokens: chosen.uncachedTokens, Estimate: chosen.estimate}
	if chosen.prefiller != nil {
		answer.Reader = chosen.prefiller.name
	}
	chosen.tracked = s.track(s.placementRequest(), answer, s.ingress.placementNumbers.Add(1))
}

// inFlightTable holds the tracked requests in flight. One lock suffices: it is held for a few
// steps of each request, and for a report when another member begins to place requests.
type inFlightTable struct {
	lock     sync.Mutex
	requests map[*trackedRequest]struct{}
}

func (t *inFlightTable) add(p *trackedRequest) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.requests == nil {
		t.requests = map[*trackedRequest]struct{}{}
	}
	t.requests[p] = struct{}{}
}

// addTo adds the requests in flight to the reports of their services. The caller must hold the
// lock.
func (t *inFlightTable) addTo(reports map[string]feed.InFlight, now time.Duration) {
	for p := range t.requests {
		if reports[p.service].Requests == nil {
			reports[p.service] = feed.InFlight{Service: p.service, Requests: map[uint64]placement.InFlightRequest{}}
		}
		reports[p.service].Requests[p.number] = placement.InFlightRequest{
			Ask: p.request, Answer: p.answer, Age: now - p.placedAt, Step: p.step,
		}
	}
}

// reportInFlight reports the requests in flight to a member that has just started to place
// requests. Services without any are included: the member's placement board may still hold
// requests that ended while another member received the reports.
func (i *Ingress) reportInFlight(to groupReporter) {
	reports := map[string]feed.InFlight{}
	for _, upstream := range i.upstreams.all() {
		reports[upstream.service] = feed.InFlight{Service: upstream.service}
	}
	i.inFlight.lock.Lock()
	defer i.inFlight.lock.Unlock()
	i.inFlight.addTo(reports, i.now())
	for _, report := range reports {
		to.ReportInFlight(report)
	}
}
