package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// engine serves a model replica of either stage.
type engine struct {
	*replica
	events int // of each stream; 0 stands for six quick ones
	pause  time.Duration
}

func (e *engine) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id, generation := request.Header.Get("Request-Id"), e.generation
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	if target := request.Header.Get("Target-Instance"); target != "" && target != e.id {
		w.WriteHeader(421)
		return
	}
	switch {
	case request.URL.Path == "/report":
		fmt.Fprintf(w, `{"stage":%q,"models":[],"busy":false,"seq_no":0,"queued":0,"running":0,"kv_used":0,"kv_total":0,"kv_handles":0,"born":%d}`, e.stage, e.born)
		return
	case request.URL.Path == "/kv-list":
		fmt.Fprint(w, `{"epoch":"e","next_token":1,"held":[]}`)
		return
	case strings.HasPrefix(request.URL.Path, "/kv-handle/"), request.URL.Path == "/order":
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	if request.Header.Get("Stage") == "prefill" {
		if e.stage != "prefill" {
			w.WriteHeader(421)
			return
		}
		time.Sleep(5 * time.Millisecond)
		handle := "h" + strconv.Itoa(rand.IntN(1<<30))
		fmt.Fprintf(w, `{"kv_handle":%q,"tokens":10,"generation":1}`, handle)
		return
	}
	if e.stage == "prefill" {
		w.WriteHeader(421)
		return
	}
	e.world.lock.Lock()
	e.world.runs[id]++
	e.world.lock.Unlock()
	w.Header().Set("Server-Signature", "sig."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	events, pause := 6, 5*time.Millisecond
	if e.events > 0 {
		events, pause = e.events, e.pause
	}
	for n := first + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", n, e.id, generation, n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(pause)
	}
}

func (w *world) addEngine(number int, stage string) error {
	_, err := w.engine(number, stage)
	return err
}

func (w *world) engine(number int, stage string) (*engine, error) {
	r, err := w.addReplica(number, "narrator", 0)
	if err != nil {
		return nil, err
	}
	w.lock.Lock()
	r.stage, r.slots = stage, 64
	w.lock.Unlock()
	e := &engine{replica: r}
	r.server.Handler = e
	w.publish()
	return e, nil
}

func (w *world) engineConfig(generation int, sheet map[string]any) map[string]any {
	config := w.plainConfig(generation)
	route := func(name, prefix string, attempts int, resumable bool) map[string]any {
		return map[string]any{"name": name, "hostname": "ficu95.example", "path_prefix": prefix, "kind": "streaming", "timeout_ms": 6000,
			"slo_ms": 800, "priority": 2, "service": "narrator", "max_attempts": attempts, "sticky": true, "resumable": resumable, "gap_target_ms": 300}
	}
	config["routes"] = append(config["routes"].([]any), route("r-digest", "/digest/", 2, true), route("r-brief", "/brief/", 1, false))
	config["services"] = append(config["services"].([]any), map[string]any{"name": "narrator", "health_path": "/healthz", "max_conns": 360,
		"protocol": "h1", "tls": false, "engine": sheet})
	return config
}

func soundSheet() map[string]any {
	return map[string]any{"slots": 64, "kv_capacity": 433612, "kv_token_bytes": 18432, "link_mbps": 370000.0, "backups": true, "stride": 8,
		"most": 12, "kv_ttl_s": 5.0, "switch_s": 2.3, "pin_ms": 4000.0, "hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}}}
}
