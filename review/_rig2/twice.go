package main

import (
	"bytes"
	"context"
	"os"
	"time"
)

// delays are the times after which the machine that has come back loses its new disk, one a round.
var delays = []time.Duration{90 * time.Millisecond, 140 * time.Millisecond, 60 * time.Millisecond, 110 * time.Millisecond, 160 * time.Millisecond}

// twice plays up to five rounds. In each, two core machines lose their disks at once; one of them starts
// again a second later and, while it joins, loses its new disk as well. Half a second later both start
// again with empty disks. More than two machines are never lost at a time.
func twice(w *world, o options) (string, error) {
	for range 5 {
		w.addMachine("core")
	}
	core := w.machines[:5]
	if err := w.servePlatform(); err != nil {
		return "", err
	}
	if err := w.startAll(w.machines, 100*time.Millisecond); err != nil {
		return "", err
	}
	document := configuration(7)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, acknowledged := w.operator(ctx, core, document); !acknowledged {
		return "", errNotAcknowledged
	}
	time.Sleep(5 * time.Second) // catch_up_s after the start
	for _, delay := range delays {
		if o.trouble {
			if err := w.loseTwice(core[2], core[3], delay); err != nil {
				return "", err
			}
		}
		w.note("all machines run")
		time.Sleep(12 * time.Second) // recovery_s
		read, came := w.readBack(core, 4*time.Second)
		switch {
		case !came:
			w.note("the read is asked for another 20 s")
			if _, came = w.readBack(core, 20*time.Second); !came {
				return "LOST, CONFIG: the acknowledged configuration does not come when it is read back", nil
			}
		case !bytes.Equal(read, document):
			return "CONFIG: another configuration is read back", nil
		}
	}
	return "", nil
}

// loseTwice plays the losses of one round.
func (w *world) loseTwice(once, again *machine, delay time.Duration) error {
	for _, m := range []*machine{once, again} {
		if err := m.loseDisk(); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	if err := again.start(false); err != nil {
		return err
	}
	time.Sleep(delay)
	if err := again.loseDisk(); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	for _, m := range []*machine{once, again} {
		if err := m.start(false); err != nil {
			return err
		}
	}
	return nil
}

// loseDisk ends the machine's process and empties its data folder.
func (m *machine) loseDisk() error {
	m.kill()
	m.world.note("%s has lost its disk", m.name)
	return os.RemoveAll(m.data)
}
