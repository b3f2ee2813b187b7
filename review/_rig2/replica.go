package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// replica is a sound replica of the plain service, as PROTOCOL.md describes one.
type replica struct {
	world   *world
	id      string
	address string
	server  *http.Server
}

// servePlatform serves the list of replicas.
func (w *world) servePlatform() error {
	listener, err := net.Listen("tcp", w.at(w.platformIP(), portCloud))
	if err != nil {
		return err
	}
	handler := http.NewServeMux()
	handler.HandleFunc("GET /instances", func(response http.ResponseWriter, r *http.Request) {
		entries := []any{}
		for _, known := range w.replicas {
			entries = append(entries, map[string]any{"id": known.id, "service": "portal", "address": known.address, "zone": zones[0],
				"generation": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0})
		}
		response.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(response).Encode(map[string]any{"instances": entries, "next_token": nil})
	})
	go func() { _ = http.Serve(listener, handler) }()
	return nil
}

// addReplica starts a replica.
func (w *world) addReplica() error {
	r := &replica{world: w, id: fmt.Sprintf("i-%d", len(w.replicas)+1)}
	r.address = w.at(fmt.Sprintf("127.%d.1.%d", w.network, 100+len(w.replicas)), portReplica)
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: r, IdleTimeout: 15 * time.Second}
	w.replicas = append(w.replicas, r)
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
	r.world.note("replica %s runs %s %s %s", r.id, id, request.Method, request.URL.Path)
	time.Sleep(15 * time.Millisecond)
	w.Header().Set("Server-Signature", "3e1b.07.5a2.600.0."+id)
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", r.id, id)
}
