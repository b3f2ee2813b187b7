// Command rig plays the platform, the replicas, the operator and the clients beside the project's
// own program on loopback addresses, for the scripts of review/6 to review/10. It uses the standard
// library alone and speaks what the users' PROTOCOL.md and DEPLOY.md say.
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
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine; each machine has a loopback address of its own.
const (
	portFront = iota
	portReady
	portControl
	portDirectory
	portCloud
	portReplica
	portOwn   // the first of the 16 ports that are free for the system's own protocols
	portsUsed = portOwn + 16
)

// world is one small deployment: five core machines, some edge machines, and stand-ins.
type world struct {
	program string // the program that the deploy file builds
	root    string // the repository, in which it is started
	folder  string // temporary
	began   time.Time
	network int // second byte of all addresses
	port    int

	lock     sync.Mutex
	record   *os.File
	machines []*machine
	replicas []*replica
	foreign  string // the entry that another writer has left in the list
	seeds    []string
	running  sync.WaitGroup
}

// machine is one machine with one process of the system.
type machine struct {
	world  *world
	name   string
	class  string // core or edge
	zone   string
	ip     string
	data   string
	starts int

	lock    sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

func newWorld(root, record string) (*world, error) {
	w := &world{root: root, program: filepath.Join(root, "target", "landingtrail-node"), began: time.Now()}
	if _, err := os.Stat(w.program); err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w.record = file
	if w.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	return w, w.findPorts()
}

// findPorts finds a range of ports that is free on all addresses of the world.
func (w *world) findPorts() error {
	for range 50 {
		w.network, w.port = 16+rand.IntN(200), 20000+rand.IntN(12000)
		if w.portsAreFree() {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (w *world) portsAreFree() bool {
	for i := range portsUsed {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", w.network, w.port+i))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

// at returns the address of a use on a machine.
func (w *world) at(ip string, use int) string { return fmt.Sprintf("%s:%d", ip, w.port+use) }

// note writes a line to the record.
func (w *world) note(format string, values ...any) {
	w.lock.Lock()
	defer w.lock.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, values...))
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// addMachine adds a machine of a class; the first three core machines are the seeds.
func (w *world) addMachine(class string) *machine {
	number := len(w.machines) + 1
	m := &machine{world: w, name: fmt.Sprintf("%s-%d", class, number), class: class, zone: zones[number%len(zones)],
		ip: fmt.Sprintf("127.%d.1.%d", w.network, 10+number)}
	if class == "core" {
		m.data = filepath.Join(w.folder, m.name)
		if len(w.seeds) < 3 {
			w.seeds = append(w.seeds, w.at(m.ip, portControl))
		}
	}
	w.machines = append(w.machines, m)
	return m
}

// bounds are those of the small deployments' sheets.
var bounds = map[string]any{
	"seed_lag_s": 3, "addr_reuse_s": 2, "touch_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 8,
	"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "retry_budget_ratio": 0.2,
	"budget_window_s": 10, "budget_min_retries": 54, "recovery_s": 12, "transit_ms": 120, "retry_after_s": 10,
	"enforce_fencing": true, "lease_ms": 3000, "thaw_slack_ms": 300, "ttl_max_s": 5,
}

// settings returns the settings file of the machine, in the form of DEPLOY.md. bootstrap is true at
// the first start of the whole system alone.
func (m *machine) settings(bootstrap bool) []byte {
	w := m.world
	listen, serves, data := map[string]string{}, []string{}, any(nil)
	limits := map[string]any{"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
	if m.class == "core" {
		listen["control"], listen["directory"] = w.at(m.ip, portControl), w.at(m.ip, portDirectory)
		serves, data = []string{"control", "directory"}, m.data
		limits["cpu_share"], limits["memory_mb"], limits["max_fds"], limits["disk_mb"] = 0.96, 280, 4096, 128
	} else {
		listen["front"], listen["ready"] = w.at(m.ip, portFront), w.at(m.ip, portReady)
		serves = []string{"edge"}
	}
	file, err := json.MarshalIndent(map[string]any{
		"node_name": m.name, "role": map[string]string{"core": "control", "edge": "proxy"}[m.class], "machine_class": m.class,
		"serves": serves, "ip": m.ip, "zone": m.zone, "region": "region-1",
		"zones":  map[string]string{"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-1"},
		"listen": listen, "port_range": []int{w.port + portOwn, w.port + portOwn + 15}, "seeds": w.seeds, "bootstrap": bootstrap,
		"counted_in_tolerance": m.class == "core", "limits": limits, "data_dir": data, "discovery": "cloud_api", "entry": "directory",
		"heartbeat_ms": 1200, "contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0}, "bounds": bounds, "config_mode": "highest",
		"cloud_api": map[string]any{"address": w.at(w.platformIP(), portCloud), "rate_per_s": 42.0, "duties": []string{}, "lag_ms": 800},
	}, "", "  ")
	if err != nil {
		panic(err)
	}
	return file
}

func (w *world) platformIP() string { return fmt.Sprintf("127.%d.1.2", w.network) }

// start starts the machine's process with the command of the deploy file.
func (m *machine) start(bootstrap bool) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.starts++
	path := filepath.Join(m.world.folder, m.name+".json")
	if err := os.WriteFile(path, m.settings(bootstrap), 0o600); err != nil {
		return err
	}
	if m.data != "" {
		if err := os.MkdirAll(m.data, 0o700); err != nil {
			return err
		}
	}
	output, err := os.OpenFile(filepath.Join(m.world.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	role := map[string]string{"core": "control", "edge": "proxy"}[m.class]
	process := exec.Command(m.world.program, role)
	process.Dir = m.world.root
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANDINGTRAIL_BOOT=" + path}
	process.Stdout, process.Stderr = output, output
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.process, m.ended = process, ended
	m.world.note("start of %s (start %d, bootstrap %v)", m.name, m.starts, bootstrap)
	go func() {
		err := process.Wait()
		m.world.note("end of the process of %s: %v", m.name, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the machine's process.
func (m *machine) signal(signal syscall.Signal) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.process != nil {
		m.world.note("%v to %s", signal, m.name)
		_ = m.process.Process.Signal(signal)
	}
}

// kill ends the process at once and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.await()
}

func (m *machine) await() {
	m.lock.Lock()
	ended := m.ended
	m.lock.Unlock()
	if ended != nil {
		<-ended
	}
}

// close ends all processes and removes the folder.
func (w *world) close(keep bool) {
	for _, m := range w.machines {
		if m.process != nil {
			_ = m.process.Process.Kill()
			m.await()
		}
	}
	if keep {
		fmt.Fprintln(os.Stderr, "kept:", w.folder)
	} else {
		_ = os.RemoveAll(w.folder)
	}
	_ = w.record.Close()
}

// startAll starts machines in any order within 0.3 s of each other, as DEPLOY.md says.
func (w *world) startAll(order []*machine, within time.Duration) error {
	for i, m := range order {
		if i > 0 {
			time.Sleep(within / time.Duration(len(order)))
		}
		if err := m.start(true); err != nil {
			return err
		}
	}
	return nil
}

// configuration is a small one: one plain service, one safe and one unsafe route.
func configuration(generation int) []byte {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{"name": name, "hostname": "stmt.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 3000, "slo_ms": 300,
			"priority": 2, "service": "portal", "max_attempts": attempts, "sticky": false, "resumable": false}
	}
	data, err := json.Marshal(map[string]any{
		"generation": generation,
		"routes":     []any{route("r-safe", "/look/", "safe", 2), route("r-unsafe", "/pdf/", "unsafe", 1)},
		"services":   []any{map[string]any{"name": "portal", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":     map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// operator sends a configuration to the daemons that serve control, one after the other, until it is
// acknowledged or ctx ends: unchanged, after a failure, a 5xx or a second without an answer to the next
// one, with a pause that grows. It returns how long that took.
func (w *world) operator(ctx context.Context, core []*machine, document []byte) (time.Duration, bool) {
	began, client := time.Now(), &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	gap, counts := 100*time.Millisecond, map[string]int{}
	defer func() { w.note("operator: answers to the configuration: %v", counts) }()
	for i := 0; ctx.Err() == nil; i++ {
		m := core[i%len(core)]
		response, err := client.Post("http://"+w.at(m.ip, portControl)+"/Config.Replace", "application/json", bytes.NewReader(document))
		if err != nil {
			counts["none"]++
		} else {
			body, _ := io.ReadAll(response.Body)
			response.Body.Close()
			counts[fmt.Sprintf("%d %s", response.StatusCode, strings.TrimSpace(string(body)))]++
			if response.StatusCode == http.StatusOK {
				w.note("operator: %s acknowledges the configuration", m.name)
				return time.Since(began), true
			}
		}
		select {
		case <-time.After(gap):
		case <-ctx.Done():
		}
		gap = min(gap*5/4, time.Second)
	}
	return time.Since(began), false
}

// readBack asks the daemons for the newest configuration and returns the first answer with 200.
func (w *world) readBack(core []*machine, within time.Duration) ([]byte, bool) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	counts := map[string]int{}
	defer func() { w.note("operator: answers to the read: %v", counts) }()
	for began, i := time.Now(), 0; time.Since(began) < within; i++ {
		response, err := client.Get("http://" + w.at(core[i%len(core)].ip, portControl) + "/Config.Read")
		if err != nil {
			counts["none"]++
		} else {
			body, _ := io.ReadAll(response.Body)
			response.Body.Close()
			counts[fmt.Sprintf("%d", response.StatusCode)]++
			if response.StatusCode == http.StatusOK {
				return body, true
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, false
}
