package main

import (
	"context"
	"os"
	"time"
)

// founder loses one core machine, the first of the seeds, soon after the first start of the whole
// system. how "kill": its process is killed and started again, its disk kept, as the platform does.
// how "wipe": the machine loses its disk and starts again a second later, with data_dir empty and
// bootstrap false. how "gone": it is taken away for good.
func founder(w *world, o options) (string, error) {
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
	lost := core[0]
	order := append(append([]*machine{}, core...), w.machines[5:]...)
	began := time.Now()
	done := make(chan error, 1)
	go func() { done <- w.startAll(order, 100*time.Millisecond) }()
	if o.trouble {
		time.Sleep(o.after)
		lost.kill()
		if o.how != "kill" {
			if err := os.RemoveAll(lost.data); err != nil {
				return "", err
			}
			w.note("%s has lost its disk", lost.name)
		}
		if o.how != "gone" {
			time.Sleep(time.Second)
			if err := lost.start(false); err != nil {
				return "", err
			}
		}
	}
	if err := <-done; err != nil {
		return "", err
	}
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(o.length))
	defer cancel()
	took, acknowledged := w.operator(ctx, core, configuration(7))
	if !acknowledged {
		w.readBack(core, 3*time.Second)
		return "CONFIG: the configuration was never acknowledged and does not come when it is read back", nil
	}
	w.note("the configuration was acknowledged after %s", took)
	ctx, cancel = context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	count := w.clients(ctx, core)
	if count.served*2 < count.sent {
		return "no request is served", nil
	}
	return "", nil
}
