package main

import (
	"context"
	"os"
	"time"
)

// absent takes two core machines that are no seeds away for good, half a second after the first start of
// the whole system. The other three run undisturbed.
func absent(w *world, o options) (string, error) {
	for range 5 {
		w.addMachine("core")
	}
	core := append([]*machine{}, w.machines...)
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
	if o.trouble {
		time.Sleep(400 * time.Millisecond)
		for _, m := range core[3:] {
			m.kill()
			_ = os.RemoveAll(m.data)
			w.note("%s is taken away for good", m.name)
		}
		core = core[:3]
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.length)
	defer cancel()
	took, acknowledged := w.operator(ctx, core, configuration(7))
	w.note("acknowledged: %v, after %s", acknowledged, took)
	count := w.clientsFor(core, 10*time.Second)
	_, came := w.readBack(core, 3*time.Second)
	if !acknowledged && !came && count.served == 0 {
		return "CONFIG, Fault: no configuration is acknowledged or read back, and no request is served", nil
	}
	return "", nil
}
