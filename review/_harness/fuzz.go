package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine serves a model replica of either stage; weird makes its fields odd.
type engine struct {
	*replica
	weird bool
}

func pick(values ...string) string { return values[rand.IntN(len(values))] }

func (e *engine) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	if target := request.Header.Get("Target-Instance"); target != "" && target != e.id {
		w.WriteHeader(421)
		return
	}
	switch {
	case request.URL.Path == "/report":
		fmt.Fprintf(w, `{"stage":%q,"models":[],"busy":false,"seq_no":0,"queued":0,"running":0,"kv_used":0,"kv_total":0,"kv_handles":0}`, e.stage)
		return
	case request.URL.Path == "/kv-list":
		if e.weird {
			fmt.Fprint(w, pick(`{"epoch":"e","next_token":1,"held":[["","aa",2147483646,"m"],["","bb",0,"m"],["","",3,"m"]]}`, `{"held":null}`, `[]`, `{"held":[[]]}`))
		} else {
			fmt.Fprint(w, `{"epoch":"e","next_token":1,"held":[]}`)
		}
		return
	case strings.HasPrefix(request.URL.Path, "/kv-handle/"), request.URL.Path == "/order":
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	if e.weird {
		w.Header().Set("Server-Load", pick("0,0,0", "1,0,8", "2147483647,2147483647,1", "9223372036854775807,0,9223372036854775807", "1,0,8,0", "1,0,8,100", "1,0,8,9223372036854775807", "0,0,0,0", "1,2"))
		if rand.IntN(20) == 0 {
			w.Header().Set("Retry-After", pick("0", "-1", "1e300", "NaN", "0.1", "99999999999999", "x"))
		}
		if rand.IntN(20) == 0 {
			w.Header().Set("Server-Limit", pick("0", "-1", "1e300", "NaN", "0.1", "5", "x"))
		}
		if rand.IntN(10) == 0 {
			w.Header().Set("Keep-Alive", pick("timeout=0", "timeout=-1", "timeout=9223372036854775807", "timeout=1", "x"))
		}
		if rand.IntN(30) == 0 {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(503)
			return
		}
		if rand.IntN(30) == 0 {
			panic(http.ErrAbortHandler)
		}
	}
	if request.Header.Get("Stage") == "prefill" {
		if e.stage != "prefill" {
			w.WriteHeader(421)
			return
		}
		time.Sleep(5 * time.Millisecond)
		handle := "h" + strconv.Itoa(rand.IntN(1<<30))
		if e.weird {
			handle = pick(handle, handle, handle, "", "a b", "x/y?z#", strings.Repeat("h", 5000))
		}
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
	for n := first + 1; n <= 6; n++ {
		if e.weird && rand.IntN(25) == 0 {
			switch rand.IntN(4) {
			case 0:
				panic(http.ErrAbortHandler)
			case 1:
				fmt.Fprint(w, ": comment\n\n")
			case 2:
				fmt.Fprintf(w, "id: %d\ndata", n)
				panic(http.ErrAbortHandler)
			case 3:
				fmt.Fprint(w, "id: \x01\ndata: odd\n\n")
			}
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		w.(http.Flusher).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

func (w *world) addEngine(number int, stage string, weird bool) error {
	r, err := w.addReplica(number, "narrator", 0)
	if err != nil {
		return err
	}
	w.lock.Lock()
	r.stage, r.slots = stage, 64
	w.lock.Unlock()
	r.server.Handler = &engine{r, weird}
	w.publish()
	return nil
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

// fuzz: odd figures of callers and replicas; no process may end.
func fuzz(w *world) (int, error) {
	for i := range 3 {
		if _, err := w.addReplica(i, "tilegate", 15*time.Millisecond); err != nil {
			return failed, err
		}
	}
	for i := range 6 {
		if err := w.addEngine(10+i, []string{"prefill", "decode"}[i%2], true); err != nil {
			return failed, err
		}
	}
	if os.Getenv("SLOTS0") != "" {
		for _, r := range w.replicas {
			r.slots = 0
		}
		w.publish()
	}
	var all, core, edges []*machine
	for i := range 5 {
		core = append(core, w.add("core", i))
	}
	for i := range 3 {
		edges = append(edges, w.add("edge", i))
		w.seeds = append(w.seeds, core[i].address(portControl))
	}
	all = append(append(all, core...), edges...)
	for _, m := range all {
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
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	time.Sleep(500 * time.Millisecond)
	generation := 1
	_, _ = w.operator(ctx, controls, generation, w.engineConfig(generation, soundSheet()))
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	var lock sync.Mutex
	ends := map[string]int{}
	until := time.Now().Add(25 * time.Second)
	for c := range 40 {
		group.Go(func() {
			client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			for n := 0; time.Now().Before(until); n++ {
				prefix := pick("/digest/", "/brief/", "/unsafe/", "/safe/", "/digest/", "/brief/")
				body := bytes.Repeat([]byte("b"), rand.IntN(20000))
				request, _ := http.NewRequest("POST", "http://"+edges[rand.IntN(len(edges))].address(portFront)+prefix+"x", bytes.NewReader(body))
				request.Host = "ficu95.example"
				id := fmt.Sprintf("%x-%x", c, n)
				request.Header.Set("Request-Id", id)
				request.Header.Set("Model", pick("m", "", "zz"))
				request.Header.Set("Token-Count", pick("1460,80", "0,0", "2147483647,2147483647", "9223372036854775807,1", "x", "-1,-1", "1", "433612,433612", "433613,1"))
				request.Header.Set("Prefix-Hash", pick("5c1e07a2:800,91bd3f06:410,e4402b7d:250", "", "a:0", "a:2147483647,a:2147483647", "a:2147483647,b:2147483647,c:2147483647", ":5", "a:b", strings.Repeat("ab:1,", 3000)))
				request.Header.Set("Request-Deadline", pick("6000", "6000", "1000", "0", "0.01", "-1", "NaN", "1e300", "50"))
				if rand.IntN(10) == 0 {
					request.Header.Set("Last-Event-Id", pick("3", "0", "18446744073709551615", "x", "-1"))
				}
				if rand.IntN(10) == 0 {
					request.Header.Set("Length-Hint", pick("3", "0", "x"))
				}
				response, err := client.Do(request)
				end := "error"
				if err == nil {
					end = response.Status
					_, err = io.Copy(io.Discard, response.Body)
					if err != nil {
						end += " cut"
					}
					_ = response.Body.Close()
				}
				lock.Lock()
				ends[prefix+end]++
				lock.Unlock()
			}
		})
	}
	sheets := []map[string]any{{}, {"slots": 0, "kv_capacity": 1e300, "kv_token_bytes": -1, "link_mbps": 0, "kv_ttl_s": -1, "switch_s": 1e300}, {"slots": 1, "kv_capacity": 1}, soundSheet()}
	for range 8 {
		time.Sleep(3 * time.Second)
		generation++
		_, _ = w.operator(ctx, controls, generation, w.engineConfig(generation, sheets[generation%len(sheets)]))
	}
	group.Wait()
	total := 0
	for _, m := range all {
		total += m.ends
	}
	twice := 0
	for _, n := range w.runs {
		if n > 2 {
			twice++
		}
	}
	fmt.Println("ends", total, "run more than twice", twice, ends)
	if total > 0 {
		return broken, nil
	}
	return held, nil
}
