package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case of streams without a length.
const (
	unframedStreams  = 24
	unframedReplicas = 6
	unframedEvents   = 40
	unframedPause    = 100 * time.Millisecond
)

// serveUnframed is the process of a replica whose streams have neither a length nor chunks and end with
// their connection. It runs until it is killed.
func serveUnframed(address, id string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		call := request.Header.Get("Request-Id")
		if call != "" {
			w.Header().Set("Request-Id", call)
		}
		if target := request.Header.Get("Target-Instance"); target != "" && target != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if request.URL.Path == "/kv-list" {
			fmt.Fprint(w, `{"epoch":"e","next_token":1,"held":[]}`)
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: sig.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", call, call)
		first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		for n := first + 1; n <= unframedEvents; n++ {
			if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s v1 %d\n\n", n, id, n); err != nil {
				return
			}
			time.Sleep(unframedPause)
		}
	}))
}

// process starts the replica's process.
func (e *engine) process() (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := exec.Command(self, "replica", e.address, e.id)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	e.world.say("replica %s starts", e.id)
	return command, command.Start()
}

// unframed: an edge machine freezes; meanwhile the replica of its streams crashes and starts again.
func unframed(w *world) (int, error) {
	var replicas []*engine
	var processes []*exec.Cmd
	defer func() {
		for _, process := range processes {
			_ = process.Process.Kill()
			_ = process.Wait()
		}
	}()
	for i := range unframedReplicas {
		e, err := w.engine(i, "decode")
		if err != nil {
			return failed, err
		}
		_ = e.server.Close() // a process of its own takes its place
		process, err := e.process()
		if err != nil {
			return failed, err
		}
		replicas, processes = append(replicas, e), append(processes, process)
	}
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
	if status, err := w.operator(ctx, controls, 1, w.engineConfig(1, soundSheet())); status != 200 {
		return failed, fmt.Errorf("configuration: %d %v", status, err)
	}
	time.Sleep(8 * time.Second)
	var group sync.WaitGroup
	var lock sync.Mutex
	whole, early, broke := 0, 0, 0
	for i := range unframedStreams {
		group.Go(func() {
			id := fmt.Sprintf("%016x", i+1)
			events, _, replicas, err := w.stream(edges[0], id)
			w.say("stream %s: %d of %d events, replicas %v, the answer is complete: %v %v", id, events, unframedEvents, replicas, err == nil, err)
			lock.Lock()
			defer lock.Unlock()
			switch {
			case err != nil:
				broke++
			case events < unframedEvents:
				early++
			default:
				whole++
			}
		})
	}
	began := time.Now()
	at := func(ms int) { time.Sleep(time.Until(began.Add(time.Duration(ms) * time.Millisecond))) }
	if w.trouble {
		at(1000)
		if os.Getenv("NO_FREEZE") == "" {
			edges[0].signal(syscall.SIGSTOP)
		}
		at(1300)
		e := replicas[0]
		_ = processes[0].Process.Kill()
		_ = processes[0].Wait()
		w.say("replica %s is killed", e.id)
		at(3000)
		w.lock.Lock()
		e.id = strings.Replace(e.id, "i-", "i-again-", 1)
		w.lock.Unlock()
		process, err := e.process()
		if err != nil {
			return failed, err
		}
		processes[0] = process
		w.publish()
		at(3800)
		edges[0].signal(syscall.SIGCONT)
	}
	group.Wait()
	line := fmt.Sprintf("%d streams: %d whole, %d broken off, %d look complete and are not", unframedStreams, whole, broke, early)
	w.say("%s", line)
	fmt.Println(line)
	if early > 0 {
		return broken, nil
	}
	return held, nil
}
