package ingress

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// endlessLoad is the result of calls to two proxies with six replicas.
type endlessLoad struct {
	calls, complete int
	slow            int // calls that took longer than slowAfter
	longest         time.Duration
	asked           int    // requests that the faulty replica received
	heap            uint64 // the most that was in use
}

// Times of a load: the calls start at this interval at each proxy, the replica becomes faulty after warmUp, and
// a call is slow from slowCall on.
const (
	loadInterval = 8 * time.Millisecond
	loadTime     = 2500 * time.Millisecond
	warmUp       = 500 * time.Millisecond
	slowCall     = 600 * time.Millisecond
)

// runEndlessLoad sends calls of three routes to two proxies. faulty, if not nil, is how one of the six replicas
// answers after warmUp.
func runEndlessLoad(t *testing.T, slowAfter time.Duration, faulty http.HandlerFunc) endlessLoad {
	var isFaulty atomic.Bool
	sound := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		if r.URL.Path == "/resume/" {
			streamEvents(3, "")(w, r)
			return
		}
		answerOK(w, r)
	}
	var replicas []*fakeReplica
	var asked atomic.Int64
	for i := range 6 {
		handle := http.HandlerFunc(sound)
		if i == 0 && faulty != nil {
			handle = func(w http.ResponseWriter, r *http.Request) {
				if !isFaulty.Load() {
					sound(w, r)
					return
				}
				asked.Add(1)
				faulty(w, r)
			}
		}
		replicas = append(replicas, newFakeReplica(t, "r-"+strconv.Itoa(i), handle))
	}
	proxies := []*testEnv{newTestEnv(t, replicas...), newTestEnv(t, replicas...)}
	var result endlessLoad
	var lock sync.Mutex
	var calls sync.WaitGroup
	for _, proxy := range proxies { // both have served the routes before
		for i := range minKnownOnce {
			calls.Go(func() { proxy.do(plainRequest("unsafe", i)) })
			calls.Go(func() { proxy.do(plainRequest("safe", i)) })
		}
		calls.Wait()
	}
	var heap atomic.Uint64
	stopHeap := sampleHeap(&heap)
	paths := []string{"safe", "safe", "unsafe", "resume", "resume"}
	begun := time.Now()
	for i := 0; time.Since(begun) < loadTime; i++ {
		isFaulty.Store(time.Since(begun) > warmUp)
		for number, proxy := range proxies {
			path := paths[(i+number)%len(paths)]
			calls.Go(func() {
				sentAt := time.Now()
				completed := proxy.call(plainRequest(path, i))
				took := time.Since(sentAt)
				lock.Lock()
				defer lock.Unlock()
				result.calls++
				if completed {
					result.complete++
				}
				if took > slowAfter {
					result.slow++
				}
				result.longest = max(result.longest, took)
			})
		}
		time.Sleep(loadInterval)
	}
	calls.Wait()
	stopHeap()
	result.asked, result.heap = int(asked.Load()), heap.Load()
	return result
}

// call makes a call and reports whether a complete answer of a run came. It keeps nothing of the body, which would
// count as memory.
func (env *testEnv) call(params testRequest) bool {
	request, err := http.NewRequest(params.method, env.server.URL+params.target, nil)
	must.NoError(env.t, err)
	request.Host = "a.example"
	request.Header.Set(testID, params.id)
	response, err := testClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// sampleHeap records the most heap memory in use until the returned function is called.
func sampleHeap(most *atomic.Uint64) (stop func()) {
	done := make(chan struct{})
	var sampling sync.WaitGroup
	sampling.Go(func() {
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			most.Store(max(most.Load(), stats.HeapInuse))
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	return func() { close(done); sampling.Wait() }
}

// Guards against a replica that sends without end and takes its service's callers with it: with one in six,
// 0.984 of the calls were complete and 12 of 758 waited until their deadline, in which 590 MB were passed on.
// 0.99 must be complete, none slow that was not before, and no more than 20 MB of memory be used for it.
func TestReplicaThatSendsWithoutEndHarmsFewCalls(t *testing.T) {
	const (
		minComplete = 0.99
		maxHeapMore = 20 << 20
		maxAsked    = 30 // a sixth of the calls would be some 80
	)
	before := runEndlessLoad(t, slowCall, nil)
	t.Logf("before: %+v", before)
	must.Eq(t, before.calls, before.complete)
	for _, fault := range []struct {
		name  string
		begin func(r *http.Request) string
		piece string
	}{
		{"head", beginHead, "Padding: x\r\n"},
		{"body", beginClose, "x"},
		{"chunks", beginChunks, pieceOfChunks},
		{"comments", beginClose, ": x\n\n"},
	} {
		for _, slowly := range []bool{false, true} {
			t.Run(fmt.Sprint(fault.name, map[bool]string{true: ", slowly"}[slowly]), func(t *testing.T) {
				// What a busy machine adds to a call is in the run before.
				got := runEndlessLoad(t, slowCall+before.longest, sendWithoutEnd(fault.begin, fault.piece, slowly))
				t.Logf("%+v", got)
				must.GreaterEq(t, minComplete, float64(got.complete)/float64(got.calls))
				must.Eq(t, 0, got.slow)
				must.LessEq(t, before.heap+maxHeapMore, got.heap)
				must.Positive(t, got.asked)
				must.LessEq(t, maxAsked, got.asked)
			})
		}
	}
}
