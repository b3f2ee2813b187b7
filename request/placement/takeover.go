package placement

import "time"

// A board lives in one process, and its successor starts empty: it would consider every
// replica idle, send work to those that already have a queue, and mistake the waiting time
// for slow reading. The daemons that requested placements know what is in flight, so
// each of them reports it to a new board at once.

// unreportedGrace is the age up to which a placed request may be missing from its daemon's
// report: the daemon asked for it while it sent the report, and still waits for the answer.
const unreportedGrace = 100 * time.Millisecond

// TakeOver adds the requests that a daemon has in flight, and removes its other requests. Read
// times are not learned from requests that other boards placed.
func (b *Board) TakeOver(now time.Duration, daemon string, reported map[uint64]Placed) {
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

// adopt adds one request that another board, or its daemon, has placed.
func (b *Board) adopt(now time.Duration, key Key, reported Placed) {
	generator := b.replicas[reported.Answer.Generator]
	if generator == nil {
		return
	}
	request := reported.Ask
	request.deferred = reported.Answer.Deferred
	p := &placedRequest{
		request: request, answer: reported.Answer, placedAt: now - reported.Age, expiresAt: now - reported.Age + request.Deadline + expiryGrace,
		runningOn: generator, unreadTokens: reported.Answer.Unread, adopted: true,
	}
	generator.running[p] = struct{}{}
	b.inFlight[key] = p
	b.index.move(generator)
	if reported.Step != 0 {
		p.started = reported.Step == StepStarted
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
