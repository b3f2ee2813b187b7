package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// replica is a replica of a plain service that behaves as the pages say.
type replica struct {
	world                  *world
	id, service, zone      string
	address, listedAddress string
	listed, stage          string
	generation             string // of its software
	born                   int64  // milliseconds since 1970; 0 where it is not told
	slots                  int
	work                   time.Duration
	running                atomic.Int32
	server                 *http.Server
}

// addReplica starts a replica and puts it on the list.
func (w *world) addReplica(number int, service string, work time.Duration) (*replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{world: w, id: fmt.Sprintf("i-%s-%d", service, number), service: service, zone: zones[number%3],
		address: listener.Addr().String(), listed: "ready", slots: 6, work: work, generation: "v1"}
	r.listedAddress = r.address
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	w.lock.Lock()
	w.replicas = append(w.replicas, r)
	w.lock.Unlock()
	w.publish()
	return r, nil
}

func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	w.Header().Set("Instance-Id", r.id)
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	if target := request.Header.Get("Target-Instance"); target != "" && target != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/healthz" {
		return
	}
	if request.URL.Path == "/report" {
		fmt.Fprintf(w, `{"stage":%q,"models":[],"busy":false,"seq_no":0,"queued":0,"running":%d,"kv_used":0,"kv_total":0,"kv_handles":0}`, r.stage, r.running.Load())
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	running := r.running.Add(1)
	defer r.running.Add(-1)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", running, r.slots))
	if int(running) > r.slots+24 {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.world.lock.Lock()
	r.world.runs[id]++
	r.world.lock.Unlock()
	time.Sleep(r.work)
	w.Header().Set("Server-Signature", "sig."+id)
	fmt.Fprintf(w, "%s %s %d", r.id, id, len(body))
}
