package proxy

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/landingtrail/landingtrail/process/event"
	"github.com/landingtrail/landingtrail/version/view"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	lock sync.Mutex
	text strings.Builder
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

// The expiry of the view lease and its renewal are logged once each, however often the view is
// loaded, and the gauge view_confirmed reflects the state. A proxy that has received no view logs no
// expiry.
func TestLeaseExpiryIsLoggedOnce(t *testing.T) {
	views := &fixedViews{}
	views.view.Store(view.New())
	views.invalid.Store(true)
	config := fastConfig()
	config.Intervals.View = time.Hour // only the test loads the view
	output := &lockedBuffer{}
	proxy := New(config, views, newFakeControl(), func() time.Duration { return time.Second }, log.NewLogfmtLogger(output))
	defer proxy.Close()
	logged := func(expected event.Event) int {
		return strings.Count(output.String(), fmt.Sprintf("event=%d ", expected.Number))
	}
	// The proxy's own first check of the view may still be running.
	eventuallyLogged := func(expected event.Event, times int) {
		eventually(t, func() bool { return logged(expected) == times })
	}
	gauge := func() string {
		answer := httptest.NewRecorder()
		proxy.metrics.handler().ServeHTTP(answer, httptest.NewRequest("GET", PathMetrics, nil))
		_, after, _ := strings.Cut(answer.Body.String(), "\nlandingtrail_proxy_view_confirmed ")
		return after[:1]
	}
	must.Eq(t, "0", gauge())
	must.Eq(t, 0, logged(event.ProxyViewLapsed))

	views.view.Store(newView(nil, nil))
	views.invalid.Store(false)
	must.Eq(t, "1", gauge())
	eventuallyLogged(event.ProxyViewConfirmed, 1)

	views.invalid.Store(true)
	for range 3 {
		proxy.viewState()
	}
	must.Eq(t, "0", gauge())
	eventuallyLogged(event.ProxyViewLapsed, 1)

	views.invalid.Store(false)
	must.Eq(t, "1", gauge())
	eventuallyLogged(event.ProxyViewConfirmed, 2)
	must.Eq(t, 1, logged(event.ProxyViewLapsed))
}
