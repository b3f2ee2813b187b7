package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// stale replaces the three core machines that are the seeds, one after the other, each with 5 s to
// catch up. While the third is replaced as planned, another core machine stands still for 4 s. All five
// run undisturbed for 10 s then. At last two core machines lose their disks.
func stale(w *world, o options) (string, error) {
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
	document := configuration(7)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, acknowledged := w.operator(ctx, core, document); !acknowledged {
		return "", errNotAcknowledged
	}
	time.Sleep(5 * time.Second)
	still := core[3]
	if o.trouble {
		for i := range 2 {
			w.note("%s is taken away for good", core[i].name)
			core[i].kill()
			_ = os.RemoveAll(core[i].data)
			time.Sleep(time.Second)
			if err := w.succeed(core, i); err != nil {
				return "", err
			}
			time.Sleep(5 * time.Second)
		}
		leaving := core[2]
		if err := w.succeed(core, 2); err != nil {
			return "", err
		}
		time.Sleep(3 * time.Second) // the successor joins
		still.signal(syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		leaving.signal(syscall.SIGTERM)
		go func() {
			time.Sleep(8 * time.Second) // grace_s
			leaving.signal(syscall.SIGKILL)
		}()
		time.Sleep(2 * time.Second)
		still.signal(syscall.SIGCONT)
	}
	time.Sleep(10 * time.Second)
	w.note("all machines have run for 10 s; does each answer a read?")
	for _, m := range core {
		w.readBack([]*machine{m}, time.Second)
	}
	if o.trouble {
		lost := core[:2]
		for _, m := range lost {
			if err := m.loseDisk(); err != nil {
				return "", err
			}
		}
		time.Sleep(time.Second)
		for _, m := range lost {
			if err := m.start(false); err != nil {
				return "", err
			}
		}
	}
	time.Sleep(12 * time.Second) // recovery_s
	w.note("recovery_s is over")
	read, came := w.readBack(core, o.length)
	switch {
	case !came:
		return "LOST, CONFIG: the acknowledged configuration does not come when it is read back", nil
	case !bytes.Equal(read, document):
		return "CONFIG: another configuration is read back", nil
	}
	return "", nil
}

// succeed puts an empty machine at another address in the place of a core machine, also in the list of
// seeds. The platform writes the settings files of all machines anew and sends SIGHUP.
func (w *world) succeed(core []*machine, i int) error {
	old := core[i]
	successor := w.addMachine("core")
	for k, seed := range w.seeds {
		if seed == w.at(old.ip, portControl) {
			w.seeds[k] = w.at(successor.ip, portControl)
		}
	}
	core[i] = successor
	w.note("%s takes the place of %s; the seeds are now %v", successor.name, old.name, w.seeds)
	if err := successor.start(false); err != nil {
		return err
	}
	for _, m := range w.machines {
		if m == successor || m == old || m.ended == nil || m.hasEnded() {
			continue
		}
		if err := os.WriteFile(filepath.Join(w.folder, m.name+".json"), m.settings(false), 0o600); err != nil {
			return err
		}
		m.signal(syscall.SIGHUP)
	}
	return nil
}

// hasEnded reports whether the machine's process has ended.
func (m *machine) hasEnded() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}
