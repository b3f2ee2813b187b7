// Package engine is the lab's stand-in for a model engine: it runs the engine
// model in real time behind the published engine protocol.
//
// It is built on net/http alone, since it plays another party's program and has
// to drop connections in the middle of a stream when it is told to.
package engine

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/lab/engine/ledger"
	"github.com/landingtrail/landingtrail/lab/enginemodel"
	"github.com/landingtrail/landingtrail/lab/platform"
	"github.com/landingtrail/landingtrail/lab/platform/labhttp"
	"github.com/landingtrail/landingtrail/request/prefix"
)

const (
	// DefaultStopTimeout bounds how long a planned stop waits for running answers.
	DefaultStopTimeout = 10 * time.Minute
	// DefaultMaxTokens is the length of an answer whose request names none.
	DefaultMaxTokens = 16

	peerTimeout   = 30 * time.Second
	drainInterval = 20 * time.Millisecond
	// quietPeriod is how long no work may have come or ended before a stopping engine
	// goes: until then it refuses each request in so many words. Work that is on
	// its way when a connection closes has an unknown outcome for its sender.
	quietPeriod = 500 * time.Millisecond
	idleStep    = time.Second // an idle engine still expires what it keeps
)

// Config is what a stand-in engine is made of.
type Config struct {
	Listen string // IP and port
	// Model is the engine model's configuration; an incarnation of 0 is drawn
	// anew. Its weight loads come from Platform, if that is set.
	Model enginemodel.Config
	// Platform is the IP and port of the platform's server, "" for none.
	Platform string
	// Machine is the engine's machine on the platform's list; "" is the engine's name.
	Machine string
	// LedgerPath keeps the ledger in a file that outlives a kill; "" keeps it in memory.
	LedgerPath  string
	StopTimeout time.Duration // 0 is DefaultStopTimeout
	Logger      log.Logger    // nil logs nothing
}

// Server is one stand-in engine; it is safe for concurrent use.
type Server struct {
	config  Config
	started time.Time
	ledger  *ledger.Ledger
	client  *http.Client
	wake    chan struct{}
	tasks   sync.WaitGroup
	context context.Context
	cancel  context.CancelFunc
	// lastWork is the time at which work last came, in the model's time.
	lastWork atomic.Int64

	// mu guards the model and everything that must agree with it: a batch is
	// one sequential process.
	mu      sync.Mutex
	model   *enginemodel.Engine
	runs    map[enginemodel.RunKey]*run
	fault   activeFault
	leaving map[leaveCause]bool
}

// NewServer returns an engine that runs until Close.
func NewServer(config Config) (*Server, error) {
	if config.Model.Incarnation == 0 {
		config.Model.Incarnation = drawIncarnation()
	}
	if config.Machine == "" {
		config.Machine = config.Model.Engine
	}
	if config.StopTimeout == 0 {
		config.StopTimeout = DefaultStopTimeout
	}
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	config.Model.BlockTokens = prefix.BlockWords
	config.Model.ExternalLoad = config.Platform != ""
	runs, err := ledger.Open(config.Model.Engine, ledger.DefaultLimit, config.LedgerPath)
	if err != nil {
		return nil, err
	}
	server := &Server{
		config:  config,
		started: time.Now(),
		ledger:  runs,
		client:  &http.Client{Transport: &http.Transport{}},
		wake:    make(chan struct{}, 1),
		model:   enginemodel.New(config.Model),
		runs:    map[enginemodel.RunKey]*run{},
		leaving: map[leaveCause]bool{},
	}
	server.context, server.cancel = context.WithCancel(context.Background())
	server.start(server.loop)
	if config.Platform != "" {
		server.start(server.watchMachine)
	}
	return server, nil
}

// drawIncarnation returns a random number that is not 0.
func drawIncarnation() uint64 {
	var drawn [8]byte
	_, _ = rand.Read(drawn[:]) // never fails
	return binary.LittleEndian.Uint64(drawn[:]) | 1
}

// start runs a task that ends with the server's context.
func (s *Server) start(task func()) {
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		task()
	}()
}

// Close ends the engine at once; a run that is still going is cut short.
func (s *Server) Close() error {
	s.cancel()
	s.tasks.Wait()
	s.mu.Lock()
	for _, unfinished := range s.runs {
		s.endRun(unfinished, runBroken, ledger.EventCutShort, "stop")
	}
	s.mu.Unlock()
	s.client.CloseIdleConnections()
	return s.ledger.Close()
}

// Run serves until ctx ends; then the engine admits nothing, finishes what it
// runs and stops.
func Run(ctx context.Context, config Config) error {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if config.Model.Address == "" {
		config.Model.Address = listener.Addr().String()
	}
	server, err := NewServer(config)
	if err != nil {
		_ = listener.Close() // the first failure counts
		return err
	}
	served := labhttp.Serve(ctx, listener, server.Handler(), server.config.StopTimeout, server.drain)
	if err := server.Close(); err != nil && served == nil {
		return err
	}
	return served
}

// drain admits nothing more and returns when no run is left and no more work comes.
func (s *Server) drain(ctx context.Context) {
	s.setLeaving(leaveStop, true)
	s.noteWork()
	for ctx.Err() == nil && !(s.idle() && s.quiet()) {
		select {
		case <-ctx.Done():
		case <-time.After(drainInterval):
		}
	}
}

// noteWork keeps the time at which work came or ended.
func (s *Server) noteWork() { s.lastWork.Store(int64(s.now())) }

// quiet reports whether no work has come or ended for a while.
func (s *Server) quiet() bool { return s.now()-time.Duration(s.lastWork.Load()) > quietPeriod }

func (s *Server) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs) == 0
}

// leaveCause is one reason for which an engine leaves; it leaves while any holds.
type leaveCause string

const (
	leaveStop     leaveCause = "stop"     // the process is told to stop
	leaveMachine  leaveCause = "machine"  // the platform takes the machine away
	leaveOperator leaveCause = "operator" // POST pathLeave
)

func (s *Server) setLeaving(cause leaveCause, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leaving {
		s.leaving[cause] = true
	} else {
		delete(s.leaving, cause)
	}
	s.model.SetLeaving(s.now(), len(s.leaving) > 0)
	s.wakeLoop()
}

func (s *Server) watchMachine() {
	client := &http.Client{Transport: s.client.Transport, Timeout: platform.WatchInterval}
	platform.Watch(s.context, client, s.config.Platform, s.config.Machine, platform.WatchInterval, func(state platform.State) {
		s.setLeaving(leaveMachine, state != platform.StateLive)
	})
}

// now is the model's time.
func (s *Server) now() time.Duration { return time.Since(s.started) }

// wakeLoop makes the loop step soon.
func (s *Server) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default: // it is about to step anyway
	}
}

// loop steps the model in real time.
func (s *Server) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.context.Done():
			return
		case <-timer.C:
		case <-s.wake:
		}
		timer.Reset(s.step())
	}
}

// step steps the model and returns how long it needs no other step.
func (s *Server) step() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.stalls(s.now()) {
		return idleStep
	}
	next, events := s.model.Step(s.now())
	for i := range events {
		s.apply(&events[i])
	}
	if next == enginemodel.Never {
		return idleStep
	}
	return next - s.now()
}

// apply passes on one event of the model. The caller holds mu.
func (s *Server) apply(event *enginemodel.Event) {
	switch event.Kind {
	case enginemodel.EventToken:
		runOf(event).advance(event.Offset + 1)
	case enginemodel.EventFinished:
		s.endRun(runOf(event), runFinished, ledger.EventFinished, "")
	case enginemodel.EventExported:
		runOf(event).export(event.Handle)
		s.endRun(runOf(event), runFinished, ledger.EventExported, "")
	case enginemodel.EventCancelled:
		s.endRun(runOf(event), runCancelled, ledger.EventCancelled, string(event.Reason))
	case enginemodel.EventPhase:
		s.recordPhase()
	case enginemodel.EventLoad:
		if s.config.Platform != "" {
			load, incarnation := *event.Load, s.model.Incarnation()
			s.start(func() { s.pullWeights(load, incarnation) })
		}
	}
}

func (s *Server) recordPhase() {
	state := s.model.State()
	s.ledger.Add(ledger.Entry{
		Event:       ledger.EventPhase,
		Incarnation: state.Incarnation,
		Reason:      string(state.Phase),
		Fence:       &state.Fence,
		Assignment:  &state.Assignment,
	})
	level.Info(s.config.Logger).Log("msg", "phase", "engine", state.Engine, "phase", state.Phase)
}
