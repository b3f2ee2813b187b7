// Package logsink writes log lines without ever holding up who logs: lines wait
// in a bounded queue for one writing goroutine, and a reader that stops reading
// costs lines, not requests. Lines of routine events are thinned out first, so
// that those of failures are kept as long as there is room at all; how many were
// dropped is counted and logged.
package logsink

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"
)

// Config bounds a Sink. Zero values take the defaults.
type Config struct {
	// Queue is how many lines may wait; routine ones only as long as less than
	// half of it is in use.
	Queue int
	// RoutinePerSecond bounds the routine lines, in bursts of twice as many.
	RoutinePerSecond float64
	// Routine tells whether a line is routine, by its keys and values.
	Routine func(keyvals []any) bool
	// Dropped makes the keys and values of the line that tells of dropped ones.
	Dropped func(routine, other uint64) []any
	// Report is the pause between two lines that tell of dropped ones.
	Report time.Duration
}

// Defaults of a Config.
const (
	DefaultQueue            = 4096
	DefaultRoutinePerSecond = 200
	DefaultReport           = time.Second
)

func (c Config) withDefaults() Config {
	if c.Queue <= 0 {
		c.Queue = DefaultQueue
	}
	if c.RoutinePerSecond <= 0 {
		c.RoutinePerSecond = DefaultRoutinePerSecond
	}
	if c.Report <= 0 {
		c.Report = DefaultReport
	}
	if c.Routine == nil {
		c.Routine = func([]any) bool { return false }
	}
	if c.Dropped == nil {
		c.Dropped = func(routine, other uint64) []any { return []any{"dropped_routine", routine, "dropped", other} }
	}
	return c
}

// Sink is a log.Logger that never blocks. Any number of goroutines may use it.
type Sink struct {
	config  Config
	to      io.Writer
	queue   chan []byte
	limiter *rate.Limiter

	droppedRoutine atomic.Uint64
	droppedOther   atomic.Uint64

	closing chan struct{}
	closed  chan struct{}
	once    sync.Once
}

var _ log.Logger = (*Sink)(nil)

// New starts a sink that writes logfmt lines.
func New(to io.Writer, config Config) *Sink {
	config = config.withDefaults()
	s := &Sink{
		config:  config,
		to:      to,
		queue:   make(chan []byte, config.Queue),
		limiter: rate.NewLimiter(rate.Limit(config.RoutinePerSecond), int(2*config.RoutinePerSecond)),
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	go s.run()
	return s
}

// Log queues the line, or drops and counts it. It never blocks; the error is
// that of the encoding.
func (s *Sink) Log(keyvals ...any) error {
	routine := s.config.Routine(keyvals)
	if routine && (len(s.queue) >= s.config.Queue/2 || !s.limiter.Allow()) {
		s.droppedRoutine.Add(1)
		return nil
	}
	line, err := encode(keyvals)
	if err != nil {
		return err
	}
	select {
	case s.queue <- line:
	default:
		s.droppedOther.Add(1)
	}
	return nil
}

func encode(keyvals []any) ([]byte, error) {
	var line bytes.Buffer
	err := log.NewLogfmtLogger(&line).Log(keyvals...)
	return line.Bytes(), err
}

// Dropped returns how many lines were dropped so far.
func (s *Sink) Dropped() (routine, other uint64) {
	return s.droppedRoutine.Load(), s.droppedOther.Load()
}

func (s *Sink) run() {
	defer close(s.closed)
	ticker := time.NewTicker(s.config.Report)
	defer ticker.Stop()
	var reportedRoutine, reportedOther uint64
	for {
		select {
		case line := <-s.queue:
			s.write(line)
		case <-ticker.C:
			routine, other := s.Dropped()
			if routine != reportedRoutine || other != reportedOther {
				if line, err := encode(s.config.Dropped(routine-reportedRoutine, other-reportedOther)); err == nil {
					s.write(line)
				}
				reportedRoutine, reportedOther = routine, other
			}
		case <-s.closing:
			s.drain()
			return
		}
	}
}

// maxBatch bounds the bytes of one write.
const maxBatch = 64 << 10

// write writes the line together with those that wait behind it.
func (s *Sink) write(line []byte) {
	batch := line
	for len(batch) < maxBatch {
		select {
		case next := <-s.queue:
			batch = append(batch, next...)
			continue
		default:
		}
		break
	}
	_, _ = s.to.Write(batch) // there is nowhere to tell of it
}

// drain writes what waits.
func (s *Sink) drain() {
	for {
		select {
		case line := <-s.queue:
			s.write(line)
		default:
			return
		}
	}
}

// Close writes what waits, but not for longer than the given time.
func (s *Sink) Close(patience time.Duration) {
	s.once.Do(func() { close(s.closing) })
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-s.closed:
	case <-timer.C:
	}
}
