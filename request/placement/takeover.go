package placement

import "time"

// The state of a board is lost with its process, and the board of the next process starts empty.
// Such a board would consider every replica idle, place requests on replicas that already have a
// queue, and mistake the waiting time in these queues for slow reading. The daemons that requested
// placements know what is in flight, so each of them reports it to a new board at once.

// unreportedGrace is the age up to which a placed request is kept although its daemon's report
// does not contain it: the daemon may have requested the placement around the time of the report,
// and still wait for the reply.
const unreportedGrace = 100 * time.Millisecond

// TakeOver adds the requests that a daemon reports as in flight, and removes its other requests
// that are older than unreportedGrace. Read times are not learned from the added requests.
func (b *Board) TakeOver(now time.Duration, daemon string, reported map[uint64]InFlightRequest) {
	for key, p := range b.inFlight {
		_, known := reported[key.Number]
		if key.Daemon == daemon && !known && now-p.placedAt > unreportedGrace {
			b.endRequest(now, key)
		}
	}
	for number, request := range reported {
		key := Key{Daemon: daemon, Number: number}
		if b.inFlight[key] == nil {
			b.adopt(now, key, request)
		}
	}
}

// adopt adds one request that another board placed, or that its daemon placed without a board.
func (b *Board) adopt(now time.Duration, key Key, reported InFlightRequest) {
	generator := b.replicas[reported.Answer.Generator]
	if generator == nil {
		return
	}
	request := reported.Ask
	request.deferred = reported.Answer.Deferred
	p := &placedRequest{
		request: request, answer: reported.Answer, placedAt: now - reported.Age, expiresAt: now - reported.Age + request.Deadline + expiryGrace,
		runningOn: generator, unreadTokens: reported.Answer.UnreadTokens, adopted: true,
	}
	generator.running[p] = struct{}{}
	b.inFlight[key] = p
	b.index.move(generator)
	p.started = reported.Step == StepStarted
	p.holdMemory(b.replicas[reported.Answer.Reader])
	if reported.Step != 0 { // the prompt has been read
		return
	}
	p.queuedOn = generator
	if reader := b.replicas[reported.Answer.Reader]; reader != nil {
		p.queuedOn = reader
	}
	p.queuedOn.enqueue(now, p)
	p.queuedOn.cache.addPending(request.Parts)
	b.index.move(p.queuedOn)
}
