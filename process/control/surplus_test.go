package control

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/go-kit/log"
	"github.com/landingtrail/landingtrail/lab/surplus"
	"github.com/shoenig/test/must"
)

// Seen: an earlier list of machines is taken for the present one. It comes about where
// the platform sends an answer too many on a kept connection after the next list was
// asked for: a machine that leaves would go on being given work.
// Proof: the platform names another machine each time, and each list must name its own.
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
