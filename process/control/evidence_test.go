package control

import (
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/landingtrail/landingtrail/connection/feed"
	"github.com/landingtrail/landingtrail/connection/operatorapi"
	"github.com/landingtrail/landingtrail/process/wal"
	"github.com/landingtrail/landingtrail/request/quarantine"
	"github.com/landingtrail/landingtrail/version/api"
	"github.com/shoenig/test/must"
)

// stallingFiles is a file system whose syncs block while the disk stalls.
type stallingFiles struct {
	unsyncedFiles
	disk *stallingDisk
}

// stallingDisk controls whether one member's disk stalls.
type stallingDisk struct {
	lock    sync.Mutex
	resumed *sync.Cond
	stalls  bool
}

func newStallingDisk() *stallingDisk {
	disk := &stallingDisk{}
	disk.resumed = sync.NewCond(&disk.lock)
	return disk
}

// setStalled makes the disk stall, or resume if stalls is false.
func (d *stallingDisk) setStalled(stalls bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.stalls = stalls
	d.resumed.Broadcast()
}

func (d *stallingDisk) wait() {
	d.lock.Lock()
	defer d.lock.Unlock()
	for d.stalls {
		d.resumed.Wait()
	}
}

func (f stallingFiles) Create(name string) (wal.File, error) {
	file, err := f.unsyncedFiles.Create(name)
	return stallingFile{file, f.disk}, err
}

func (f stallingFiles) Append(name string) (wal.File, error) {
	file, err := f.unsyncedFiles.Append(name)
	return stallingFile{file, f.disk}, err
}

type stallingFile struct {
	wal.File
	disk *stallingDisk
}

func (f stallingFile) Sync() error {
	f.disk.wait()
	return nil
}

// stallingCluster is a group whose disks can be stalled.
type stallingCluster struct {
	*cluster
	disks []*stallingDisk
}

func newStallingCluster(t *testing.T, size int) *stallingCluster {
	made := &stallingCluster{}
	made.cluster = newCluster(t, size, func(config *Config) {
		disk := newStallingDisk()
		made.disks = append(made.disks, disk)
		config.fileSystem = stallingFiles{disk: disk}
	})
	t.Cleanup(made.resumeAll) // before the members are stopped
	for i := range size {
		made.start(i)
	}
	return made
}

// stallMajority stalls all disks but the first. In a group of three or more members nothing can
// then be committed, and no leader elected.
func (c *stallingCluster) stallMajority() {
	leader := c.leader()
	for _, disk := range c.disks[1:] {
		disk.setStalled(true)
	}
	// The proposal makes the leader wait for its own disk or for a follower with a stalled disk.
	go c.call(leader, http.MethodPost, operatorapi.PathTransactions, api.Transaction{OperationID: "stalls", Writes: []api.Write{{Object: engineObject("stalls", freeAddress(c.t))}}}, nil)
}

func (c *stallingCluster) resumeAll() {
	for _, disk := range c.disks {
		disk.setStalled(false)
	}
}

// proxy starts a proxy's feed client, which reports to the leader or to a standby member.
func (c *stallingCluster) proxy(name string) *feed.Client {
	client, _ := c.subscribeWith(feed.ClientConfig{
		Daemon: name, HeartbeatInterval: 30 * time.Millisecond, SilenceTimeout: time.Second,
		BackoffMax: 50 * time.Millisecond, Standby: true,
	})
	return client
}

// storedByFirst returns the number of crash observations on the first member's disk.
func (c *stallingCluster) storedByFirst() int {
	data, err := wal.OS{}.ReadFile(filepath.Join(c.configs[0].DataFolder, evidenceFile))
	if err != nil {
		return 0
	}
	report, err := decodeEvidence(data, time.Now())
	must.NoError(c.t, err)
	return len(report.Crashes)
}

// Guards against losing crash evidence while there is no leader: if each proxy alone knows of the
// crash that it observed, and all processes are then killed, the request crashes as many replicas
// again (soak seeds 9112, 9231 and 3024). Members store reports on disk without a leader, so the
// next leader holds the request.
func TestCrashesReportedWithoutLeaderSurviveRestart(t *testing.T) {
	c := newStallingCluster(t, 3)
	c.leader()
	must.Eq(t, api.OutcomeAccepted, c.transact(api.Transaction{OperationID: "first", Writes: narratorObjects()}).Code)
	var proxies []*feed.Client
	for i := range quarantine.HarmfulIncidents {
		proxies = append(proxies, c.proxy(fmt.Sprint("proxy-", i)))
	}
	for _, proxy := range proxies {
		eventually(t, "a leader serves the proxy", proxy.Connected)
	}
	c.stallMajority()
	for i, proxy := range proxies {
		seen, ended := crashReport(fatalRequest, fmt.Sprint("r-", i)), time.Now()
		eventually(t, "the member with a working disk has stored the crash", func() bool {
			seen.Crashes[0].Age = time.Since(ended)
			_ = proxy.ReportCrashes(seen) // repeated for the next member that serves the proxy
			return c.storedByFirst() == i+1
		})
		proxy.Close() // simulates a kill: the proxy's own observations are lost
	}
	c.resumeAll()
	for i := range c.configs {
		c.crash(i)
	}
	c.start(0, 1, 2)
	_, holder := c.subscribe("fresh")
	eventually(t, "the request is held", func() bool {
		known := holder.Load().Quarantines[fatalRequest.String()]
		return known != nil && known.Spec.State == api.QuarantineHeld
	})
	must.Eq(t, []string{"r-0", "r-1", "r-2"}, slices.Sorted(slices.Values(holder.Load().Quarantines[fatalRequest.String()].Spec.Replicas)))
}
