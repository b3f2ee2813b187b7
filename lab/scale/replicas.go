package scale

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/lab/engine"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
)

// pathRestart makes the replica that is asked start again as a new incarnation.
const pathRestart = "/scale/restart"

// engineSpeed shortens the weight loads of restarted replicas.
const engineSpeed = 8

// ReplicasConfig says which replicas of the fleet a process holds.
type ReplicasConfig struct {
	First int
	Count int
	Port  int // the same for all: each has an IP number of its own
}

// Replicas are stand-in engines that share a process. They run no requests.
type Replicas struct {
	server    *http.Server
	listeners []net.Listener
	byAddress map[string]*replica
	serving   sync.WaitGroup
}

// replica is one stand-in engine at its address; a restart replaces the engine.
type replica struct {
	index   int
	current atomic.Pointer[incarnation]
	restart sync.Mutex
}

type incarnation struct {
	engine  *engine.Server
	handler http.Handler
}

// StartReplicas starts the replicas. Close ends them.
func StartReplicas(config ReplicasConfig) (*Replicas, error) {
	r := &Replicas{byAddress: map[string]*replica{}}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 10 * time.Second}
	for i := config.First; i < config.First+config.Count; i++ {
		if err := r.add(i, config.Port); err != nil {
			r.Close()
			return nil, err
		}
	}
	for _, listener := range r.listeners {
		r.serving.Go(func() { _ = r.server.Serve(listener) }) // ends with Close
	}
	return r, nil
}

// RunReplicas holds the replicas until ctx ends.
func RunReplicas(ctx context.Context, config ReplicasConfig) error {
	started, err := StartReplicas(config)
	if err != nil {
		return err
	}
	<-ctx.Done()
	started.Close()
	return nil
}

func (r *Replicas) add(i, port int) error {
	address := replicaAddress(i, port)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "scale: listen for a replica")
	}
	r.listeners = append(r.listeners, listener)
	added := &replica{index: i}
	r.byAddress[address] = added
	config := enginemodel.DefaultConfig(engineName(i), 0)
	config.Assignment = assignmentOf(i)
	return added.start(config)
}

// Close ends all replicas.
func (r *Replicas) Close() {
	_ = r.server.Close()
	for _, listener := range r.listeners {
		_ = listener.Close() // the server may not have taken it over
	}
	r.serving.Wait()
	for _, held := range r.byAddress {
		held.stop()
	}
}

// serve hands a request to the replica whose address it came to.
func (r *Replicas) serve(w http.ResponseWriter, request *http.Request) {
	local, _ := request.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if local == nil || r.byAddress[local.String()] == nil {
		http.NotFound(w, request)
		return
	}
	held := r.byAddress[local.String()]
	if request.URL.Path == pathRestart {
		held.startAgain(w)
		return
	}
	if current := held.current.Load(); current != nil {
		current.handler.ServeHTTP(w, request)
		return
	}
	http.Error(w, "stopped", http.StatusServiceUnavailable)
}

func (r *replica) start(config enginemodel.Config) error {
	config.Speed = engineSpeed
	started, err := engine.NewServer(engine.Config{Model: config})
	if err != nil {
		return errors.Wrap(err, "scale: start a replica")
	}
	r.current.Store(&incarnation{engine: started, handler: started.Handler()})
	return nil
}

func (r *replica) stop() {
	if ended := r.current.Swap(nil); ended != nil {
		_ = ended.engine.Close() // its ledger is in memory
	}
}

// startAgain answers once a new incarnation without an assignment runs.
func (r *replica) startAgain(w http.ResponseWriter) {
	r.restart.Lock()
	defer r.restart.Unlock()
	r.stop()
	if err := r.start(enginemodel.DefaultConfig(engineName(r.index), 0)); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
