package control

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/connection/jsonlist"
	"github.com/landingtrail/landingtrail/lab/surplus"
	"github.com/shoenig/test/must"
)

// Guards against using an earlier machine list as the current one. It happens when the platform
// sends a surplus response on a kept-alive connection after the next list was requested; a leaving
// machine would then still be assigned work. The platform lists a different machine each time, and
// each list must contain the one of its own request.
func TestMachineListMatchesItsRequest(t *testing.T) {
	var asked atomic.Int32
	server, err := surplus.Start(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"machines":[{"name":"machine-%d","state":"live"}]}`, asked.Add(1))
	}), surplus.Again)
	must.NoError(t, err)
	t.Cleanup(server.Close)
	config := Config{PlatformAddress: server.Address()}
	config.Durations.EngineTimeout = DefaultEngineTimeout
	reader := newPlatformReader(config, log.NewNopLogger())
	for number := range 4 {
		list, err := reader.read(t.Context())
		must.NoError(t, err)
		must.Len(t, 1, list.Machines)
		must.Eq(t, fmt.Sprintf("machine-%d", number+1), list.Machines[0].Name)
	}
}

// Guards against a machine list of many entries without a name, which takes far more memory than its bytes.
func TestMachineListIsLimitedByItsEntries(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"machines":[` + strings.Repeat("{},", maxMachines) + `{}]}`))
	}))
	t.Cleanup(server.Close)
	reader := newPlatformReader(Config{PlatformAddress: server.Listener.Addr().String(), Durations: testDurations}, log.NewNopLogger())
	_, err := reader.read(t.Context())
	must.ErrorIs(t, err, jsonlist.ErrTooLong)
}
