package main

import (
	"bytes"
	"context"
	"os"
	"time"
)

// four keeps one core machine without power for 3.5 s from the first start on. Right after the first
// configuration was acknowledged, two core machines lose their disks and power; they are started again
// a second later with empty disks. All machines are back then, and two disks were lost.
func four(w *world, o options) (string, error) {
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
	dark := core[4]
	returned := make(chan error, 1)
	if o.trouble {
		dark.kill()
		go func() {
			time.Sleep(3500 * time.Millisecond)
			returned <- dark.start(false)
		}()
	}
	document := configuration(7)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, acknowledged := w.operator(ctx, core, document); !acknowledged {
		return "", errNotAcknowledged
	}
	if o.trouble {
		time.Sleep(o.after)
		lost := []*machine{core[2], core[3]}
		for _, m := range lost {
			m.kill()
			if err := os.RemoveAll(m.data); err != nil {
				return "", err
			}
			w.note("%s has lost its disk", m.name)
		}
		time.Sleep(time.Second)
		for _, m := range lost {
			if err := m.start(false); err != nil {
				return "", err
			}
		}
		if err := <-returned; err != nil {
			return "", err
		}
	}
	w.note("all machines run")
	time.Sleep(12 * time.Second) // recovery_s
	w.note("recovery_s is over")
	read, came := w.readBack(core, o.length)
	ctx, cancel = context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	count := w.clients(ctx, core)
	w.note("%d of %d requests served after that", count.served, count.sent)
	switch {
	case !came:
		return "LOST, CONFIG: the acknowledged configuration does not come when it is read back", nil
	case !bytes.Equal(read, document):
		return "CONFIG: another configuration is read back", nil
	}
	return "", nil
}
