package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"syscall"
	"time"
)

// milliseconds returns a time of a case, which a variable of the environment may change.
func milliseconds(name string, usual int) time.Duration {
	if ms, err := strconv.Atoi(os.Getenv(name)); err == nil {
		usual = ms
	}
	return time.Duration(usual) * time.Millisecond
}

// planned: a core machine is replaced as planned, the new one first; soon after the old one has
// stopped two others lose their disks.
func planned(w *world) (int, error) {
	joined, wipeAt := milliseconds("JOINED_MS", 6000), milliseconds("WIPE_MS", 1000)
	for i := range 3 {
		if _, err := w.addReplica(i, "tilegate", 15*time.Millisecond); err != nil {
			return failed, err
		}
	}
	var core, edges []*machine
	for i := range 5 {
		core = append(core, w.add("core", i))
	}
	for i := range 3 {
		edges = append(edges, w.add("edge", i))
		w.seeds = append(w.seeds, core[i].address(portControl))
	}
	for _, m := range append(slices.Clone(core), edges...) {
		m.bootstrap = true
		if err := m.start(); err != nil {
			return failed, err
		}
	}
	controls := func() (addresses []string) {
		for _, m := range core {
			addresses = append(addresses, m.address(portControl))
		}
		return addresses
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	time.Sleep(500 * time.Millisecond)
	if status, err := w.operator(ctx, controls, 1, w.plainConfig(1)); status != 200 {
		return failed, fmt.Errorf("configuration: %d %v", status, err)
	}
	time.Sleep(8 * time.Second)
	spare := w.add("core", 5) // planned work, which is done without the disruption, too
	if err := spare.start(); err != nil {
		return failed, err
	}
	core = append(core, spare)
	time.Sleep(joined)
	if status, err := w.operator(ctx, controls, 2, w.plainConfig(2)); status != 200 {
		return failed, fmt.Errorf("configuration: %d %v", status, err)
	}
	replaced := core[4]
	replaced.signal(syscall.SIGTERM)
	began := time.Now()
	<-replaced.done
	core = slices.DeleteFunc(core, func(m *machine) bool { return m == replaced })
	w.say("%s has ended %.3f s after SIGTERM and is gone", replaced.name, time.Since(began).Seconds())
	time.Sleep(time.Until(began.Add(wipeAt)))
	if w.trouble {
		lost := []*machine{core[1], core[2]}
		for _, m := range lost {
			m.kill()
		}
		for _, m := range lost {
			m.wipe()
		}
		time.Sleep(time.Second)
		for _, m := range lost {
			if err := m.start(); err != nil {
				return failed, err
			}
		}
	}
	generation := w.readBack(controls, milliseconds("READ_MS", 60000))
	status := 0
	if generation != 0 {
		status, _ = w.operator(ctx, controls, 3, w.plainConfig(3))
	}
	line := fmt.Sprintf("acknowledged 2, read back %d (0: it does not come), the next change: %d", generation, status)
	w.say("%s", line)
	fmt.Println(line)
	if generation < 2 {
		return broken, nil
	}
	return held, nil
}
