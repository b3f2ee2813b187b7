// Package logsink writes log lines without blocking the caller. Lines wait in a bounded queue for a
// single writer goroutine; when the output stalls, lines are dropped, so that requests are not
// delayed. Routine lines, as classified by the Config, are rate limited and dropped first, so that
// other lines, such as failures, are kept as long as there is room. Dropped lines are counted and
// reported in the log.
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

// Config configures a Sink. Zero values select the defaults: no line is routine, and drops are
// reported with the keys dropped_routine and dropped.
type Config struct {
	// QueueSize is the capacity of the queue in lines. Routine lines are accepted only while less than
	// half of it is in use.
	QueueSize int
	// RoutinePerSecond limits the rate of routine lines, with a burst of twice as many.
	RoutinePerSecond float64
	// IsRoutine reports whether a line is routine, given its keys and values.
	IsRoutine func(keyvals []any) bool
	// DroppedLine returns the keys and values of the line that reports the lines dropped since the last
	// report.
	DroppedLine func(routine, other uint64) []any
	// ReportInterval is the interval between reports of dropped lines.
	ReportInterval time.Duration
}

// Defaults of a Config.
const (
	DefaultQueueSize        = 4096
	DefaultRoutinePerSecond = 200
	DefaultReportInterval   = time.Second
)

func (c Config) withDefaults() Config {
	if c.QueueSize <= 0 {
		c.QueueSize = DefaultQueueSize
	}
	if c.RoutinePerSecond <= 0 {
		c.RoutinePerSecond = DefaultRoutinePerSecond
	}
	if c.ReportInterval <= 0 {
		c.ReportInterval = DefaultReportInterval
	}
	if c.IsRoutine == nil {
		c.IsRoutine = func([]any) bool { return false }
	}
	if c.DroppedLine == nil {
		c.DroppedLine = func(routine, other uint64) []any { return []any{"dropped_routine", routine, "dropped", other} }
	}
	return c
}

// Sink is a log.Logger that never blocks. It is safe for concurrent use.
type Sink struct {
	config  Config
	output  io.Writer
	queue   chan []byte
	limiter *rate.Limiter

	droppedRoutine atomic.Uint64
	droppedOther   atomic.Uint64

	closing   chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

var _ log.Logger = (*Sink)(nil)

// New starts a Sink that writes logfmt lines to output.
func New(output io.Writer, config Config) *Sink {
	config = config.withDefaults()
	s := &Sink{
		config:  config,
		output:  output,
		queue:   make(chan []byte, config.QueueSize),
		limiter: rate.NewLimiter(rate.Limit(config.RoutinePerSecond), int(2*config.RoutinePerSecond)),
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	go s.run()
	return s
}

// Log queues the line, or drops and counts it. It never blocks. The returned error is an encoding
// error; such a line is not counted. Lines logged after Close are not written.
func (s *Sink) Log(keyvals ...any) error {
	routine := s.config.IsRoutine(keyvals)
	if routine && (len(s.queue) >= s.config.QueueSize/2 || !s.limiter.Allow()) {
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

// Dropped returns the numbers of routine and of other lines dropped so far.
func (s *Sink) Dropped() (routine, other uint64) {
	return s.droppedRoutine.Load(), s.droppedOther.Load()
}

// run writes queued lines and reports drops until Close. Drops whose report cannot be encoded are
// not reported again.
func (s *Sink) run() {
	defer close(s.closed)
	ticker := time.NewTicker(s.config.ReportInterval)
	defer ticker.Stop()
	var reportedRoutine, reportedOther uint64
	for {
		select {
		case line := <-s.queue:
			s.writeBatch(line)
		case <-ticker.C:
			routine, other := s.Dropped()
			if routine != reportedRoutine || other != reportedOther {
				if line, err := encode(s.config.DroppedLine(routine-reportedRoutine, other-reportedOther)); err == nil {
					s.writeBatch(line)
				}
				reportedRoutine, reportedOther = routine, other
			}
		case <-s.closing:
			s.drain()
			return
		}
	}
}

// maxBatchBytes is the batch size at which no more lines are added.
const maxBatchBytes = 64 << 10

// writeBatch writes the line together with lines that it takes from the queue.
func (s *Sink) writeBatch(line []byte) {
	batch := line
	for len(batch) < maxBatchBytes {
		select {
		case next := <-s.queue:
			batch = append(batch, next...)
			continue
		default:
		}
		break
	}
	_, _ = s.output.Write(batch) // a failure of the log output cannot be logged
}

// drain writes all queued lines.
func (s *Sink) drain() {
	for {
		select {
		case line := <-s.queue:
			s.writeBatch(line)
		default:
			return
		}
	}
}

// Close writes the queued lines, waiting at most timeout; after that, writing continues in the
// background. It does not report drops since the last report and does not close the output.
func (s *Sink) Close(timeout time.Duration) {
	s.closeOnce.Do(func() { close(s.closing) })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-s.closed:
	case <-timer.C:
	}
}
