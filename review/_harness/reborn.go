package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"sync"
	"time"
)

// crash ends the replica: its connections break and its port is closed.
func (e *engine) crash() {
	e.world.say("replica %s (%s) crashes", e.id, e.generation)
	_ = e.server.Close()
}

// rebirth starts the replica again under its id and address, with another version of its software.
func (e *engine) rebirth(generation string) error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.world.lock.Lock()
	e.generation, e.born = generation, time.Now().UnixMilli()
	e.world.lock.Unlock()
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	e.world.publish()
	e.world.say("replica %s starts again at version %s", e.id, generation)
	return nil
}

var eventText = regexp.MustCompile(`data: (\S+) (\S+) (\d+)`)

// Figures of the case of versions.
const (
	streamCount  = 120
	replicaCount = 6 // that have streams
	streamEvents = 55
	streamPause  = 100 * time.Millisecond
)

// reborn: a replica starts again under its id at another version of its software, and before the list
// shows it the replica whose streams are under way crashes.
func reborn(w *world) (int, error) {
	var first *engine
	for i := range replicaCount {
		e, err := w.engine(i, "decode")
		if err != nil {
			return failed, err
		}
		e.events, e.pause, e.born = streamEvents, streamPause, time.Now().Add(-time.Hour).UnixMilli()
		if i == 0 {
			first = e
		}
	}
	w.publish()
	if _, err := w.addReplica(10, "tilegate", 15*time.Millisecond); err != nil {
		return failed, err
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
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	time.Sleep(500 * time.Millisecond)
	if status, err := w.operator(ctx, controls, 1, w.engineConfig(1, soundSheet())); status != 200 {
		return failed, fmt.Errorf("configuration: %d %v", status, err)
	}
	time.Sleep(8 * time.Second)
	var group sync.WaitGroup
	var lock sync.Mutex
	mixed, whole, moved := 0, 0, 0
	for i := range streamCount {
		group.Go(func() {
			id := fmt.Sprintf("%016x", i+1)
			events, versions, replicas, err := w.stream(edges[i%len(edges)], id)
			w.say("stream %s: %d events, versions %v, replicas %v, %v", id, events, versions, replicas, err)
			lock.Lock()
			defer lock.Unlock()
			if len(versions) > 1 {
				mixed++
			}
			if len(replicas) > 1 {
				moved++
			}
			if events == streamEvents && err == nil {
				whole++
			}
		})
	}
	began := time.Now()
	at := func(ms int) { time.Sleep(time.Until(began.Add(time.Duration(ms) * time.Millisecond))) }
	at(200)
	second, err := w.engine(replicaCount, "decode") // another one is added
	if err != nil {
		return failed, err
	}
	second.events, second.pause, second.born = streamEvents, streamPause, time.Now().UnixMilli()
	w.publish()
	if w.trouble {
		at(2200)
		second.crash()
		at(3700)
		if err := second.rebirth("v2"); err != nil {
			return failed, err
		}
		at(3700 + int(milliseconds("CRASH_MS", 400).Milliseconds()))
		first.crash()
	}
	group.Wait()
	line := fmt.Sprintf("%d streams, %d whole, %d went on at another replica, %d hold events of two versions", streamCount, whole, moved, mixed)
	w.say("%s", line)
	fmt.Println(line)
	if mixed > 2 {
		return broken, nil
	}
	return held, nil
}

// stream sends one request of a route whose streams may be resumed, and says what came.
func (w *world) stream(edge *machine, id string) (events int, versions, replicas map[string]int, err error) {
	versions, replicas = map[string]int{}, map[string]int{}
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge.address(portFront)+"/digest/x", bytes.NewReader([]byte("prompt "+id)))
	request.Host = "ficu95.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Request-Deadline", "6000")
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Count", "3720,55")
	request.Header.Set("Prefix-Hash", fmt.Sprintf("5c1e07a2:800,%s:2920", id))
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0, versions, replicas, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	for _, found := range eventText.FindAllSubmatch(answer, -1) {
		events++
		replicas[string(found[1])]++
		versions[string(found[2])]++
	}
	return events, versions, replicas, err
}
