package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// residentMB returns the resident memory of the machine's process.
func (m *machine) residentMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.command.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// watchMemory is the platform: a process that exceeds its machine's memory is killed, and started
// again after a short delay. It returns the largest figure that was seen, and the kills.
func (m *machine) watchMemory(stop chan struct{}) (peak, kills *int) {
	peak, kills = new(int), new(int)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			now := m.residentMB()
			*peak = max(*peak, now)
			if now > m.memoryMB {
				m.world.say("%s has %d MB of %d: the platform kills it", m.name, now, m.memoryMB)
				_ = m.command.Process.Signal(syscall.SIGKILL)
				<-m.done
				*kills++
				time.Sleep(300 * time.Millisecond)
				if m.start() != nil {
					return
				}
			}
		}
	}()
	return peak, kills
}

// pacedBody is a body that its caller sends at a pace.
type pacedBody struct {
	left   int
	pause  time.Duration // after each piece
	nextAt time.Time
}

const pieceBytes = 32 << 10

func (b *pacedBody) Read(buffer []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.nextAt.IsZero() {
		b.nextAt = time.Now()
	}
	time.Sleep(time.Until(b.nextAt))
	b.nextAt = b.nextAt.Add(b.pause)
	count := min(len(buffer), b.left, pieceBytes)
	for i := range buffer[:count] {
		buffer[i] = 'x'
	}
	b.left -= count
	return count, nil
}

// Figures of the memory case.
const (
	maxBody       = 4194304   // limits.max_body_bytes
	usualCallers  = 30.0      // at once, at one machine
	burstX        = 1.7       // the site's dose of burst
	uploadBytes   = 100000000 // a second at one machine, of the 125 MB that its link carries
	digestSeconds = 6
)

// memory: callers send bodies of the largest allowed size; many come at once.
func memory(w *world) (int, error) {
	callers := int(usualCallers)
	if w.trouble {
		callers = int(math.Floor(usualCallers * burstX))
	}
	if n, err := strconv.Atoi(os.Getenv("CALLERS")); err == nil {
		callers = n
	}
	for i := range 9 {
		if err := w.addEngine(i, []string{"decode", "prefill", "decode"}[i%3]); err != nil {
			return failed, err
		}
	}
	for i := range 3 {
		if _, err := w.addReplica(10+i, "tilegate", 15*time.Millisecond); err != nil {
			return failed, err
		}
	}
	var core, edges []*machine
	for i := range 5 {
		core = append(core, w.add("core", i))
	}
	for i := range 3 {
		edges = append(edges, w.add("edge", i))
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
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	time.Sleep(500 * time.Millisecond)
	if status, err := w.operator(ctx, controls, 1, w.engineConfig(1, soundSheet())); status != 200 {
		return failed, fmt.Errorf("configuration: %d %v", status, err)
	}
	time.Sleep(8 * time.Second)
	stop := make(chan struct{})
	var peaks, kills []*int
	for _, edge := range edges[:2] {
		peak, killed := edge.watchMemory(stop)
		peaks, kills = append(peaks, peak), append(kills, killed)
	}
	for round := range 5 {
		ends := map[string]int{}
		var group sync.WaitGroup
		var lock sync.Mutex
		for e, edge := range edges[:2] {
			for i := range callers {
				group.Go(func() {
					end := w.upload(edge, fmt.Sprintf("%d%d%014x", round, e, i), callers)
					lock.Lock()
					defer lock.Unlock()
					ends[end]++
				})
			}
		}
		group.Wait()
		w.say("round %d, %d callers at once at each of two edge machines: %v", round+1, callers, ends)
		time.Sleep(5 * time.Second)
	}
	close(stop)
	ended := 0
	for e, edge := range edges[:2] {
		line := fmt.Sprintf("%s: peak %d MB of %d, ended %d times", edge.name, *peaks[e], edge.memoryMB, *kills[e])
		w.say("%s", line)
		fmt.Println(line)
		if *kills[e] >= 3 {
			ended++
		}
	}
	if ended >= 2 { // of eight machines in use, a tenth, but two at least
		return broken, nil
	}
	return held, nil
}

// upload sends one request with the largest body and says how it ended.
func (w *world) upload(edge *machine, id string, callers int) string {
	ctx, cancel := context.WithTimeout(context.Background(), digestSeconds*time.Second)
	defer cancel()
	body := &pacedBody{left: maxBody, pause: time.Duration(float64(pieceBytes*callers) / uploadBytes * float64(time.Second))}
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge.address(portFront)+"/digest/x", body)
	request.ContentLength = maxBody
	request.Host = "ficu95.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Request-Deadline", strconv.Itoa(digestSeconds*1000))
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Count", "3720,15")
	request.Header.Set("Prefix-Hash", fmt.Sprintf("5c1e07a2:800,%s:2920", id))
	status, pieces := "", 0
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err == nil {
		status = response.Status
		var answer []byte
		answer, err = io.ReadAll(response.Body)
		pieces = bytes.Count(answer, []byte("data:"))
		_ = response.Body.Close()
	}
	w.lock.Lock()
	ran := w.runs[id]
	w.lock.Unlock()
	w.say("request %s at %s: %q, %d pieces, error %v, run %d times", id, edge.name, status, pieces, err, ran)
	switch {
	case err == nil:
		return status
	case ran > 0:
		return "run and not answered"
	default:
		return "not answered"
	}
}
