package fleet

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/lab/trace"
)

// Constants of the cost measurement.
const (
	costRounds      = 1500
	costWorkers     = 8
	costSpell       = 3 * time.Second
	clockTick       = 10 * time.Millisecond // of the times in /proc
	prefixForwarder = "forwarder"
	procFieldsAfter = 11 // fields of /proc/PID/stat from the state to the user time
)

// PathCost compares the proxy with a plain forwarder on the way to one back end.
// The times are medians of requests sent one at a time, in turn by each way.
type PathCost struct {
	DirectMicroseconds    float64 `json:"direct_us"`
	ForwarderMicroseconds float64 `json:"forwarder_us"`
	ProxyMicroseconds     float64 `json:"proxy_us"`
	// TimeRatio is the time that the proxy adds over the time that the forwarder adds.
	TimeRatio float64 `json:"time_ratio"`
	// ForwarderProcessor and ProxyProcessor are processor time of the process for a
	// request, with eight requests in flight.
	ForwarderProcessor float64 `json:"forwarder_cpu_us"`
	ProxyProcessor     float64 `json:"proxy_cpu_us"`
	ProcessorRatio     float64 `json:"cpu_ratio"`
}

// way is one way to a back end.
type way struct {
	process string
	url     string
	client  *http.Client
	times   []time.Duration
}

func newWay(process, url string) *way {
	transport := &http.Transport{MaxIdleConnsPerHost: costWorkers}
	return &way{process: process, url: url, client: &http.Client{Transport: transport}}
}

// measureCost compares the forwarder to the first back end with the first proxy.
func (f *Fleet) measureCost(forwarder string) (PathCost, error) {
	sample, err := f.plainItem()
	if err != nil {
		return PathCost{}, err
	}
	path := "/" + sample.Class + "/cost"
	proxy := f.layout.proxies[0]
	direct := newWay("", "http://"+f.layout.backends[0].address+path)
	forwarded := newWay(prefixForwarder, "http://"+forwarder+path)
	proxied := newWay(prefixProxy+proxy.zone, "http://"+proxy.address+"/services/"+sample.Service+path)
	ways := []*way{direct, forwarded, proxied}
	for _, one := range ways {
		defer one.client.CloseIdleConnections()
	}
	if err := timeWays(ways, &sample); err != nil {
		return PathCost{}, err
	}
	cost := PathCost{
		DirectMicroseconds:    microseconds(quantile(direct.times, 0.5)),
		ForwarderMicroseconds: microseconds(quantile(forwarded.times, 0.5)),
		ProxyMicroseconds:     microseconds(quantile(proxied.times, 0.5)),
	}
	cost.TimeRatio = (cost.ProxyMicroseconds - cost.DirectMicroseconds) / (cost.ForwarderMicroseconds - cost.DirectMicroseconds)
	if cost.ForwarderProcessor, err = f.processorOf(forwarded, &sample); err != nil {
		return cost, err
	}
	if cost.ProxyProcessor, err = f.processorOf(proxied, &sample); err != nil {
		return cost, err
	}
	cost.ProcessorRatio = cost.ProxyProcessor / cost.ForwarderProcessor
	return cost, nil
}

func microseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Microsecond)
}

func (f *Fleet) startForwarder() (string, error) {
	free, err := freeAddresses(1)
	if err != nil {
		return "", err
	}
	err = f.run.start(prefixForwarder, f.config.Lab, "forwarder", "--listen", free[0], "--target", f.layout.backends[0].address)
	if err != nil {
		return "", err
	}
	return free[0], waitDial(f.run.context, free[0])
}

// timeWays sends one request at a time, by each way in turn.
func timeWays(ways []*way, sample *trace.Item) error {
	for range costRounds {
		for _, one := range ways {
			started := time.Now()
			if err := one.send(sample); err != nil {
				return err
			}
			one.times = append(one.times, time.Since(started))
		}
	}
	return nil
}

func (w *way) send(sample *trace.Item) error {
	request, err := http.NewRequest(http.MethodGet, w.url, nil)
	if err != nil {
		return errors.Wrap(err, "fleet: cost request")
	}
	request.Header.Set("Landingtrail-Class", sample.Class)
	request.Header.Set("Landingtrail-Tenant", sample.Tenant)
	response, err := w.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "fleet: cost request")
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return errors.Wrap(err, "fleet: cost answer")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("fleet: cost request by %s: %s", w.process, response.Status)
	}
	return nil
}

// processorOf returns the processor time, in microseconds, that a request
// costs the way's process, less what the process costs while none comes.
func (f *Fleet) processorOf(w *way, sample *trace.Item) (float64, error) {
	pid := f.run.find(w.process).command.Process.Pid
	idle, _, err := processorDuring(pid, func() (int64, error) {
		time.Sleep(costSpell)
		return 1, nil
	})
	if err != nil {
		return 0, err
	}
	busy, requests, err := processorDuring(pid, func() (int64, error) { return w.sendMany(sample) })
	if err != nil {
		return 0, err
	}
	return microseconds(busy-idle) / float64(requests), nil
}

// sendMany keeps several requests in flight for a while and counts them.
func (w *way) sendMany(sample *trace.Item) (int64, error) {
	var count atomic.Int64
	var failure atomic.Pointer[error]
	var waiting sync.WaitGroup
	end := time.Now().Add(costSpell)
	for range costWorkers {
		waiting.Go(func() {
			for time.Now().Before(end) {
				if err := w.send(sample); err != nil {
					failure.Store(&err)
					return
				}
				count.Add(1)
			}
		})
	}
	waiting.Wait()
	if err := failure.Load(); err != nil {
		return 0, *err
	}
	return count.Load(), nil
}

func processorDuring(pid int, act func() (int64, error)) (time.Duration, int64, error) {
	before, err := processorTime(pid)
	if err != nil {
		return 0, 0, err
	}
	count, err := act()
	if err != nil {
		return 0, 0, err
	}
	after, err := processorTime(pid)
	return after - before, count, err
}

// processorTime returns a process's user and system time.
func processorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "fleet: processor time")
	}
	// The program's name, in parentheses, may hold spaces.
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	var ticks uint64
	for _, field := range fields[procFieldsAfter : procFieldsAfter+2] {
		number, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "fleet: processor time")
		}
		ticks += number
	}
	return time.Duration(ticks) * clockTick, nil
}

// loadAverage returns the machine's over the last minute, 0 where there is none.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	value, _ := strconv.ParseFloat(first, 64)
	return value
}
