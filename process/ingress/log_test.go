package ingress

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/shoenig/test/must"
)

// sharedBuffer is a buffer that many goroutines may use.
type sharedBuffer struct {
	lock   sync.Mutex
	buffer bytes.Buffer
}

func (b *sharedBuffer) Write(line []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.buffer.Write(line)
}

func (b *sharedBuffer) String() string {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.buffer.String()
}

// A proxy that is killed has said where its requests were.
func TestLogSaysWhereARequestGoesBeforeItDoes(t *testing.T) {
	var lines sharedBuffer
	reader := newFakeReplica(t, "read", readPrompt)
	generator := newFakeReplica(t, "make", streamEvents(2, ""))
	w := newModelWorld(t, reader, generator, nil)
	w.ingress.logger = log.NewLogfmtLogger(&lines)
	w.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read", Unread: 9000}}
	var before []int
	for _, replica := range []*fakeReplica{reader, generator} {
		serve := replica.server.Config.Handler
		replica.server.Config.Handler = after(serve, func() { before = append(before, strings.Count(lines.String(), "name=request_sent")) })
	}
	must.Eq(t, events(1, 2), w.ask(modelRequest).body)
	must.Eq(t, []int{1, 2}, before)
	must.StrContains(t, lines.String(), "request=q generation=3 stage=read replica=read unread=9000")
	must.StrContains(t, lines.String(), "request=q generation=3 stage=run replica=make unread=0")
}
