package ingress

import (
	"context"
	"time"

	"github.com/landingtrail/landingtrail/process/pause"
)

// Times of a request that goes only where a leader says, while there is none or it does not answer.
const (
	// apartWait is until it is asked for again, apartPatience for how long after its arrival at
	// most: a new leader is there within some seconds, and a caller can come back then.
	apartWait     = 50 * time.Millisecond
	apartPatience = time.Second
	apartPause    = time.Second
)

// placeApart is place, but for a request under which replicas ended: that goes where a leader says
// or nowhere. What a leader lets wait, or keeps apart, would else go out with the first question
// that it leaves unanswered, beside load or between two leaders, and each copy might end a replica.
// A member that stands by for a leader knows nothing of it either.
func (s *session) placeApart(ctx context.Context) (plan, bool) {
	for {
		apart := s.isKeptApart()
		if !apart || s.ingress.guard.IsLed() {
			if chosen, decided := s.place(ctx); decided || !apart {
				return chosen, decided
			}
		}
		if !s.isPatient() || !pause.For(ctx, apartWait) {
			return plan{refused: true, retryAfter: apartPause}, true
		}
		s.ingress.routes() // takes in what the record says by now
		if _, held := s.quarantineHold(); held {
			return plan{quarantined: true}, true
		}
	}
}

// isKeptApart reports whether the request goes only where a leader says. A stream that has brought
// something goes on anywhere.
func (s *session) isKeptApart() bool {
	guard := s.ingress.guard
	return guard.Active() && s.events == 0 && guard.KeepsApart(s.ingress.now(), s.fingerprint())
}

// isPatient reports whether the request can wait for a leader once more.
func (s *session) isPatient() bool {
	return s.ingress.now()-s.arrivedAt < apartPatience && s.remaining() > 2*apartWait
}
