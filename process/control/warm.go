package control

import (
	"context"
	"sync"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/process/pause"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/landingtrail/landingtrail/version/view"
)

// KeptSource asks a replica which parts of prompts it keeps. The question holds
// the replica's work up, so it is asked rarely. Another replica that has the address
// by now is an error.
type KeptSource interface {
	Kept(ctx context.Context, replica *api.Replica) ([]placement.Part, error)
}

const (
	// warmDelay is how long a new leader waits for the proxies' word on what
	// replicas keep before it asks the replicas that nobody has spoken of.
	warmDelay = 150 * time.Millisecond
	// warmTimeout bounds one question, warmAtOnce the questions at once: 160 replicas
	// answer within some 50 ms then, and a question takes one descriptor.
	warmTimeout = time.Second
	warmAtOnce  = 64
	// warmBurst is how many replicas are asked as fast as they answer; of more the rest is
	// asked one each warmPace, since a leader that has just begun has no time for thousands
	// of questions beside its proxies'. What a replica keeps that nobody has asked is learnt
	// from its requests.
	warmBurst = 256
	warmPace  = 20 * time.Millisecond
	// freshProcess is how long after its start a member is taken for one of a group that
	// was stopped as a whole: then no proxy remembers anything, and none is waited for.
	// Until the answers are in, prompts would be read again that replicas keep.
	freshProcess = 3 * time.Second
)

// warmsAfter is how long after a leadership has begun its leader asks, by when that was in
// the life of its process.
func warmsAfter(began time.Duration) time.Duration {
	if began < freshProcess {
		return 0
	}
	return warmDelay
}

// warmBoards asks, once in a leadership, the replicas of which no proxy has said
// what they keep: after a stop of everything nobody remembers it, and to read it
// all again would cost far more than the question. Before the first Ingress was
// accepted there is nothing to ask for.
func (d *duties) warmBoards(ctx context.Context, term *termDuties, now time.Duration) {
	if term.warmed || now-term.startedAt < warmsAfter(term.startedAt) {
		return
	}
	term.warmed = true
	if d.group.config.Kept == nil || !term.hadIngress {
		return
	}
	current := d.group.machine.view()
	cold := d.group.desk.cold(d.group.machine.history.Load())
	if len(cold) == 0 {
		return
	}
	term.background.Go(func() { d.askKept(term.orders, current, cold) })
}

// askKept asks the replicas, warmAtOnce at a time.
func (d *duties) askKept(ctx context.Context, current *view.View, cold []string) {
	var asking sync.WaitGroup
	places := make(chan struct{}, warmAtOnce)
	for i, name := range cold {
		if i >= warmBurst && !pause.Sleep(ctx, warmPace) {
			break
		}
		places <- struct{}{}
		asking.Go(func() {
			defer func() { <-places }()
			d.askOneKept(ctx, current.Replicas[name])
		})
	}
	asking.Wait()
}

func (d *duties) askOneKept(ctx context.Context, replica *api.Replica) {
	ctx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	parts, err := d.group.config.Kept.Kept(ctx, replica)
	event.KeptAsked.Log(d.logger, "replica", replica.Name, "parts", len(parts), "err", err)
	if err != nil {
		return // it is learnt from its requests
	}
	kept := feed.KeptParts{Service: replica.Spec.Service, Replica: replica.Name, Parts: parts}
	d.group.desk.kept(d.group.machine.history.Load(), kept)
}

// cold returns the replicas of model services of which nothing is known to be kept.
func (d *placementDesk) cold(current *view.History) []string {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.update(current)
	var names []string
	for _, board := range d.boards {
		names = append(names, board.Cold()...)
	}
	return names
}
