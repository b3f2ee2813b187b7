package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func (w *world) plainConfig(generation int) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{"name": name, "hostname": "ficu95.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 1000,
			"slo_ms": 100, "priority": 2, "service": "tilegate", "max_attempts": attempts, "sticky": false, "resumable": false}
	}
	return map[string]any{"generation": generation,
		"routes":   []any{route("r-unsafe", "/unsafe/", "unsafe", 1), route("r-safe", "/safe/", "safe", 2)},
		"services": []any{map[string]any{"name": "tilegate", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}

// founder: the core machine of the first seed is lost for good soon after the first start of the
// system, and an empty one stands in for it.
func founder(w *world) (int, error) { return firstStart(w, []int{0}, true) }

// absent: two other core machines are lost soon after the first start of the system.
func absent(w *world) (int, error) { return firstStart(w, []int{3, 4}, false) }

// foreign: the list holds an entry of another writer that ends in the middle.
func foreign(w *world) (int, error) {
	if w.trouble {
		w.foreign = `{"id":"i-7f3a91c2","service":"other`
		if text := os.Getenv("FOREIGN"); text != "" {
			w.foreign = text
		}
	}
	return firstStart(w, nil, false)
}

// firstStart starts the system for the first time and loses core machines half a second later.
func firstStart(w *world, lost []int, standIn bool) (int, error) {
	after := 500 * time.Millisecond
	if ms, err := strconv.Atoi(os.Getenv("AFTER_MS")); err == nil {
		after = time.Duration(ms) * time.Millisecond
	}
	limit := 90 * time.Second
	if s, err := strconv.Atoi(os.Getenv("LIMIT_S")); err == nil {
		limit = time.Duration(s) * time.Second
	}
	for i := range 3 {
		if _, err := w.addReplica(i, "tilegate", 15*time.Millisecond); err != nil {
			return failed, err
		}
	}
	var core []*machine
	for i := range 5 {
		m := w.add("core", i)
		m.bootstrap = true
		core = append(core, m)
	}
	for i := range 3 {
		w.seeds = append(w.seeds, core[i].address(portControl))
	}
	var edges []*machine
	for i := range 4 {
		m := w.add("edge", i)
		m.bootstrap = true
		edges = append(edges, m)
	}
	for _, m := range append(append([]*machine{}, core...), edges...) {
		if err := m.start(); err != nil {
			return failed, err
		}
	}
	began := time.Now()
	var lock sync.Mutex
	live := append([]*machine{}, core...)
	controls := func() (addresses []string) {
		lock.Lock()
		defer lock.Unlock()
		for _, m := range live {
			addresses = append(addresses, m.address(portControl))
		}
		return addresses
	}
	directories := func() (addresses []string) {
		lock.Lock()
		defer lock.Unlock()
		for _, m := range live {
			addresses = append(addresses, m.address(portDir))
		}
		return addresses
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	acknowledged := atomic.Int64{}
	go func() {
		time.Sleep(500 * time.Millisecond)
		if status, _ := w.operator(ctx, controls, 1, w.plainConfig(1)); status == http.StatusOK {
			acknowledged.Store(time.Since(began).Milliseconds())
		}
	}()
	if w.trouble && len(lost) > 0 {
		time.Sleep(time.Until(began.Add(after)))
		for _, which := range lost {
			core[which].kill()
		}
		lock.Lock()
		live = nil
		for i, m := range core {
			if !slices.Contains(lost, i) {
				live = append(live, m)
			}
		}
		lock.Unlock()
	}
	if w.trouble && standIn {
		time.Sleep(2 * time.Second) // an empty one comes at another address
		spare := w.add("core", 5)
		w.seeds[lost[0]] = spare.address(portControl)
		if err := spare.start(); err != nil {
			return failed, err
		}
		lock.Lock()
		live = append(live, spare)
		lock.Unlock()
		for i, m := range append(append([]*machine{}, core...), edges...) {
			if i == lost[0] {
				continue
			}
			if err := m.writeSettings(); err != nil { // the files name the machines that are there now
				return failed, err
			}
		}
	}
	sent, served := 0, 0
	for number := 0; ctx.Err() == nil; number++ {
		time.Sleep(100 * time.Millisecond)
		if time.Since(began) < 10*time.Second {
			continue // traffic starts 10 s after the machines do
		}
		sent++
		id := fmt.Sprintf("%016x", number+1)
		answer := w.request(w.resolve(directories(), "ficu95.example", zones[number%3]), id)
		if strings.HasPrefix(answer, "200") {
			served++
		}
		if number%20 == 0 || served == 1 {
			w.say("request %s: %s", id, answer)
		}
		if served >= 100 {
			break
		}
	}
	w.say("sent %d, served %d, first configuration acknowledged after %d ms (0: never)", sent, served, acknowledged.Load())
	fmt.Printf("sent %d, served %d, acknowledged after %d ms\n", sent, served, acknowledged.Load())
	if served == 0 {
		return broken, nil
	}
	return held, nil
}

// request sends one request of a safe route and tells what came.
func (w *world) request(addresses []string, id string) string {
	if len(addresses) == 0 {
		return "no address"
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addresses[len(id)%len(addresses)]+"/safe/x", nil)
	request.Host = "ficu95.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Request-Deadline", "1000")
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return err.Error()
	}
	_ = response.Body.Close()
	return response.Status + " " + response.Header.Get("Server-Signature")
}
