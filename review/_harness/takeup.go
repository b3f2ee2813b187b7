package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Figures of the case of streams that are taken up again.
const (
	takenStreams  = 16
	takenEvents   = 30
	takenPause    = 50 * time.Millisecond
	takenDeadline = 6 * time.Second
	takenAt       = 4400 // when the callers take their streams up, in milliseconds
	killedAt      = 500
)

// takeup: many processes are killed at once, and callers take up their streams when the machines are
// in touch again.
func takeup(w *world) (int, error) {
	for i := range 4 {
		e, err := w.engine(i, "decode")
		if err != nil {
			return failed, err
		}
		e.events, e.pause, e.born = takenEvents, takenPause, time.Now().Add(-time.Hour).UnixMilli()
		e.generation = []string{"v1", "v2"}[i%2]
	}
	w.publish()
	if _, err := w.addReplica(10, "tilegate", 15*time.Millisecond); err != nil {
		return failed, err
	}
	var core, edges []*machine
	for i := range 5 {
		core = append(core, w.add("core", i))
	}
	for i := range 7 {
		edges = append(edges, w.add("edge", i))
	}
	for i := range 3 {
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
	config := w.engineConfig(1, soundSheet())
	for _, route := range config["routes"].([]any) {
		if r := route.(map[string]any); r["service"] == "narrator" {
			r["timeout_ms"] = takenDeadline.Milliseconds()
		}
	}
	if status, err := w.operator(ctx, controls, 1, config); status != 200 {
		return failed, fmt.Errorf("configuration: %d %v", status, err)
	}
	time.Sleep(8 * time.Second)
	began := time.Now()
	at := func(ms int) { time.Sleep(time.Until(began.Add(time.Duration(ms) * time.Millisecond))) }
	var group sync.WaitGroup
	var lock sync.Mutex
	wentOn, begun, ends := 0, 0, map[string]int{}
	for i := range takenStreams {
		group.Go(func() {
			id := fmt.Sprintf("a%015x", i)
			cut, stop := context.WithCancel(context.Background())
			if !w.trouble { // the callers break off by themselves
				time.AfterFunc(killedAt*time.Millisecond, stop)
			}
			first := w.take(cut, edges[0], id, id, "", "")
			stop()
			at(takenAt)
			again := w.take(context.Background(), edges[1+i%3], fmt.Sprintf("b%015x", i), id, strconv.Itoa(first.last), id)
			w.say("stream %s: %s, last event %d; taken up: %s, %d events after it", id, first.end, first.last, again.end, again.events)
			lock.Lock()
			defer lock.Unlock()
			ends[again.end]++
			if again.events > 0 {
				wentOn++
			}
		})
		group.Go(func() { // a new one at the same time and machine
			at(takenAt)
			id := fmt.Sprintf("c%015x", i)
			fresh := w.take(context.Background(), edges[1+i%3], id, id, "", "")
			lock.Lock()
			defer lock.Unlock()
			if fresh.events > 0 {
				begun++
			}
		})
	}
	if w.trouble {
		at(killedAt)
		killed := append([]*machine{edges[0]}, core...)
		for _, m := range killed {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range killed {
			<-m.done
		}
		time.Sleep(400 * time.Millisecond)
		for _, m := range killed {
			if err := m.start(); err != nil {
				return failed, err
			}
		}
	}
	group.Wait()
	line := fmt.Sprintf("%d streams taken up: %d go on (%v); %d new ones: %d begin", takenStreams, wentOn, ends, takenStreams, begun)
	w.say("%s", line)
	fmt.Println(line)
	if 2*wentOn < begun {
		return broken, nil
	}
	return held, nil
}

// taken is what came of a stream.
type taken struct {
	end          string
	events, last int
}

// take sends a request that begins a stream, or goes on after the last event of another attempt.
func (w *world) take(ctx context.Context, edge *machine, id, prompt, after, resumes string) taken {
	deadline := takenDeadline
	if after != "" {
		deadline -= takenAt * time.Millisecond // what is left of it
	}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge.address(portFront)+"/digest/x", bytes.NewReader([]byte("prompt "+prompt)))
	request.Host = "ficu95.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Count", "3720,30")
	request.Header.Set("Prefix-Hash", fmt.Sprintf("5c1e07a2:800,%s:2920", prompt))
	if after != "" {
		request.Header.Set("Last-Event-Id", after)
		request.Header.Set("Resumes", resumes)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return taken{end: "no answer"}
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	result := taken{end: response.Status}
	if err != nil {
		result.end += ", broken off"
	}
	for _, found := range eventText.FindAllSubmatch(answer, -1) {
		result.events++
		result.last, _ = strconv.Atoi(string(found[3]))
	}
	return result
}
