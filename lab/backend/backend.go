// Package backend is the lab's stand-in for a plain back end beside the engines:
// a tile gate that renders frames, or a member portal that looks documents up.
// Like the other stand-ins it plays another party's program and is built on
// net/http alone.
package backend

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/landingtrail/landingtrail/connection/engineapi"
	"github.com/landingtrail/landingtrail/lab/engine/ledger"
	"github.com/landingtrail/landingtrail/lab/platform"
	"github.com/landingtrail/landingtrail/lab/platform/labhttp"
)

// Paths beside the service's own; every other path is work.
const (
	PathLoad   = "/load"       // GET Load
	PathLedger = "/lab/ledger" // GET ?after=SEQUENCE -> ledger.Page
	PathLeave  = "/lab/leave"  // POST LeaveRequest
	PathFault  = "/lab/fault"  // POST FaultRequest
)

// Defaults of a Config; assumptions.
const (
	DefaultServiceTime = 3 * time.Millisecond
	DefaultWorkers     = 32
	DefaultQueue       = 256
	DefaultBodyBytes   = 4 << 10
	DefaultLeaveGrace  = 2 * time.Second
	DefaultStopTimeout = time.Minute
)

// stateLeaving is the value of engineapi.HeaderBackendState.
const stateLeaving = "leaving"

// Config is what a back end is made of; zero fields get the defaults.
type Config struct {
	Listen string // IP and port
	Name   string
	// Platform is the IP and port of the platform's server, "" for none.
	Platform string
	// Machine is the machine on the platform's list; "" is the name.
	Machine     string
	ServiceTime time.Duration // of each request
	Workers     int           // requests served at a time
	Queue       int           // requests that wait for a worker
	BodyBytes   int           // of each answer
	// LeaveGrace is how long a leaving back end still takes new work.
	LeaveGrace  time.Duration
	LedgerPath  string // "" keeps the ledger in memory
	StopTimeout time.Duration
}

func (c Config) withDefaults() Config {
	c.Machine = cmp.Or(c.Machine, c.Name)
	c.ServiceTime = cmp.Or(c.ServiceTime, DefaultServiceTime)
	c.Workers = cmp.Or(c.Workers, DefaultWorkers)
	c.Queue = cmp.Or(c.Queue, DefaultQueue)
	c.BodyBytes = cmp.Or(c.BodyBytes, DefaultBodyBytes)
	c.LeaveGrace = cmp.Or(c.LeaveGrace, DefaultLeaveGrace)
	c.StopTimeout = cmp.Or(c.StopTimeout, DefaultStopTimeout)
	return c
}

// Load is a back end's report of its load.
type Load struct {
	Backend string `json:"backend"`
	State   string `json:"state"` // "live" or "leaving"
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Served  int64  `json:"served"`
}

// LeaveRequest says whether the back end's machine leaves.
type LeaveRequest struct {
	Leaving bool `json:"leaving"`
}

// FaultRequest makes every answer take longer, or, with Hang, never come.
type FaultRequest struct {
	DelayMilliseconds int64 `json:"delayMilliseconds"`
	Hang              bool  `json:"hang,omitempty"`
}

// Server is one back end; it is safe for concurrent use.
type Server struct {
	config  Config
	ledger  *ledger.Ledger
	client  *http.Client
	workers chan struct{}
	tasks   sync.WaitGroup
	context context.Context
	cancel  context.CancelFunc

	mu           sync.Mutex
	leavingSince time.Time // zero while live
	running      int
	waiting      int
	served       int64
	fault        FaultRequest
}

// NewServer returns a back end that runs until Close.
func NewServer(config Config) (*Server, error) {
	config = config.withDefaults()
	runs, err := ledger.Open(config.Name, ledger.DefaultLimit, config.LedgerPath)
	if err != nil {
		return nil, err
	}
	server := &Server{
		config:  config,
		ledger:  runs,
		client:  &http.Client{Transport: &http.Transport{}, Timeout: platform.WatchInterval},
		workers: make(chan struct{}, config.Workers),
	}
	server.context, server.cancel = context.WithCancel(context.Background())
	if config.Platform != "" {
		server.tasks.Add(1)
		go server.watchMachine()
	}
	return server, nil
}

func (s *Server) watchMachine() {
	defer s.tasks.Done()
	platform.Watch(s.context, s.client, s.config.Platform, s.config.Machine, platform.WatchInterval, func(state platform.State) {
		s.setLeaving(state != platform.StateLive)
	})
}

// Close ends the back end.
func (s *Server) Close() error {
	s.cancel()
	s.tasks.Wait()
	s.client.CloseIdleConnections()
	return s.ledger.Close()
}

// Run serves until ctx ends; then the back end says that it leaves, serves on
// for LeaveGrace, finishes what it has and stops.
func Run(ctx context.Context, config Config) error {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
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

// drain keeps serving for the grace, so that proxies learn of the stop from
// answers before they meet a closed port.
func (s *Server) drain(ctx context.Context) {
	s.setLeaving(true)
	select {
	case <-ctx.Done():
	case <-time.After(s.config.LeaveGrace):
	}
}

func (s *Server) setLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !leaving:
		s.leavingSince = time.Time{}
	case s.leavingSince.IsZero():
		s.leavingSince = time.Now()
	}
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathLoad, s.getLoad)
	mux.HandleFunc("GET "+PathLedger, s.getLedger)
	mux.HandleFunc("POST "+PathLeave, s.postLeave)
	mux.HandleFunc("POST "+PathFault, s.postFault)
	mux.HandleFunc("GET /", s.serveWork)
	mux.HandleFunc("POST /", s.serveWork)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.markLeaving(w)
		engineapi.EchoCall(w.Header(), r.Header)
		mux.ServeHTTP(w, r)
	})
}

func (s *Server) markLeaving(w http.ResponseWriter) {
	if leaving, _ := s.leaving(); leaving {
		w.Header().Set(engineapi.HeaderBackendState, stateLeaving)
	}
}

// leaving reports whether the machine leaves and whether the grace is over.
func (s *Server) leaving() (leaving, refuses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leavingSince.IsZero() {
		return false, false
	}
	return true, time.Since(s.leavingSince) >= s.config.LeaveGrace
}

// ExpectedBody returns the answer of a path (with its query) and a request body:
// lines that name both, and a last line that counts them.
func ExpectedBody(path string, requestBody []byte, size int) string {
	line := bodyLine(path, requestBody)
	repeats := max((size+len(line)-1)/len(line), 1)
	return strings.Repeat(line, repeats) + bodyEnd(repeats)
}

// IsWholeAndOwn reports whether a body of any size is the whole answer to the
// path and the request body.
func IsWholeAndOwn(path string, requestBody []byte, body string) bool {
	line := bodyLine(path, requestBody)
	repeats := strings.Count(body, line)
	return repeats > 0 && body == strings.Repeat(line, repeats)+bodyEnd(repeats)
}

// IsOwnPart reports whether a body is the beginning of an answer to the path and the
// request body; nothing at all is.
func IsOwnPart(path string, requestBody []byte, part string) bool {
	line := bodyLine(path, requestBody)
	repeats, rest := 0, part
	for strings.HasPrefix(rest, line) {
		repeats, rest = repeats+1, rest[len(line):]
	}
	return strings.HasPrefix(line, rest) || repeats > 0 && strings.HasPrefix(bodyEnd(repeats), rest)
}

func bodyLine(path string, requestBody []byte) string {
	hash := xxhash.Sum64String(path) ^ xxhash.Sum64(requestBody)
	return path + " " + strconv.FormatUint(hash, 16) + "\n"
}

func bodyEnd(repeats int) string { return "end " + strconv.Itoa(repeats) + "\n" }

// serveWork answers one request of the service.
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, labhttp.DefaultBodyLimit))
	if err != nil {
		w.Header().Set(engineapi.HeaderAdmitted, "no")
		http.Error(w, "body too large or cut short", http.StatusRequestEntityTooLarge)
		return
	}
	if refusal := s.enter(r); refusal != "" {
		s.refuse(w, r, refusal)
		return
	}
	s.ledger.Add(entry(r, ledger.EventStarted, ""))
	end := s.work(r)
	s.ledger.Add(entry(r, end, ""))
	if end != ledger.EventFinished {
		panic(http.ErrAbortHandler) // the answer must not look like a clean end
	}
	s.markLeaving(w)
	w.Header().Set(engineapi.HeaderAdmitted, "yes")
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// The answer is complete: a reader that has gone away is all that can fail.
	_, _ = io.WriteString(w, ExpectedBody(r.URL.RequestURI(), body, s.config.BodyBytes))
}

// enter takes a place in the queue and then a worker, or says why not.
func (s *Server) enter(r *http.Request) (refusal string) {
	if _, refuses := s.leaving(); refuses {
		return stateLeaving
	}
	if !s.queue() {
		return "queue_full"
	}
	select {
	case s.workers <- struct{}{}:
	case <-r.Context().Done():
		s.count(func() { s.waiting-- })
		return "cancelled"
	}
	s.count(func() {
		s.waiting--
		s.running++
	})
	return ""
}

func (s *Server) queue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= s.config.Queue {
		return false
	}
	s.waiting++
	return true
}

func (s *Server) count(update func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update()
}

// work takes the service time, gives the worker back and returns how it ended.
func (s *Server) work(r *http.Request) ledger.Event {
	defer s.leaveWorker()
	timer := time.NewTimer(s.duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return ledger.EventFinished
	case <-r.Context().Done():
		return ledger.EventCancelled
	case <-s.context.Done():
		return ledger.EventCutShort
	}
}

func (s *Server) leaveWorker() {
	<-s.workers
	s.count(func() {
		s.running--
		s.served++
	})
}

// hung is longer than any caller waits.
const hung = 24 * time.Hour

func (s *Server) duration() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Hang {
		return hung
	}
	return s.config.ServiceTime + time.Duration(s.fault.DelayMilliseconds)*time.Millisecond
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, refusal string) {
	s.ledger.Add(entry(r, ledger.EventRefused, refusal))
	w.Header().Set(engineapi.HeaderAdmitted, "no")
	w.Header().Set("Retry-After", "1")
	labhttp.Write(w, http.StatusServiceUnavailable, engineapi.ErrorBody{Error: engineapi.ErrorDetail{
		Message: "not admitted: " + refusal,
		Type:    "unavailable",
		Code:    refusal,
		Ran:     "no",
	}})
}

func entry(r *http.Request, event ledger.Event, reason string) ledger.Entry {
	attempt, _ := strconv.ParseUint(r.Header.Get(engineapi.HeaderAttempt), 10, 32)
	return ledger.Entry{
		Event:      event,
		RequestID:  r.Header.Get(engineapi.HeaderRequestID),
		Attempt:    uint32(attempt),
		Key:        r.Header.Get(ledger.HeaderIdempotency),
		PromptHash: xxhash.Sum64String(r.URL.RequestURI()),
		Reason:     reason,
	}
}
