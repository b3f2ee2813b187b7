package logsink

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// buffer is a writer that tests read while it is written to.
type buffer struct {
	lock sync.Mutex
	text bytes.Buffer
}

func (b *buffer) Write(data []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.text.Write(data)
}

func (b *buffer) String() string {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.text.String()
}

// stuck is a writer whose reader has stopped reading, until it is released.
type stuck struct {
	release chan struct{}
	begun   chan struct{}
	once    sync.Once
}

func (s *stuck) Write(data []byte) (int, error) {
	s.once.Do(func() { close(s.begun) })
	<-s.release
	return len(data), nil
}

func newStuck() *stuck { return &stuck{release: make(chan struct{}), begun: make(chan struct{})} }

func isRoutine(keyvals []any) bool { return keyvals[1] == "routine" }

func TestLinesAreWrittenInOrder(t *testing.T) {
	var to buffer
	sink := New(&to, Config{})
	for _, name := range []string{"a", "b", "c"} {
		must.NoError(t, sink.Log("name", name, "text", "two words"))
	}
	sink.Close(time.Minute)
	must.Eq(t, "name=a text=\"two words\"\nname=b text=\"two words\"\nname=c text=\"two words\"\n", to.String())
}

// A reader that stops reading costs no one who logs anything, and costs routine
// lines before others.
func TestStuckReaderCostsRoutineLinesFirst(t *testing.T) {
	to := newStuck()
	sink := New(to, Config{Queue: 8, RoutinePerSecond: 1e9, Routine: isRoutine})
	must.NoError(t, sink.Log("kind", "first"))
	<-to.begun
	for range 100 {
		must.NoError(t, sink.Log("kind", "routine"))
	}
	for range 4 {
		must.NoError(t, sink.Log("kind", "failure"))
	}
	routine, other := sink.Dropped()
	must.Eq(t, 96, routine)
	must.Eq(t, 0, other)
	for range 10 {
		must.NoError(t, sink.Log("kind", "failure"))
	}
	_, other = sink.Dropped()
	must.Eq(t, 10, other)
	sink.Close(time.Millisecond) // gives up on the reader
	close(to.release)
	<-sink.closed
}

func TestRoutineLinesAreBounded(t *testing.T) {
	sink := New(io.Discard, Config{RoutinePerSecond: 5, Routine: isRoutine})
	defer sink.Close(time.Minute)
	for range 1000 {
		must.NoError(t, sink.Log("kind", "routine"))
		must.NoError(t, sink.Log("kind", "failure"))
	}
	routine, other := sink.Dropped()
	must.Between(t, 900, routine, 990)
	must.Eq(t, 0, other)
}

func TestDroppedLinesAreTold(t *testing.T) {
	var to buffer
	sink := New(&to, Config{RoutinePerSecond: 1, Report: time.Millisecond, Routine: isRoutine})
	for range 10 {
		must.NoError(t, sink.Log("kind", "routine"))
	}
	deadline := time.Now().Add(20 * time.Second)
	for !strings.Contains(to.String(), "dropped_routine=8 dropped=0") {
		must.True(t, time.Now().Before(deadline), must.Sprint(to.String()))
		time.Sleep(time.Millisecond)
	}
	sink.Close(time.Minute)
}
