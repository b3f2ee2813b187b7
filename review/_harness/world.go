// Command harness plays the cases of the review: it starts the project's program as separate
// processes, is the platform, the replicas, the operator and the clients around them, and writes
// what it saw to a record.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is everything around the processes of one case.
type world struct {
	folder  string // temporary; holds settings, disks and logs
	record  *os.File
	started time.Time
	trouble bool

	lock     sync.Mutex
	machines []*machine
	replicas []*replica
	list     []listState // the platform's list, the newest state last
	seeds    []string    // control addresses
	octet    int
	base     int // first port of the day
	cloud    string
	foreign  string         // the bytes of an entry of another writer, which cannot be read
	runs     map[string]int // how often a request id was run
}

// listState is the platform's list from a moment on. It is shown lagMS later.
type listState struct {
	at      time.Time
	entries []map[string]any
}

const lagMS = 800

func newWorld() (*world, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, record: record, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0",
		runs: map[string]int{}, octet: 1 + rand.IntN(250)}
	for try := 0; ; try++ {
		w.base = 20000 + 64*rand.IntN(180)
		if w.free() {
			break
		}
		if try > 50 {
			return nil, fmt.Errorf("no free ports")
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.cloud = listener.Addr().String()
	go func() { _ = http.Serve(listener, http.HandlerFunc(w.serveList)) }()
	return w, nil
}

func (w *world) free() bool {
	for port := w.base; port < w.base+24; port++ {
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// say writes a line to the record.
func (w *world) say(format string, args ...any) {
	w.lock.Lock()
	defer w.lock.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one machine of the system with its process.
type machine struct {
	world         *world
	role, class   string
	name, ip      string
	zone          string
	bootstrap     bool
	command       *exec.Cmd
	done          chan struct{}
	expected      bool // the process was killed by the case
	ends          int
	memoryMB      int
	settingsExtra map[string]any
}

// Ports of a day; they are the same on all machines.
func (w *world) port(offset int) string { return strconv.Itoa(w.base + offset) }

const (
	portControl = 0
	portFront   = 1
	portReady   = 2
	portDir     = 3
	portRange   = 4 // to 19
)

var zones = []string{"hall-mechelen", "hall-leuven", "hall-wavre"}

// add makes a machine; it does not start it.
func (w *world) add(class string, number int) *machine {
	w.lock.Lock()
	defer w.lock.Unlock()
	role, digit := "control", 10
	if class == "edge" {
		role, digit = "proxy", 100
	}
	m := &machine{world: w, role: role, class: class, zone: zones[number%3], memoryMB: 284,
		name: fmt.Sprintf("%s-%d", class, number), ip: fmt.Sprintf("127.77.%d.%d", w.octet, digit+number)}
	w.machines = append(w.machines, m)
	return m
}

func (m *machine) address(port int) string { return m.ip + ":" + m.world.port(port) }

func (m *machine) settings() map[string]any {
	w := m.world
	first := w.base + portRange
	set := map[string]any{
		"node_name": m.name, "role": m.role, "machine_class": m.class, "ip": m.ip, "zone": m.zone, "region": "be-central",
		"zones":      map[string]string{zones[0]: "be-central", zones[1]: "be-central", zones[2]: "be-central"},
		"port_range": []int{first, first + 15}, "seeds": w.seeds, "bootstrap": m.bootstrap,
		"counted_in_tolerance": m.class == "core", "discovery": "cloud_api", "entry": "directory", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0}, "config_mode": "highest",
		"cloud_api": map[string]any{"address": w.cloud, "rate_per_s": 42.0, "duties": []string{}, "lag_ms": lagMS},
		"bounds": map[string]any{"seed_lag_s": 3, "addr_reuse_s": 2, "touch_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
			"drain_ms": 3000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
			"max_stretch_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_min_retries": 54, "recovery_s": 12,
			"transit_ms": 120, "retry_after_s": 10, "enforce_fencing": true, "lease_ms": 3000, "thaw_slack_ms": 300, "ttl_max_s": 5},
	}
	if m.class == "edge" {
		set["serves"] = []string{"edge"}
		set["listen"] = map[string]string{"front": m.address(portFront), "ready": m.address(portReady)}
		set["data_dir"] = nil
		set["limits"] = map[string]any{"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": m.memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
	} else {
		set["serves"] = []string{"control", "directory"}
		set["listen"] = map[string]string{"control": m.address(portControl), "directory": m.address(portDir)}
		set["data_dir"] = filepath.Join(w.folder, m.name+".disk")
		set["limits"] = map[string]any{"cpu_share": 0.96, "cpu_cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 128}
	}
	for key, value := range m.settingsExtra {
		set[key] = value
	}
	return set
}

func (m *machine) settingsPath() string { return filepath.Join(m.world.folder, m.name+".json") }

// writeSettings puts the settings file in place as a whole.
func (m *machine) writeSettings() error {
	data, err := json.Marshal(m.settings())
	if err != nil {
		return err
	}
	if err := os.WriteFile(m.settingsPath()+".next", data, 0o600); err != nil {
		return err
	}
	return os.Rename(m.settingsPath()+".next", m.settingsPath())
}

// start begins a life of the machine's process.
func (m *machine) start() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	m.bootstrap = false // is true at the first start only
	if m.class == "core" {
		if err := os.MkdirAll(filepath.Join(m.world.folder, m.name+".disk"), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(m.world.folder, m.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.command = exec.Command("target/landingtrail-node", m.role)
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.world.folder, "LANG=C", "LANDINGTRAIL_BOOT=" + m.settingsPath()}
	m.command.Stdout, m.command.Stderr = log, log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	m.expected = false
	m.done = make(chan struct{})
	m.world.say("start %s at %s", m.name, m.ip)
	command, done := m.command, m.done
	go func() {
		_ = command.Wait()
		close(done)
		m.world.lock.Lock()
		if !m.expected {
			m.ends++
		}
		m.world.lock.Unlock()
		m.world.say("end %s %s", m.name, command.ProcessState)
	}()
	return nil
}

// signal sends a signal to the machine's process.
func (m *machine) signal(signal syscall.Signal) {
	m.world.say("signal %s %s", m.name, signal)
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		m.world.lock.Lock()
		m.expected = true
		m.world.lock.Unlock()
	}
	_ = m.command.Process.Signal(signal)
}

// kill ends the process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.done
}

// close ends every process that the case started.
func (w *world) close() {
	for _, m := range w.machines {
		if m.command == nil {
			continue
		}
		select {
		case <-m.done:
			continue
		default:
		}
		m.world.lock.Lock()
		m.expected = true
		m.world.lock.Unlock()
		_ = m.command.Process.Signal(syscall.SIGCONT)
		_ = m.command.Process.Kill()
		<-m.done
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println(w.folder)
	}
}

// publish records the list of replicas as it is now.
func (w *world) publish() {
	w.lock.Lock()
	defer w.lock.Unlock()
	var entries []map[string]any
	for _, r := range w.replicas {
		if r.listed == "" {
			continue
		}
		entry := map[string]any{"id": r.id, "service": r.service, "address": r.listedAddress, "zone": r.zone, "generation": r.generation,
			"slots": r.slots, "state": r.listed, "cold_left_ms": 0}
		if r.born != 0 {
			entry["born"] = r.born
		}
		if r.stage != "" {
			entry["stage"] = r.stage
			entry["models"] = []map[string]any{{"name": "m", "generation": 1, "adapters": []string{}}}
		}
		entries = append(entries, entry)
	}
	w.list = append(w.list, listState{time.Now(), entries})
}

// serveList answers with the list as it was lagMS ago, a page of 50 at a time.
func (w *world) serveList(writer http.ResponseWriter, r *http.Request) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if r.URL.Path != "/instances" {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	entries := []map[string]any{}
	for _, state := range w.list {
		if time.Since(state.at) >= lagMS*time.Millisecond || state.at.Before(w.started.Add(time.Second)) {
			entries = state.entries
		}
	}
	if zone := r.URL.Query().Get("zone"); zone != "" {
		var in []map[string]any
		for _, entry := range entries {
			if entry["zone"] == zone {
				in = append(in, entry)
			}
		}
		entries = in
	}
	first, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Query().Get("page_token"), "p-"))
	last := min(first+50, len(entries))
	answer := map[string]any{"instances": entries[first:last], "next_token": nil}
	if last < len(entries) {
		answer["next_token"] = "p-" + strconv.Itoa(last)
	}
	body, _ := json.Marshal(answer)
	if w.foreign != "" { // stands behind the first entry
		body = bytes.Replace(body, []byte("},"), []byte("},"+w.foreign+","), 1)
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body)
}

// operator sends a configuration until it has a clear answer or the context ends. It chooses from
// the given control addresses, and takes the next one after a failure, with a growing pause.
func (w *world) operator(ctx context.Context, addresses func() []string, generation int, config map[string]any) (int, error) {
	body, err := json.Marshal(config)
	if err != nil {
		return 0, err
	}
	wait := 100 * time.Millisecond
	for try := 0; ctx.Err() == nil; try++ {
		all := addresses()
		status := w.call(ctx, http.MethodPost, "http://"+all[try%len(all)]+"/Config.Replace", body)
		switch status {
		case 200, 400, 409, 412, 413, 422:
			w.say("operator generation %d: %d from %s, try %d", generation, status, all[try%len(all)], try+1)
			return status, nil
		}
		if try < 5 || try%20 == 0 {
			w.say("operator generation %d: %d from %s, try %d", generation, status, all[try%len(all)], try+1)
		}
		time.Sleep(wait)
		wait = min(wait*3/2, time.Second)
	}
	return 0, ctx.Err()
}

// call makes one call, and follows 307 twice; 0 stands for no answer within a second.
func (w *world) call(ctx context.Context, method, target string, body []byte) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// resolve asks the directory of a control machine where to go.
func (w *world) resolve(directories []string, host, zone string) []string {
	for _, address := range directories {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/resolve?name="+host+"&region=be-central&zone="+zone, nil)
		response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
		if err != nil {
			cancel()
			continue
		}
		var told struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(response.Body).Decode(&told)
		_ = response.Body.Close()
		cancel()
		if err == nil && len(told.Addresses) > 0 {
			return told.Addresses
		}
	}
	return nil
}
