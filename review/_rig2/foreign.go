package main

import (
	"context"
	"fmt"
	"time"
)

// foreignEntry ends in the middle of a text.
const foreignEntry = `{"id":"batch-7","service":"nightly-exp`

// foreign has another writer leave an entry in the list that cannot be read. A second later the three
// replicas of the service are replaced: three new ones are listed, and the old ones are listed as draining,
// serve for drain_ms and 5 s more, and end.
func foreign(w *world, o options) (string, error) {
	for range 5 {
		w.addMachine("core")
	}
	core := w.machines[:5]
	for range 3 {
		w.addMachine("edge")
	}
	if err := w.servePlatform(); err != nil {
		return "", err
	}
	for range 3 {
		if err := w.addReplica(); err != nil {
			return "", err
		}
	}
	if err := w.startAll(w.machines, 100*time.Millisecond); err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, acknowledged := w.operator(ctx, core, configuration(7)); !acknowledged {
		return "", errNotAcknowledged
	}
	time.Sleep(3 * time.Second)
	before := w.clientsFor(core, 5*time.Second)
	if before.served*2 < before.sent {
		return "", fmt.Errorf("only %d of %d requests are served before the disruption", before.served, before.sent)
	}
	if o.trouble {
		w.lock.Lock()
		w.foreign = foreignEntry
		w.lock.Unlock()
		w.note("another writer leaves an entry in the list: %s", foreignEntry)
	}
	time.Sleep(time.Second)
	old := w.replicas[:3:3]
	for range 3 {
		if err := w.addReplica(); err != nil {
			return "", err
		}
	}
	w.note("three new replicas are listed as ready")
	time.Sleep(2 * time.Second)
	for _, r := range old {
		r.setState("draining")
	}
	w.clientsFor(core, 8*time.Second)
	late := 0
	for _, r := range old {
		r.setState("")
		_ = r.server.Close()
		w.note("%s has ended; %d of its %d requests reached it later than drain_ms after the list showed that it leaves", r.id, r.ranLate, r.ranInTotal)
		late += r.ranLate
	}
	time.Sleep(3 * time.Second)
	after := w.clientsFor(core, o.length)
	switch {
	case late > 3:
		return fmt.Sprintf("DRAIN: %d requests reached leaving replicas too late; of %d requests after their end, %d were served", late, after.sent, after.served), nil
	case after.served*4 < after.sent:
		return fmt.Sprintf("Fault: %d of %d requests are served", after.served, after.sent), nil
	}
	return "", nil
}

// clientsFor is clients for some time.
func (w *world) clientsFor(core []*machine, length time.Duration) tally {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	return w.clients(ctx, core)
}
