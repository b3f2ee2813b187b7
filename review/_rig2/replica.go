package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// replica is a sound replica of the plain service, as PROTOCOL.md describes one.
type replica struct {
	world   *world
	id      string
	address string
	server  *http.Server

	lock       sync.Mutex
	state      string    // as the list shows it; empty once the list shows it no more
	leavingAt  time.Time // when the list first showed that it leaves
	ranLate    int       // requests that reached it later than drain_ms after that
	ranInTotal int
}

// servePlatform serves the list of replicas.
func (w *world) servePlatform() error {
	listener, err := net.Listen("tcp", w.at(w.platformIP(), portCloud))
	if err != nil {
		return err
	}
	handler := http.NewServeMux()
	handler.HandleFunc("GET /instances", func(response http.ResponseWriter, r *http.Request) {
		response.Header().Set("Content-Type", "application/json")
		_, _ = response.Write(w.listPage())
	})
	go func() { _ = http.Serve(listener, handler) }()
	return nil
}

// listPage returns the list of replicas, and the entry of another writer if there is one.
func (w *world) listPage() []byte {
	w.lock.Lock()
	foreign, replicas := w.foreign, append([]*replica{}, w.replicas...)
	w.lock.Unlock()
	var entries []string
	for _, known := range replicas {
		if state := known.shown(); state != "" {
			entry, _ := json.Marshal(map[string]any{"id": known.id, "service": "portal", "address": known.address, "zone": zones[0],
				"generation": "v1", "slots": 6, "state": state, "cold_left_ms": 0})
			entries = append(entries, string(entry))
		}
	}
	if foreign != "" {
		entries = append(entries[:1:1], append([]string{foreign}, entries[1:]...)...)
	}
	return []byte(`{"instances":[` + strings.Join(entries, ",") + `],"next_token":null}`)
}

// shown returns the state that the list shows from now on.
func (r *replica) shown() string {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.state == "draining" && r.leavingAt.IsZero() {
		r.leavingAt = time.Now()
		go r.world.note("the list shows that %s leaves", r.id)
	}
	return r.state
}

func (r *replica) setState(state string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.state = state
}

// drain is drain_ms, with half a second for what is under way.
const drain = 3500 * time.Millisecond

// arrived counts a request.
func (r *replica) arrived() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.ranInTotal++
	if !r.leavingAt.IsZero() && time.Since(r.leavingAt) > drain {
		r.ranLate++
	}
}

// addReplica starts a replica.
func (w *world) addReplica() error {
	r := &replica{world: w, id: fmt.Sprintf("i-%d", len(w.replicas)+1), state: "ready"}
	r.address = w.at(fmt.Sprintf("127.%d.1.%d", w.network, 100+len(w.replicas)), portReplica)
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: r, IdleTimeout: 15 * time.Second}
	w.lock.Lock()
	w.replicas = append(w.replicas, r)
	w.lock.Unlock()
	go func() { _ = r.server.Serve(listener) }()
	return nil
}

// ServeHTTP runs a request and answers it.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	switch target := request.Header.Get("Target-Instance"); {
	case request.URL.Path == "/healthz":
		w.Header().Set("Instance-Id", r.id)
		return
	case target != "" && target != r.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	r.arrived()
	r.world.note("replica %s runs %s %s %s", r.id, id, request.Method, request.URL.Path)
	time.Sleep(15 * time.Millisecond)
	w.Header().Set("Server-Signature", "3e1b.07.5a2.600.0."+id)
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", r.id, id)
}
