package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/request/placement"
	"github.com/shoenig/test/must"
)

// sharedBuffer is a buffer for concurrent use.
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

// The destination of each send is logged before the send, so that the log shows it even if the
// proxy is killed.
func TestDestinationIsLoggedBeforeTheSend(t *testing.T) {
	var lines sharedBuffer
	prefiller := newFakeReplica(t, "read", answerPrefill)
	decoder := newFakeReplica(t, "make", streamEvents(2, ""))
	env := newModelEnv(t, prefiller, decoder, nil)
	env.ingress.logger = log.NewLogfmtLogger(&lines)
	env.ingress.placer = &fakePlacer{answer: placement.Answer{Generator: "make", Reader: "read", UnreadTokens: 9000}}
	var before []int
	for _, replica := range []*fakeReplica{prefiller, decoder} {
		serve := replica.server.Config.Handler
		replica.server.Config.Handler = callFirst(serve, func() { before = append(before, strings.Count(lines.String(), "name=request_sent")) })
	}
	must.Eq(t, eventTexts(1, 2), env.do(modelRequest).body)
	must.Eq(t, []int{1, 2}, before)
	must.StrContains(t, lines.String(), "request=q generation=3 stage=read replica=read unread=9000")
	must.StrContains(t, lines.String(), "request=q generation=3 stage=run replica=make unread=0")
}

// The log of an interrupted stream shows whether the caller left or the deadline passed.
func TestLogShowsWhyAStreamEnded(t *testing.T) {
	cases := []struct {
		name   string
		within string
		leaves bool
		want   []string
	}{
		{"caller left", "20000", true, []string{"status=499", "caller_gone"}},
		{"deadline passed", "150", false, []string{"status=0", "cut:time"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var lines sharedBuffer
			replica := newFakeReplica(t, "r-1", func(w http.ResponseWriter, r *http.Request) {
				streamEvents(1, "")(w, r)
				<-r.Context().Done()
			})
			env := newTestEnv(t, replica)
			env.ingress.logger = log.NewLogfmtLogger(&lines)
			conn, err := net.Dial("tcp", env.server.Listener.Addr().String())
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST /stream/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n"+testID+": q\r\n"+testWithin+": "+c.within+"\r\n\r\n")
			must.NoError(t, err)
			read := bufio.NewScanner(conn)
			for read.Scan() && !strings.HasPrefix(read.Text(), "data:") {
				continue
			}
			if c.leaves {
				must.NoError(t, conn.Close())
			}
			eventually(t, "a log line", func() bool { return strings.Contains(lines.String(), "name=request_failed") })
			for _, part := range c.want {
				must.StrContains(t, lines.String(), part)
			}
		})
	}
}
