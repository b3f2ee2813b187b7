package ingress

import (
	"context"
	"fmt"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/holdoff"
	"github.com/landingtrail/landingtrail/request/placement"
)

// placeTimeout is how long a decision of the control group is waited for before
// this proxy decides by what it knows itself.
const placeTimeout = 30 * time.Millisecond

// place asks the control group where the request goes, again after each wait
// that it is told to make; false when the group does not answer in time or names
// replicas that do not take requests by what is known here. It returns early
// when ctx ends.
func (s *session) place(ctx context.Context) (plan, bool) {
	if s.ingress.placer == nil {
		return plan{}, false
	}
	number := s.ingress.numbers.Add(1)
	placedAgain := 0
	for {
		ask := s.ask()
		answer, err := s.askPlace(ctx, number, ask)
		if err != nil {
			s.trace.WriteString(" unplaced")
			s.forgo(number)
			return plan{}, false
		}
		if answer.Name {
			s.ingress.namesTill.Store(int64(s.ingress.now() + namesTime))
			continue
		}
		if answer.Refused {
			return plan{refused: true, retryAfter: answer.RetryAfter}, true
		}
		if answer.Wait <= 0 {
			chosen, found := s.planOf(ask, answer, number)
			if !found && placedAgain < mostPlacedAgain && s.namesClosed(answer) {
				placedAgain++
				continue // the next question names it as excluded
			}
			return chosen, found
		}
		fmt.Fprintf(&s.trace, " waits(%s)", answer.Wait.Round(time.Millisecond))
		event.RequestWaits.Log(s.ingress.logger, "request", s.call.ID, "generation", s.generation, "wait_ms", answer.Wait.Milliseconds())
		if !pause.For(ctx, min(answer.Wait, longestWait)) {
			return plan{}, false
		}
		s.ingress.routes() // takes in what the list and the record say by now
		if _, held := s.held(); held {
			return plan{held: true}, true // it is told so now, and waits for no place any more
		}
	}
}

// mostPlacedAgain bounds how often a request is placed again whose replica has asked this
// proxy for a pause while the answer was on its way. Asked again, the group keeps requests
// apart that may end replicas, which a proxy that chooses by itself does not.
const mostPlacedAgain = 3

// namesClosed reports whether an answer names a replica that is to be sent nothing.
func (s *session) namesClosed(answer placement.Answer) bool {
	for _, name := range []string{answer.Generator, answer.Reader} {
		if found := s.lane.find(name); found != nil && found.asks.State(s.ingress.now()) == holdoff.Closed {
			return true
		}
	}
	return false
}

// forgo tells the group that a decision is not followed, should one still be made: it
// would hold its place on the board until the request's time is over.
func (s *session) forgo(number uint64) {
	s.ingress.placer.NotePlaced(feed.PlaceNote{
		Service: s.lane.service, Number: number, Note: placement.Note{Step: placement.StepEnded},
	})
}

// namesTime is for how long after the control group has asked for names all questions
// bring one: asked for each, it would cost a round trip.
const namesTime = 5 * time.Second

// longestWait is how long a request waits before it is placed again: what it
// waits for may be over sooner than expected, or not come at all.
const longestWait = 200 * time.Millisecond

func (s *session) askPlace(ctx context.Context, number uint64, ask placement.Ask) (placement.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	return s.ingress.placer.Place(ctx, feed.PlaceRequest{Service: s.lane.service, Number: number, Ask: ask})
}

// planOf finds the replicas that an answer names.
func (s *session) planOf(ask placement.Ask, answer placement.Answer, number uint64) (plan, bool) {
	if answer.Generator == "" {
		return plan{}, true // no replica takes it
	}
	decided := s.track(ask, answer, number)
	chosen := plan{
		target:   s.lane.find(answer.Generator),
		reader:   s.lane.find(answer.Reader),
		fetch:    s.lane.find(answer.Fetch),
		uncached: answer.Unread,
		estimate: answer.Estimate,
		placed:   decided,
		deferred: answer.Deferred,
		alone:    answer.Alone,
	}
	s.confined = s.confined || answer.Alone
	now := s.ingress.now()
	if !known(answer.Generator, chosen.target, now) || !known(answer.Reader, chosen.reader, now) {
		decided.note(placement.StepEnded, "", 0)
		s.trace.WriteString(" unknown_replica")
		return plan{}, false
	}
	fmt.Fprintf(&s.trace, " placed(%d unread, %s)", answer.Unread, answer.Estimate.Round(time.Millisecond))
	if answer.Fetch != "" {
		fmt.Fprintf(&s.trace, " fetch(%s)", answer.Fetch)
	}
	return chosen, true
}

// known reports whether a named replica takes requests by what this proxy knows,
// which may be newer than what the member knew that named it.
func known(name string, found *replica, now time.Duration) bool {
	return name == "" || found != nil && found.takes(now)
}

// objective is the time from the request's arrival within which the first event
// is to come; 0 where nothing is promised or it has come.
func (s *session) objective() time.Duration {
	if s.events > 0 {
		return 0
	}
	return milliseconds(s.route.ObjectiveMilliseconds)
}

// firstWithin is how long the first event is of any use.
func (s *session) firstWithin() time.Duration {
	silence := s.ingress.config.Silence.of(s.route)
	if silence == 0 || s.events > 0 {
		return s.left()
	}
	return min(s.left(), silence-(s.ingress.now()-s.arrived))
}

func (s *session) ask() placement.Ask {
	ask := placement.Ask{
		Prompt:    s.call.Work.PromptTokens,
		Output:    s.call.Work.OutputTokens,
		Priority:  s.priority,
		Zone:      s.ingress.config.Zone,
		Tenant:    s.call.Tenant,
		Objective: s.objective(),
		Age:       s.ingress.now() - s.arrived,
		Deadline:  s.firstWithin(),
		Excluded:  s.avoided(),
		Connected: s.lane.connected(),
		Continued: s.call.ResumeAfter != "" || s.lastEvent != "",
	}
	if int64(s.ingress.now()) < s.ingress.namesTill.Load() {
		fingerprint := s.fingerprint()
		ask.Name = string(fingerprint[:])
	}
	for _, part := range s.call.Work.Parts {
		ask.Parts = append(ask.Parts, placement.Part{ID: part.ID, Tokens: part.Tokens})
	}
	return ask
}

// maxConnected bounds the replicas that a question names as connected to: more are
// hardly used before their connections are closed as idle.
const maxConnected = 64

// connected returns the replicas to which a connection is kept for the next request.
func (l *lane) connected() []string {
	var names []string
	for _, known := range l.fleet.used() {
		if len(names) == maxConnected {
			break
		}
		if l.pool.Idle(known.listed().Address) {
			names = append(names, known.name)
		}
	}
	return names
}

// find returns the listed replica of the name, or nil.
func (l *lane) find(name string) *replica { return l.fleet.find(name, l.clock()) }
