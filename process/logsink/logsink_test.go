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

// lockedBuffer is a buffer that can be read while it is written to.
type lockedBuffer struct {
	lock sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.text.Write(data)
}

func (b *lockedBuffer) String() string {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.text.String()
}

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{}
	started chan struct{}
	once    sync.Once
}

func (b *blockedWriter) Write(data []byte) (int, error) {
	b.once.Do(func() { close(b.started) })
	<-b.release
	return len(data), nil
}

func newBlockedWriter() *blockedWriter {
	return &blockedWriter{release: make(chan struct{}), started: make(chan struct{})}
}

func isRoutine(keyvals []any) bool { return keyvals[1] == "routine" }

func TestLinesAreWrittenInOrder(t *testing.T) {
	var output lockedBuffer
	sink := New(&output, Config{})
	for _, name := range []string{"a", "b", "c"} {
		must.NoError(t, sink.Log("name", name, "text", "two words"))
	}
	sink.Close(time.Minute)
	must.Eq(t, "name=a text=\"two words\"\nname=b text=\"two words\"\nname=c text=\"two words\"\n", output.String())
}

// A blocked output must not block logging, and routine lines are dropped before others.
func TestBlockedWriterDropsRoutineLinesFirst(t *testing.T) {
	writer := newBlockedWriter()
	sink := New(writer, Config{QueueSize: 8, RoutinePerSecond: 1e9, IsRoutine: isRoutine})
	must.NoError(t, sink.Log("kind", "first"))
	<-writer.started
	for range 100 {
		must.NoError(t, sink.Log("kind", "routine"))
	}
	for range 4 {
		must.NoError(t, sink.Log("kind", "failure"))
	}
	routine, other := sink.Dropped()
	must.Eq(t, 96, routine) // 100 without the 4 that half of the queue takes
	must.Eq(t, 0, other)
	for range 10 {
		must.NoError(t, sink.Log("kind", "failure"))
	}
	_, other = sink.Dropped()
	must.Eq(t, 10, other)
	sink.Close(time.Millisecond) // times out on the blocked writer
	close(writer.release)
	<-sink.closed
}

func TestRoutineLinesAreRateLimited(t *testing.T) {
	sink := New(io.Discard, Config{RoutinePerSecond: 5, IsRoutine: isRoutine})
	defer sink.Close(time.Minute)
	for range 1000 {
		must.NoError(t, sink.Log("kind", "routine"))
		must.NoError(t, sink.Log("kind", "failure"))
	}
	routine, other := sink.Dropped()
	must.Between(t, 900, routine, 990) // the burst is 10; a slow run lets more pass
	must.Eq(t, 0, other)
}

func TestDroppedLinesAreReported(t *testing.T) {
	var output lockedBuffer
	sink := New(&output, Config{RoutinePerSecond: 1, ReportInterval: time.Millisecond, IsRoutine: isRoutine})
	for range 10 { // the burst is 2, so 8 are dropped
		must.NoError(t, sink.Log("kind", "routine"))
	}
	deadline := time.Now().Add(20 * time.Second)
	for !strings.Contains(output.String(), "dropped_routine=8 dropped=0") {
		must.True(t, time.Now().Before(deadline), must.Sprint(output.String()))
		time.Sleep(time.Millisecond)
	}
	sink.Close(time.Minute)
}
