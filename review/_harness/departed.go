package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"
)

// leader returns the core machine that leads by its own log, nil for none.
func leader(core []*machine) *machine {
	var found *machine
	var highest uint64
	for _, m := range core {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.address(portRange+2)+"/apis/v1/members/status", nil)
		response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
		if err != nil {
			cancel()
			continue
		}
		var told struct {
			Role string `json:"role"`
			Term uint64 `json:"term"`
		}
		_ = json.NewDecoder(response.Body).Decode(&told)
		_ = response.Body.Close()
		cancel()
		if told.Role == "leader" && told.Term >= highest {
			found, highest = m, told.Term
		}
	}
	return found
}

// wipe loses the machine's disk; its process must have ended.
func (m *machine) wipe() {
	m.world.say("%s loses its disk", m.name)
	_ = os.RemoveAll(filepath.Join(m.world.folder, m.name+".disk"))
}

// readBack asks control machines for the configuration, and returns the generation of the first
// clear answer, 0 for none until the time is over.
func (w *world) readBack(addresses func() []string, limit time.Duration) int {
	until := time.Now().Add(limit)
	for try := 0; time.Now().Before(until); try++ {
		all := addresses()
		address := all[try%len(all)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/Config.Read", nil)
		response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
		if err == nil {
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			var told struct {
				Generation int `json:"generation"`
			}
			if response.StatusCode == 200 && json.Unmarshal(body, &told) == nil {
				w.say("read at %s: generation %d", address, told.Generation)
				cancel()
				return told.Generation
			}
			if try < 5 || try%50 == 0 {
				w.say("read at %s: %d %s", address, response.StatusCode, bytes.TrimSpace(body))
			}
		} else if try < 5 || try%50 == 0 {
			w.say("read at %s: %v", address, err)
		}
		cancel()
		time.Sleep(200 * time.Millisecond)
	}
	return 0
}

// departed: a core machine is replaced, the process that leads then is killed, and when the
// replaced machine has stopped counting two machines lose their disks.
func departed(w *world) (int, error) {
	number := func(name string, usual int) time.Duration {
		if ms, err := strconv.Atoi(os.Getenv(name)); err == nil {
			usual = ms
		}
		return time.Duration(usual) * time.Millisecond
	}
	killAt, wipeAt := number("KILL_MS", 2800), number("WIPE_MS", 5200)
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
	for _, m := range append(append([]*machine{}, core...), edges...) {
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
	time.Sleep(10 * time.Second)
	if status, err := w.operator(ctx, controls, 2, w.plainConfig(2)); status != 200 {
		return failed, fmt.Errorf("configuration: %d %v", status, err)
	}
	if w.trouble {
		replaced := leader(core)
		if replaced == nil {
			return failed, fmt.Errorf("nobody leads")
		}
		replaced.kill() // for good
		began := time.Now()
		core = slices.DeleteFunc(core, func(m *machine) bool { return m == replaced })
		spare := w.add("core", 5)
		w.seeds = nil
		for _, m := range core[:3] {
			w.seeds = append(w.seeds, m.address(portControl))
		}
		time.Sleep(time.Until(began.Add(time.Second)))
		if err := spare.start(); err != nil {
			return failed, err
		}
		old := slices.Clone(core)
		core = append(core, spare)
		for _, m := range append(slices.Clone(core), edges...) {
			if err := m.writeSettings(); err != nil {
				return failed, err
			}
		}
		time.Sleep(time.Until(began.Add(killAt)))
		second := leader(old)
		if second == nil {
			return failed, fmt.Errorf("nobody leads after the replacement")
		}
		if os.Getenv("NO_KILL") == "" {
			second.kill()
			time.Sleep(500 * time.Millisecond)
			if err := second.start(); err != nil {
				return failed, err
			}
		}
		time.Sleep(time.Until(began.Add(wipeAt)))
		other := old[0]
		if other == second {
			other = old[1]
		}
		w.say("%.1f s after the replaced machine was lost, %.1f s after its successor's start:", time.Since(began).Seconds(), time.Since(began).Seconds()-1)
		second.kill()
		other.kill()
		second.wipe()
		other.wipe()
		time.Sleep(time.Second)
		for _, m := range []*machine{second, other} {
			if err := m.start(); err != nil {
				return failed, err
			}
		}
	}
	generation := w.readBack(controls, number("READ_MS", 60000))
	status, _ := 0, error(nil)
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
